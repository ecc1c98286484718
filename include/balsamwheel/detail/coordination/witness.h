// A witness of other sessions: extends their leases while the table is out of
// reach, and promises takers to stop.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <unordered_map>

namespace balsamwheel {

/// Keeps nothing beyond the process and decides no value: it can only delay a
/// takeover, which still needs the table.
///
/// Invariant: after a promise for a sequence is reported, no extension that
/// this witness granted to the subject is outstanding, and none is granted
/// until the subject shows a higher committed sequence.
class Witness {
public:
  explicit Witness(Duration GrantDuration) : m_GrantDuration(GrantDuration) {}

  /// The group's row names this session as a witness of \p Subject.
  void onAssigned(SessionId Subject, TimePoint Now);
  /// Asks for an extension.
  ///
  /// \param Committed the subject's last sequence in the table.
  bool tryGrant(SessionId Subject, std::uint64_t Committed, TimePoint Now);
  /// Asks for a promise.
  ///
  /// \returns whether no extension is outstanding any more.
  bool tryPromise(SessionId Subject, std::uint64_t Sequence, TimePoint Now);
  void forget(SessionId Subject);

private:
  struct Record {
    /// An extension of this witness, or of one whose place it took, may last
    /// until then.
    TimePoint m_GrantedUntil;
    /// Highest sequence for which a promise was given; 0 if none.
    std::uint64_t m_PromisedSequence = 0;
  };

  /// The lease plus the margin for clock drift.
  Duration m_GrantDuration;
  std::unordered_map<SessionId, Record> m_Records;
};

} // namespace balsamwheel
