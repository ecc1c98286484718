// Runs functions at given times on a thread of its own.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace balsamwheel::bench {

class DelayQueue {
public:
  DelayQueue();
  ~DelayQueue();
  DelayQueue(const DelayQueue &) = delete;
  DelayQueue &operator=(const DelayQueue &) = delete;

  /// Runs \p Task at \p Time, or immediately when that has passed. Thread-safe.
  /// The destructor discards tasks that have not run.
  void runAt(TimePoint Time, std::function<void()> Task);

private:
  void run();

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::multimap<TimePoint, std::function<void()>> m_Tasks;
  bool m_Stopped = false;
  /// Declared last, since the thread uses the members above.
  std::thread m_Thread;
};

} // namespace balsamwheel::bench
