// The witness's side of leases: extends leases of other sessions while the
// table is unreachable, and promises to stop before a session is expelled.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <unordered_map>

namespace balsamwheel {

/// Grants and promises of one session as a witness. Nothing is persisted and no
/// value is decided here: a witness can only delay a takeover, which itself
/// needs a commit to the table.
///
/// Invariant: once a promise for a sequence is reported, no extension that
/// this witness granted to the subject is outstanding, and none is granted
/// until the subject shows a higher committed sequence.
class Witness {
public:
  explicit Witness(Duration GrantDuration) : m_GrantDuration(GrantDuration) {}

  /// Records that the group's row lists this session as a witness of \p
  /// Subject.
  void onAssigned(SessionId Subject, TimePoint Now);
  /// Handles a request to extend the subject's lease.
  ///
  /// \param Committed the highest sequence that the subject knows to be
  /// committed.
  /// \returns whether the extension is granted.
  bool tryGrant(SessionId Subject, std::uint64_t Committed, TimePoint Now);
  /// Handles a request for a promise. Whatever the result, this witness grants
  /// no further extension until the subject shows a higher committed sequence.
  ///
  /// \returns whether the promise is given: no extension is outstanding.
  bool tryPromise(SessionId Subject, std::uint64_t Sequence, TimePoint Now);
  void forget(SessionId Subject);

private:
  struct Record {
    /// Upper bound on the end of extensions that this witness, or the one that
    /// it replaced, has granted.
    TimePoint m_GrantedUntil;
    /// Highest sequence for which a promise was requested; 0 if none.
    std::uint64_t m_PromisedSequence = 0;
  };

  /// Lease duration plus the margin for clock drift.
  Duration m_GrantDuration;
  std::unordered_map<SessionId, Record> m_Records;
};

} // namespace balsamwheel
