// Model of a target with a number of slots, a cold start and collapse under
// lasting overload.
#pragma once

#include "policy/event_loop.h"

#include <functional>
#include <unordered_map>

namespace balsamwheel::policy {

struct ModelledTargetOptions {
  std::uint32_t m_Slots = 10;
  /// Fraction of the slots that a cold target can use right after its start.
  double m_ColdShare = 0.2;
  /// Time from the start until all slots can be used.
  Duration m_WarmUpTime = std::chrono::seconds(10);
  /// The target collapses if the number of running requests exceeds this
  /// multiple of its usable slots for longer than m_OverloadTolerance.
  double m_OverloadRatio = 1.5;
  Duration m_OverloadTolerance = std::chrono::milliseconds(250);
  /// Time for which a target refuses requests after a failure or collapse.
  Duration m_Downtime = std::chrono::seconds(1);
  bool m_StartsCold = false;
};

/// Processor sharing: with more requests than usable slots, each request slows
/// down. Invariant: the completion handler of every started request is called
/// exactly once, unless the request is cancelled.
class ModelledTarget {
public:
  using CompletionHandler = std::function<void(const OrderResult &)>;

  ModelledTarget(EventLoop &Loop, ModelledTargetOptions Options);

  /// Starts a request.
  ///
  /// \param ServiceTime its service time on a target that is neither overloaded
  /// nor slowed.
  /// \returns an id for cancel().
  std::uint64_t start(Duration ServiceTime, CompletionHandler OnCompletion);
  void cancel(std::uint64_t Request);
  /// Starts the warm-up again. With \p FailsRequests the requests in progress
  /// fail and the target refuses requests for m_Downtime.
  void becomeCold(bool FailsRequests);
  /// From now on every request takes \p Factor times as long.
  void setSlowness(double Factor);

  std::uint32_t collapses() const { return m_Collapses; }

private:
  struct RunningRequest {
    /// Remaining service time at undisturbed speed, in microseconds.
    double m_WorkLeft = 0;
    TimePoint m_Start;
    CompletionHandler m_OnCompletion;
  };

  /// Returns the number of slots that can be used in the current state of the
  /// warm-up.
  double usableSlots() const;
  /// Returns the speed of each request, as a fraction of its undisturbed speed.
  double speed() const;
  void advance();
  void rescheduleNext();
  void complete(std::uint64_t Generation);
  void tick();
  void failAll();

  EventLoop &m_Loop;
  ModelledTargetOptions m_Options;
  std::unordered_map<std::uint64_t, RunningRequest> m_Running;
  std::uint64_t m_NextRequest = 1;
  // Completion events scheduled in an earlier generation are ignored.
  std::uint64_t m_Generation = 0;
  TimePoint m_LastAdvance;
  TimePoint m_ColdSince;
  TimePoint m_DownUntil;
  // Last time at which the load was within m_OverloadRatio.
  TimePoint m_LastSustainable;
  /// Factor on the service times of all requests.
  double m_Slowness = 1;
  std::uint32_t m_Collapses = 0;
};

} // namespace balsamwheel::policy
