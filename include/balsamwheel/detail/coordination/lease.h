// The holder's side of a lease: how long this session may act.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <set>

namespace balsamwheel {

/// Counts the lease from before the renewal was sent. Invariant: end() never
/// lies beyond the send time of a renewal plus the lease, for a renewal that
/// stands in the table or that a quorum of witnesses granted.
class LeaseHolder {
public:
  LeaseHolder(Duration Lease, Duration ExtensionLimit)
      : m_Lease(Lease), m_ExtensionLimit(ExtensionLimit) {}

  /// Starts the next renewal; returns its sequence.
  std::uint64_t startRenewal(TimePoint Now);
  /// A renewal stands in the table.
  ///
  /// \returns whether it is newer than those known before.
  bool onCommitted(std::uint64_t Sequence);
  /// A witness granted a renewal.
  void onGrant(std::uint64_t Sequence, SessionId Witness,
               const std::vector<SessionId> &Witnesses);
  /// Ends the lease at once.
  void release();

  bool holds(TimePoint Now) const;
  TimePoint end() const { return m_End; }
  bool extended() const { return m_Extended; }
  std::uint64_t sequence() const { return m_Sequence; }
  std::uint64_t committed() const { return m_Committed; }
  TimePoint sentAt(std::uint64_t Sequence) const;

private:
  void extendTo(TimePoint End, bool Extended);

  Duration m_Lease;
  /// The longest time that witnesses may extend past the last commit.
  Duration m_ExtensionLimit;
  TimePoint m_End;
  bool m_Extended = false;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Committed = 0;
  TimePoint m_CommittedSendTime;
  /// Send times of the last renewals.
  std::map<std::uint64_t, TimePoint> m_SendTimes;
  std::map<std::uint64_t, std::set<SessionId>> m_Grants;
};

} // namespace balsamwheel
