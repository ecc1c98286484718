// Event loop in simulated time: events run in the order of their times, without
// threads or sleeping.
#pragma once

#include "balsamwheel/coordination.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace balsamwheel::policy {

/// Not thread-safe. Invariant: now() never decreases.
class EventLoop {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return m_Now; }

  /// Schedules an event; a time in the past counts as now.
  void at(TimePoint Time, Action Run) {
    m_Events.push({std::max(Time, m_Now), m_NextSequence++, std::move(Run)});
  }
  void after(Duration Delay, Action Run) { at(m_Now + Delay, std::move(Run)); }

  /// Runs all events up to and including \p End, then sets now() to \p End.
  void runUntil(TimePoint End) {
    while (!m_Events.empty() && m_Events.top().m_Time <= End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Run();
    }
    m_Now = End;
  }

private:
  struct Event {
    TimePoint m_Time;
    // Events of the same time run in the order in which they were scheduled.
    std::uint64_t m_Sequence = 0;
    Action m_Run;

    bool operator<(const Event &Other) const {
      return std::pair(m_Time, m_Sequence) >
             std::pair(Other.m_Time, Other.m_Sequence);
    }
  };

  TimePoint m_Now;
  std::uint64_t m_NextSequence = 0;
  std::priority_queue<Event> m_Events;
};

} // namespace balsamwheel::policy
