// One thread's reactor, timers and deferred work. Timers run on the boot
// clock: neither a step of the time of day nor a suspended machine moves them.
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

/// The boot clock now.
TimePoint bootNow();

struct EventLoopOptions {
  /// Most descriptors watched at the same time.
  std::size_t m_MaxHandles = 4096;
  /// Longest sleep; bounds how late a signal is noticed.
  Duration m_LongestSleep = std::chrono::milliseconds(250);
};

class EventLoop {
public:
  using Task = std::function<void()>;
  using TimerId = StrongId<struct TimerIdTag, std::uint64_t>;

  explicit EventLoop(EventLoopOptions Options);
  ~EventLoop();

  /// Time at the start of the present event; cheap.
  TimePoint now() const { return m_Now; }
  /// Reads the clock, for checks right before a send.
  TimePoint refreshNow() { return m_Now = bootNow(); }

  TimerId after(Duration Delay, Task Work);
  /// Unknown and expired timers are ignored.
  void cancel(TimerId Timer);
  /// Runs \p Work after the present event.
  void post(Task Work) { m_Posted.push_back(std::move(Work)); }
  /// Destroys \p Object after the present event.
  template <typename T> void retire(std::unique_ptr<T> Object) {
    post([Kept = std::shared_ptr<T>(std::move(Object))] {});
  }

  ACE_Reactor &reactor() { return *m_Reactor; }
  /// Runs until stop(); \p EachRound is called after each wake-up.
  void run(const Task &EachRound);
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
