// The holder's side of a lease: until when this session may act.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <set>

namespace balsamwheel {

/// Tracks renewals and the end of the lease, which runs from the send time of a
/// renewal, not from its acknowledgement. Invariant: end() is never later than
/// the send time plus the lease duration of a renewal that is committed to the
/// table or granted by a quorum of witnesses.
class LeaseHolder {
public:
  LeaseHolder(Duration Lease, Duration ExtensionLimit)
      : m_Lease(Lease), m_ExtensionLimit(ExtensionLimit) {}

  /// Starts the next renewal at its send time.
  ///
  /// \returns its sequence.
  std::uint64_t startRenewal(TimePoint Now);
  /// Records that a renewal is committed to the table.
  ///
  /// \returns whether it is newer than every committed renewal known before.
  bool onCommitted(std::uint64_t Sequence);
  /// Records that a witness granted a renewal. Ignored unless the session is
  /// listed in \p Witnesses.
  void onGrant(std::uint64_t Sequence, SessionId Witness,
               const std::vector<SessionId> &Witnesses);
  /// Ends the lease immediately.
  void release();

  bool holds(TimePoint Now) const;
  TimePoint end() const { return m_End; }
  /// Whether the end was last set by witnesses, not by a commit.
  bool extended() const { return m_Extended; }
  /// Sequence of the last renewal that was started.
  std::uint64_t sequence() const { return m_Sequence; }
  /// Highest sequence known to be committed.
  std::uint64_t committed() const { return m_Committed; }
  /// Send time of a recent renewal; TimePoint{} if it is no longer tracked.
  TimePoint sentAt(std::uint64_t Sequence) const;

private:
  void extendTo(TimePoint End, bool Extended);

  Duration m_Lease;
  /// Witnesses extend the lease at most this long past the send time of the
  /// last committed renewal.
  Duration m_ExtensionLimit;
  TimePoint m_End;
  bool m_Extended = false;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Committed = 0;
  TimePoint m_CommittedSendTime;
  /// Send times of the most recent renewals by sequence.
  std::map<std::uint64_t, TimePoint> m_SendTimes;
  /// Witnesses that granted a renewal, by its sequence.
  std::map<std::uint64_t, std::set<SessionId>> m_Grants;
};

} // namespace balsamwheel
