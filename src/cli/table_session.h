// Blocking access to the platform's table for one command.
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

/// Removes "http://" and a trailing slash from an address.
std::string stripUrl(std::string Address);

/// Reads and commits, repeating what is safe to repeat until a time limit.
class TableSession {
public:
  TableSession(const std::string &Platform, std::chrono::milliseconds Limit);
  ~TableSession() { m_Client.stop(); }

  /// Reads rows in one snapshot.
  ///
  /// \returns none when the table cannot be reached within the limit.
  std::optional<std::vector<Row>> read(const TableRead &What);

  /// Commits a transaction and settles a lost answer: the same transaction is
  /// repeated, which its conditions make safe, and its write id is looked for
  /// in \p Marker.
  ///
  /// \param Marker a row that the transaction writes with its write id.
  /// \returns no error, Conflict, Unreachable or OutcomeUnknown.
  std::error_code commit(const Transaction &What, const RowKey &Marker);

private:
  TableReply readOnce(const TableRead &What);
  TableReply commitOnce(const Transaction &What);
  bool hasWriteId(const Transaction &What, const RowKey &Marker);

  platform_http::PlatformClient m_Client;
  std::chrono::milliseconds m_Limit;
};

/// A random write id.
WriteId randomWriteId();

} // namespace balsamwheel::cli
