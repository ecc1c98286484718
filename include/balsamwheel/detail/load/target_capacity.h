// Measured capacity of a target: the number of concurrent requests that it
// handles well.
//
// Load pattern: targets of one service differ in speed, and some slow down long
// before their slots are full, e.g. to half of their speed at two thirds of
// them. More concurrent requests then complete less. At the same time,
// neighbours on the machine slow a target down for fractions of a second, and
// requests wait for nested ones elsewhere: neither depends on the concurrency,
// and fewer requests at a time would only complete less.
//
// Hence a fit of the throughput over the concurrency. The cost of a level of
// concurrency is the time of its requests relative to the usual time of their
// routes, so that routes of 54 and 480 ms are comparable. A low quantile is
// taken: interference slows some requests down, a full target nearly all. The
// throughput is the level divided by its cost; the capacity is the smallest
// level at which one more request doesn't raise it. A cost that changes at the
// same level says that the target has changed, not why: the costs of all levels
// change with it, and two thirds of the level are tried for a moment.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace balsamwheel {

struct TargetCapacityOptions {
  /// Slots that the target names; the capacity never exceeds them.
  std::uint32_t m_Slots = 1;
  /// The capacity is never lower, unless the slots are.
  std::uint32_t m_Floor = 2;
  /// Fraction of the slots assumed before anything is known.
  double m_InitialShare = 0.6;
  /// Time over which the cost of a level is taken. Longer than a short
  /// interference of a neighbour, shorter than the time to follow a change.
  Duration m_Window = std::chrono::milliseconds(1000);
  /// Time for which a level must have been worse before that counts.
  Duration m_Confirm = std::chrono::milliseconds(700);
  /// Quantile of the relative times in the window.
  double m_Quantile = 0.25;
  /// Minimum requests in the window for a cost.
  std::size_t m_MinSamples = 5;
  /// Interval between two decisions.
  Duration m_Interval = std::chrono::milliseconds(100);
  /// Smoothing factor of a level's cost at each decision.
  double m_CostWeight = 0.15;
  /// A cost that differs by this factor from the same level's before means that
  /// the target has changed.
  double m_ChangeFactor = 1.5;
  /// A level isn't worth it when its cost exceeds that of a smaller one by
  /// this share of what would use up all of its additional concurrency, and by
  /// m_Noise, divided by the root of the requests seen at either.
  double m_WastedShare = 0.7;
  double m_Noise = 0.6;
  /// The share after a trial of a smaller level: what lies between is tried
  /// afterwards.
  double m_WastedInTrial = 0.5;
  /// Minimum time between two steps up.
  Duration m_MinStep = std::chrono::milliseconds(150);
  /// Time until a level that didn't raise the throughput is tried again;
  /// doubles each time up to the maximum.
  Duration m_MinRetry = std::chrono::milliseconds(800);
  Duration m_MaxRetry = std::chrono::seconds(8);
  /// Additional tolerance, as a logarithm, per request that is sent again.
  double m_RefusalNoise = 0.25;
  /// After a change by this factor, a third of the level is tried at once.
  double m_DeepFactor = 3;
  /// A third of the level is also tried when requests still take this many
  /// times as long as usual, with a pause that doubles up to the maximum while
  /// it is in vain.
  double m_TrialRatio = 2.0;
  Duration m_MinTrialPause = std::chrono::seconds(4);
  Duration m_MaxTrialPause = std::chrono::seconds(16);
  /// Maximum duration of a trial of a smaller level.
  Duration m_MaxTrial = std::chrono::seconds(2);
  /// Costs of levels that were not reached for this time are forgotten.
  Duration m_Memory = std::chrono::seconds(10);
  /// Time constant of smoothed().
  Duration m_Smoothing = std::chrono::seconds(4);
};

/// How a request at the target ended.
enum class CapacityEnd : std::uint8_t {
  Served,
  /// The target has refused it without running it.
  Refused,
  /// Failed, cancelled or timed out: its time says nothing.
  Other,
};

