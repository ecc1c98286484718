// Event loop of one thread: I/O events, timers and deferred tasks. Timers use
// CLOCK_BOOTTIME: changes of the wall clock don't affect them, and the time
// during which the machine is suspended counts.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <ace/Event_Handler.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

class ACE_Reactor;

namespace balsamwheel {

/// Returns the time since boot, suspension included (CLOCK_BOOTTIME).
TimePoint bootNow();

struct EventLoopOptions {
  /// Maximum number of descriptors that are watched at the same time.
  std::size_t m_MaxHandles = 4096;
  /// Longest wait for an event, and thus the longest time from a signal to the
  /// next call of the function that was passed to run().
  Duration m_MaxSleep = std::chrono::milliseconds(250);
};

/// Runs everything on the thread that calls run(); not thread-safe.
class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

  explicit EventLoop(EventLoopOptions Options);
  ~EventLoop();

  /// Returns the time at the start of the current event without reading the
  /// clock.
  TimePoint now() const { return m_Now; }
  /// Reads the clock; for checks right before something is sent.
  TimePoint refreshNow() { return m_Now = bootNow(); }

  /// Runs \p Work once after \p Delay, measured from now(). Complexity:
  /// logarithmic in the number of timers.
  TimerId after(Duration Delay, Task Work);
  /// Ignores unknown and expired timers.
  void cancel(TimerId Timer);
  /// Runs \p Work after the current event.
  void post(Task Work) { m_Posted.push_back(std::move(Work)); }
  /// Destroys \p Object after the current event, so that it may be called from
  /// one of its own callbacks.
  template <typename T> void destroyLater(std::unique_ptr<T> Object) {
    post([Owned = std::shared_ptr<T>(std::move(Object))] {});
  }

  ACE_Reactor &reactor() { return *m_Reactor; }
  /// Runs until stop(). \p AfterWakeUp is called after each wake-up, when the
  /// posted tasks and due timers have run.
  void run(const Task &AfterWakeUp);
  void stop() { m_Stopped = true; }

private:
  Duration untilNextTimer() const;
  void runPosted();
  void runTimers();

  EventLoopOptions m_Options;
  std::unique_ptr<ACE_Reactor> m_Reactor;
  TimePoint m_Now;
  std::uint64_t m_LastTimer = 0;
  std::multimap<TimePoint, std::pair<TimerId, Task>> m_Timers;
  std::map<TimerId, TimePoint> m_Due;
  std::vector<Task> m_Posted;
  bool m_Stopped = false;
};

} // namespace balsamwheel
