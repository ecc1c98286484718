// Room at a gate for requests of different priorities.
//
// Load pattern: routes of different priority use one target, and a burst of the
// least urgent one fills all of its slots with work that takes long. A more
// urgent request goes first in the queue, but its objective may be too near to
// wait for the next slot. So as many slots as the more urgent requests have
// used lately are left for them, and given back within one service time after
// their last arrival.
//
// Urgent requests alone may exceed what the target can serve. A priority that
// is served far less often than all goes first until it isn't.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace balsamwheel {

struct GateRanksOptions {
  /// Time constant over which the use of slots is measured.
  Duration m_DemandTime = std::chrono::seconds(1);
  /// Slots left for more urgent requests beyond their mean use, as a fraction
  /// of its square root, which is the deviation of random arrivals.
  double m_Spread = 0.75;
  /// Slots are left for requests that can wait for less than this many starts:
  /// others are served in time from the head of the queue.
  double m_PatienceStarts = 8;
  /// Weight of the newest request in the mean patience.
  double m_PatienceWeight = 0.1;
  /// A priority served less often than this fraction of the service fraction of
  /// all goes first. Above the quarter that is promised, because it takes time
  /// to take effect.
  double m_Floor = 0.35;
  /// Time constant over which service fractions are measured.
  Duration m_FloorTime = std::chrono::seconds(5);
  /// Requests sent or refused, weighted by age, without which there is no
  /// service fraction.
  double m_MinDecided = 3;
  /// A priority without requests for this time is forgotten.
  Duration m_Lifetime = std::chrono::minutes(2);
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: with one
/// priority no slot is left free and none goes first.
class GateRanks {
public:
  explicit GateRanks(GateRanksOptions Options = {}) : m_Options(Options) {}

  /// Counts a request that has arrived.
  /// \param Service its expected service time.
  /// \param Patience time for which it may wait.
  void arrived(std::uint32_t Priority, Duration Service, Duration Patience,
               TimePoint Now);
  /// Counts a request that was sent to the target.
  void started(std::uint32_t Priority, TimePoint Now);
  /// Counts a request that was refused, at arrival or later.
  void refused(std::uint32_t Priority, TimePoint Now);
  /// Counts the end of a request that was started.
  void finished(std::uint32_t Priority);
  /// Decides anew who goes first and how many slots are left for whom.
  /// \param StartGap mean time between two free slots while all are used.
  /// \param MeanService moving average over all requests.
  /// Complexity: quadratic in the number of priorities.
  void update(Duration StartGap, Duration MeanService, TimePoint Now);

  /// As of the last update: the lower is sent first.
  std::int64_t rank(std::uint32_t Priority) const;
  /// As of the last update: slots that the priority leaves free.
  std::uint32_t slotsToLeave(std::uint32_t Priority) const;
  /// As of the last update: mean number of slots that those requests use for
  /// which this priority leaves slots.
  double slotsUsedBefore(std::uint32_t Priority) const;
  std::size_t size() const { return m_Ranks.size(); }

private:
  struct Rank {
    std::uint32_t m_Running = 0;
    TimePoint m_LastArrival;
    TimePoint m_AgedAt;
    /// Slot time of arrivals in microseconds, weighted by age.
    double m_SlotTime = 0;
    /// Requests that were sent or refused, and those that were sent, weighted
    /// by age.
    double m_Decided = 0;
    double m_Started = 0;
    /// Mean, in microseconds.
    double m_Patience = 0;
    bool m_GoesFirst = false;
    std::uint32_t m_SlotsToLeave = 0;
    double m_SlotsUsedBefore = 0;
  };

  void age(Rank &Subject, TimePoint Now) const;
  Rank &rankAt(std::uint32_t Priority, TimePoint Now);
  const Rank *find(std::uint32_t Priority) const;
  void chooseFirst();

  GateRanksOptions m_Options;
  /// By priority.
  std::map<std::uint32_t, Rank> m_Ranks;
};

} // namespace balsamwheel
