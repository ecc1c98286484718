// Decides when a daemon asks a peer for rows that it is missing.
//
// Load pattern: operators change a large configuration several times per
// second, and every peer reports a newer version to each daemon. Requesting it
// from each of them would transfer the same rows many times and saturate a slow
// link, so that the table itself couldn't be read.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/platform/table.h"

#include <algorithm>
#include <optional>

namespace balsamwheel {

/// What a daemon knows: the rows of both tables up to these versions, and the
/// configuration that it applies.
struct RowsSeen {
  StoreVersion m_Operators;
  StoreVersion m_Own;
  /// May be newer than the one in the operators' table, after the store has
  /// lost writes.
  ConfigVersion m_Configuration;

  bool operator==(const RowsSeen &) const = default;
};

struct RowCatchUpOptions {
  /// How long a daemon that can reach the table may be missing an operators'
  /// row before it asks a peer: normally its own watch brings the row, unless
  /// the watch's connection has failed silently.
  Duration m_MaxWatchLag = std::chrono::milliseconds(1000);
  /// Time after which a request for rows that hasn't been answered is repeated.
  Duration m_AnswerTimeout = std::chrono::milliseconds(1000);
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: at most one
/// request is outstanding.
class RowCatchUp {
public:
  explicit RowCatchUp(RowCatchUpOptions Options = {}) : m_Options(Options) {}

  /// Handles a peer's report of the rows that it knows.
  ///
  /// \param TableReachable whether the last call to the operators' table
  /// succeeded.
  /// \returns the versions after which rows are to be requested; none if
  /// nothing is.
  std::optional<RowsSeen> onReport(const RowsSeen &Peer, const RowsSeen &Seen,
                                   bool TableReachable, TimePoint Now) {
    if (Seen.m_Operators != m_LastSeen ||
        Seen.m_Configuration != m_LastConfiguration) {
      m_LastSeen = Seen.m_Operators;
      m_LastConfiguration = Seen.m_Configuration;
      m_Behind = false;
    }
    const bool Behind = Peer.m_Operators > Seen.m_Operators ||
                        Peer.m_Configuration > Seen.m_Configuration;
    if (Behind && !m_Behind)
      m_BehindSince = Now;
    m_Behind |= Behind;
    const bool WantsOperators =
        Behind &&
        (!TableReachable || Now - m_BehindSince >= m_Options.m_MaxWatchLag);
    const bool WantsOwn = Peer.m_Own > Seen.m_Own;
    if ((!WantsOperators && !WantsOwn) || Now < m_RequestExpiry)
      return std::nullopt;
    m_RequestExpiry = Now + m_Options.m_AnswerTimeout;
    RowsSeen Wanted = Seen;
    if (!WantsOperators) {
      Wanted.m_Operators = std::max(Peer.m_Operators, Seen.m_Operators);
      Wanted.m_Configuration =
          std::max(Peer.m_Configuration, Seen.m_Configuration);
    }
    return Wanted;
  }

  /// Changes of a row have arrived that this daemon can't apply.
  ///
  /// \returns whether the row is to be requested.
  bool onGap(TimePoint Now) {
    if (Now < m_RequestExpiry)
      return false;
    m_RequestExpiry = Now + m_Options.m_AnswerTimeout;
    return true;
  }

  /// Rows have arrived; they are taken as the answer to the request.
  void onRows() { m_RequestExpiry = TimePoint(); }

private:
  RowCatchUpOptions m_Options;
  StoreVersion m_LastSeen;
  ConfigVersion m_LastConfiguration;
  /// A peer has reported newer rows of the operators' table, or a newer
  /// configuration, than this daemon knows.
  bool m_Behind = false;
  TimePoint m_BehindSince;
  TimePoint m_RequestExpiry;
};

} // namespace balsamwheel