/// Performs no I/O and reads no clock; not thread-safe. Invariants: limit() is
/// at least 1 and at most the slots; running requests are counted once each
/// between started() and ended().
class TargetCapacity {
public:
  /// A running request.
  struct Run {
    TimePoint m_Start;
    /// Integral of the running requests over time at the start.
    double m_Area = 0;
  };

  TargetCapacity(TargetCapacityOptions Options, TimePoint Now);

  /// Sets the slots that the target names.
  void setSlots(std::uint32_t Slots, TimePoint Now);
  Run started(TimePoint Now);
  /// Complexity: constant, and once per decision interval linear in the slots
  /// times the requests of the window.
  void ended(const Run &Ended, const std::string &Route, CapacityEnd How,
             TimePoint Now);

  /// Number of concurrent requests that the target handles well.
  std::uint32_t limit() const { return m_Limit; }
  /// limit() smoothed over several seconds.
  double smoothed(TimePoint Now) const;
  /// Time of requests at the limit relative to the usual one, times those sent
  /// per request that wasn't refused; 0 if unknown.
  double costAtLimit() const;
  /// Changes of the target noticed so far.
  std::uint64_t changes() const { return m_Changes; }

private:
  struct Sample {
    TimePoint m_End;
    double m_Micros;
    /// Usual time of the route in microseconds; null for a refusal.
    const double *m_Usual;
    std::uint32_t m_Level;
  };
  struct Level {
    /// Relative time per completed request; 0 if unknown.
    double m_Cost = 0;
    /// Requests that the cost is taken from, up to a maximum.
    double m_Count = 0;
    /// Requests sent per request that the target didn't refuse.
    double m_Tries = 1;
    TimePoint m_SeenAt;
    /// Not tried again before this time.
    TimePoint m_RetryAt;
    Duration m_Retry{0};
  };

  /// What the window says about a level; no cost if too few requests ended.
  struct Fresh {
    double m_Cost = 0;
    /// The cost relative to the usual times.
    double m_Ratio = 0;
    double m_Tries = 1;
    /// From the first to the last end.
    Duration m_Span{0};
  };

  std::uint32_t floor() const;
  void advance(TimePoint Now);
  const double *learnUsual(const std::string &Route, double Micros,
                           double Level);
  void decide(TimePoint Now);
  Fresh fresh(std::uint32_t At) const;
  void updateCosts(TimePoint Now);
  void onChange(std::uint32_t At, double Factor, double Tries, TimePoint Now);
  static void forget(Level &Which);
  void forgetAbove(std::uint32_t At);
  /// Whether the limit, or the level before the trial, isn't worth it compared
  /// with a smaller level.
  bool isBetter(std::uint32_t Smaller) const;
  /// The level with the most throughput among those that are better than the
  /// limit; 0 if there is none.
  std::uint32_t betterLevel() const;
  void goBack(std::uint32_t To, TimePoint Now);
  void tryHigher(TimePoint Now);
  void startTrial(bool Deep, TimePoint Now);
  void endTrialIfDue(TimePoint Now);
  void setLimit(std::uint32_t Limit, TimePoint Now);

  TargetCapacityOptions m_Options;
  std::uint32_t m_Limit = 1;
  std::uint32_t m_Running = 0;
  double m_Area = 0;
  TimePoint m_AreaAt;
  /// When all of the limit was last in use.
  TimePoint m_FullAt;
  TimePoint m_DecidedAt;
  TimePoint m_LimitSetAt;
  std::deque<Sample> m_Samples;
  /// Usual times by route in microseconds.
  std::map<std::string, double> m_Usual;
  /// Logarithm of the mean factor by which the usual times have changed: costs
  /// of different times are compared without it.
  double m_Drift = 0;
  /// By concurrency; index 0 isn't used.
  std::vector<Level> m_Levels;
  /// Level to return to after a trial; 0 if there is none.
  std::uint32_t m_TrialFrom = 0;
  TimePoint m_NextTrial;
  Duration m_TrialPause{0};
  /// Requests that started earlier don't count.
  TimePoint m_CleanFrom;
  std::uint64_t m_Changes = 0;
  double m_Smoothed = 0;
  TimePoint m_SmoothedAt;
};

} // namespace balsamwheel
