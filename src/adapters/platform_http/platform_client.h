// HTTP client of the platform's table service and object store.
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
  /// Time-out of each request. A commit that was sent but not answered within
  /// this time is ambiguous.
  Duration m_Timeout = std::chrono::seconds(2);
  long m_MaxConnections = 4;
};

/// Each callback is called exactly once, on the client's thread (on the calling
/// thread if the queue is full).
class PlatformClient {
public:
  using TableCallback = std::function<void(TableReply Reply)>;
  /// Receives none if the object does not exist or could not be read.
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

/// Derives the result of a read from its transfer.
TableReply classifyRead(const http_client::TransferResult &Result);

/// Derives the result of a commit from its transfer. A commit that may have
/// reached the table is ambiguous unless the answer is definite.
TableReply classifyCommit(const http_client::TransferResult &Result);

} // namespace balsamwheel::platform_http
