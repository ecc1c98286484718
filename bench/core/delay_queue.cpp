// A thread that waits for the earliest function.
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

void DelayQueue::at(TimePoint Time, std::function<void()> Work) {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Work.emplace(Time, std::move(Work));
  }
  m_Changed.notify_all();
}

void DelayQueue::run() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopped) {
    if (m_Work.empty()) {
      m_Changed.wait(Lock);
      continue;
    }
    const Duration Left = m_Work.begin()->first - now();
    if (Left > Duration::zero()) {
      m_Changed.wait_for(Lock, Left);
      continue;
    }
    const std::function<void()> Work = std::move(m_Work.begin()->second);
    m_Work.erase(m_Work.begin());
    Lock.unlock();
    Work();
    Lock.lock();
  }
}

} // namespace balsamwheel::bench
