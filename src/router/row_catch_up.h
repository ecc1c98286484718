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
#include <deque>
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
  /// Maximum number of versions whose first report is remembered.
  std::size_t m_MaxUnseen = 64;
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: at most one
/// request for operators' rows and one for own rows is outstanding; a request
/// for the former asks for both.
class RowCatchUp {
public:
  explicit RowCatchUp(RowCatchUpOptions Options = {}) : m_Options(Options) {}

  /// Handles a peer's report of the rows that it knows.
  ///
  /// \param TableReachable whether this daemon gets operators' rows from the
  /// table itself, and its last call succeeded.
  /// \returns the versions after which rows are to be requested; none if
  /// nothing is.
  std::optional<RowsSeen> onReport(const RowsSeen &Peer, const RowsSeen &Seen,
                                   bool TableReachable, TimePoint Now) {
    noteSeen(Seen);
    noteReported(Peer, Seen, Now);
    const bool Behind = Peer.m_Operators > Seen.m_Operators ||
                        Peer.m_Configuration > Seen.m_Configuration;
    const bool WantsOperators =
        Behind && Now >= m_OperatorsExpiry &&
        (!TableReachable || Now - *behindSince() >= m_Options.m_MaxWatchLag);
    const bool WantsOwn = Peer.m_Own > Seen.m_Own && Now >= m_OwnExpiry;
    if (!WantsOperators && !WantsOwn)
      return std::nullopt;
    m_OwnExpiry = Now + m_Options.m_AnswerTimeout;
    RowsSeen Wanted = Seen;
    if (WantsOperators) {
      m_OperatorsExpiry = m_OwnExpiry;
    } else {
      Wanted.m_Operators = std::max(Peer.m_Operators, Seen.m_Operators);
      Wanted.m_Configuration =
          std::max(Peer.m_Configuration, Seen.m_Configuration);
    }
    return Wanted;
  }

  /// Forgets the reports of what this daemon knows by now.
  void noteSeen(const RowsSeen &Seen) {
    while (!m_Unseen.empty() && m_Unseen.front().m_Version <= Seen.m_Operators)
      m_Unseen.pop_front();
    if (m_UnseenConfiguration &&
        m_UnseenConfiguration->m_Version <= Seen.m_Configuration)
      m_UnseenConfiguration.reset();
  }

  /// When a peer first reported the earliest change of the operators' table, or
  /// the configuration, that this daemon doesn't know; none if it knows all.
  std::optional<TimePoint> behindSince() const {
    std::optional<TimePoint> Result;
    if (!m_Unseen.empty())
      Result = m_Unseen.front().m_ReportedAt;
    if (m_UnseenConfiguration)
      Result = std::min(Result.value_or(TimePoint::max()),
                        m_UnseenConfiguration->m_ReportedAt);
    return Result;
  }

  /// Changes of a row have arrived that this daemon can't apply.
  ///
  /// \returns whether the row is to be requested.
  bool onGap(TimePoint Now) {
    if (Now < m_OwnExpiry)
      return false;
    m_OwnExpiry = Now + m_Options.m_AnswerTimeout;
    return true;
  }

  /// Rows have arrived; they are taken as the answer to a request.
  /// \param Operators whether the operators' rows are among them.
  void onRows(bool Operators) {
    m_OwnExpiry = TimePoint();
    if (Operators)
      m_OperatorsExpiry = TimePoint();
  }

  /// The peer that was asked is unreachable: nothing is outstanding any more.
  void onPeerLost() { onRows(true); }

private:
  template <typename Version> struct Reported {
    Version m_Version;
    TimePoint m_ReportedAt;
  };

  void noteReported(const RowsSeen &Peer, const RowsSeen &Seen, TimePoint Now) {
    if (Peer.m_Operators > Seen.m_Operators &&
        (m_Unseen.empty() || Peer.m_Operators > m_Unseen.back().m_Version)) {
      if (m_Unseen.size() < m_Options.m_MaxUnseen)
        m_Unseen.push_back({Peer.m_Operators, Now});
      else
        m_Unseen.back().m_Version = Peer.m_Operators;
    }
    if (Peer.m_Configuration > Seen.m_Configuration && !m_UnseenConfiguration)
      m_UnseenConfiguration = {Peer.m_Configuration, Now};
  }

  RowCatchUpOptions m_Options;
  /// Versions of the operators' table that peers have reported and that this
  /// daemon doesn't know; ascending.
  std::deque<Reported<StoreVersion>> m_Unseen;
  std::optional<Reported<ConfigVersion>> m_UnseenConfiguration;
  TimePoint m_OperatorsExpiry;
  TimePoint m_OwnExpiry;
};

} // namespace balsamwheel
