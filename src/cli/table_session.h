// Blocking access to the platform's table for the duration of one command.
#pragma once

#include "adapters/platform_http/platform_client.h"
#include "balsamwheel/detail/platform/table.h"
#include "cli/error.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel::cli {

/// Removes a leading "http://" and trailing slashes from an address.
std::string stripUrl(std::string Address);

/// Reads and commits rows. Retries failed operations until a time limit.
class TableSession {
public:
  TableSession(const std::string &Platform, std::chrono::milliseconds Limit);
  ~TableSession() { m_Client.stop(); }

  /// Reads rows in one snapshot.
  ///
  /// \returns none if no read succeeds within the time limit.
  std::optional<std::vector<Row>> read(const TableRead &Query);

  /// Commits a transaction. If an answer is lost, the same transaction is sent
  /// again, which is safe because of its conditions. If that attempt conflicts,
  /// the write id in row \p Marker shows whether an earlier one was applied.
  ///
  /// \param Marker a row that the transaction writes and that contains its
  /// write id.
  /// \returns no error, Conflict, Unreachable or OutcomeUnknown.
  std::error_code commit(const Transaction &Commit, const RowKey &Marker);

private:
  TableReply readOnce(const TableRead &Query);
  TableReply commitOnce(const Transaction &Commit);
  bool hasWriteId(const Transaction &Commit, const RowKey &Marker);

  platform_http::PlatformClient m_Client;
  std::chrono::milliseconds m_Limit;
};

/// Returns a random write id, never 0.
WriteId randomWriteId();

} // namespace balsamwheel::cli
