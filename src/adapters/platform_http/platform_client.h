// The platform's table service and object store over HTTP.
#pragma once

#include "adapters/http_client/transfer_loop.h"
#include "balsamwheel/detail/platform/table.h"

#include <functional>
#include <optional>
#include <string>

namespace balsamwheel::platform_http {

struct PlatformClientOptions {
  /// "host:port".
  std::string m_Address;
  /// Name of this daemon's instance, sent with every request.
  std::string m_Instance;
  /// No answer within this time leaves a commit ambiguous.
  Duration m_Timeout = std::chrono::seconds(2);
  long m_MaxConnections = 4;
};

/// Callbacks run on the client's thread, exactly once each.
class PlatformClient {
public:
  using TableCallback = std::function<void(TableReply Reply)>;
  /// Receives none when the object is absent or cannot be reached.
  using ObjectCallback = std::function<void(std::optional<std::string> Object)>;
  using StoredCallback = std::function<void(bool Stored)>;

  explicit PlatformClient(PlatformClientOptions Options);

  void read(const TableRead &Read, TableCallback Done);
  void commit(const Transaction &Commit, TableCallback Done);
  void getObject(const std::string &Name, ObjectCallback Done);
  void putObject(const std::string &Name, std::string Value,
                 StoredCallback Done);
  void stop() { m_Loop.stop(); }

private:
  http_client::Transfer makeTransfer(std::string Method,
                                     const std::string &Path,
                                     std::string Body) const;

  const PlatformClientOptions m_Options;
  http_client::TransferLoop m_Loop;
};

/// What became of a read, judged from its transfer.
TableReply classifyRead(const http_client::TransferResult &Result);

/// What became of a commit. Whatever may have reached the table without a
/// plain answer is ambiguous.
TableReply classifyCommit(const http_client::TransferResult &Result);

} // namespace balsamwheel::platform_http
