// When a daemon asks another one for rows that it lacks.
//
// Load pattern: operators change a large configuration several times a second,
// and each daemon hears from all others that they have a newer one. Asking each
// of them brings the same rows many times over and fills a narrow link, so that
// the table itself can't be read any more.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/platform/table.h"

#include <algorithm>
#include <optional>

namespace balsamwheel {

/// Versions up to which a daemon has seen the rows of both tables.
struct RowsSeen {
  RowVersion m_Operators;
  RowVersion m_Own;
};

struct RowCatchUpOptions {
  /// How long a daemon that reaches the table may lack an operators' row: its
  /// own watch brings the row, unless the watch has gone silent.
  Duration m_Patience = std::chrono::milliseconds(1000);
  /// From one request for rows to the next, unless the first is answered.
  Duration m_AnswerLimit = std::chrono::milliseconds(1000);
};

/// Pure; not thread-safe. Invariant: one request at a time is under way.
class RowCatchUp {
public:
  explicit RowCatchUp(RowCatchUpOptions Options = {}) : m_Options(Options) {}

  /// A peer reports what it has seen.
  ///
  /// \param Reachable the last call about the operators' table succeeded.
  /// \returns the versions after which rows are to be asked for, if any.
  std::optional<RowsSeen> onReport(const RowsSeen &Peer, const RowsSeen &Seen,
                                   bool Reachable, TimePoint Now) {
    if (Seen.m_Operators != m_LastSeen) {
      m_LastSeen = Seen.m_Operators;
      m_Behind = false;
    }
    const bool Behind = Peer.m_Operators > Seen.m_Operators;
    if (Behind && !m_Behind)
      m_BehindSince = Now;
    m_Behind |= Behind;
    const bool WantsOperators =
        Behind && (!Reachable || Now - m_BehindSince >= m_Options.m_Patience);
    const bool WantsOwn = Peer.m_Own > Seen.m_Own;
    if ((!WantsOperators && !WantsOwn) || Now < m_AskedUntil)
      return std::nullopt;
    m_AskedUntil = Now + m_Options.m_AnswerLimit;
    RowsSeen Wanted = Seen;
    if (!WantsOperators)
      Wanted.m_Operators = std::max(Peer.m_Operators, Seen.m_Operators);
    return Wanted;
  }

  /// Rows arrived; they may be the answer.
  void onRows() { m_AskedUntil = TimePoint(); }

private:
  RowCatchUpOptions m_Options;
  RowVersion m_LastSeen;
  /// A peer has reported newer rows of the operators' table than are known.
  bool m_Behind = false;
  TimePoint m_BehindSince;
  TimePoint m_AskedUntil;
};

} // namespace balsamwheel
