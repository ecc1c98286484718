// The thread sleeps until the earliest task is due.
#include "bench/core/delay_queue.h"

#include "bench/core/clock.h"

namespace balsamwheel::bench {

DelayQueue::DelayQueue() : m_Thread([this] { run(); }) {}

DelayQueue::~DelayQueue() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
  }
  m_Changed.notify_all();
  m_Thread.join();
}

void DelayQueue::runAt(TimePoint Time, std::function<void()> Task) {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Tasks.emplace(Time, std::move(Task));
  }
  m_Changed.notify_all();
}

void DelayQueue::run() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopped) {
    if (m_Tasks.empty()) {
      m_Changed.wait(Lock);
      continue;
    }
    const Duration Remaining = m_Tasks.begin()->first - now();
    if (Remaining > Duration::zero()) {
      m_Changed.wait_for(Lock, Remaining);
      continue;
    }
    const std::function<void()> Task = std::move(m_Tasks.begin()->second);
    m_Tasks.erase(m_Tasks.begin());
    Lock.unlock();
    Task();
    Lock.lock();
  }
}

} // namespace balsamwheel::bench
