// Puts a thread to sleep until another one wakes it or a time has come.
#pragma once

#include "balsamwheel/detail/core/time.h"

namespace balsamwheel::runtime {

/// One sleeper, any number of threads that wake it.
class EventWaker {
public:
  EventWaker();
  ~EventWaker();
  EventWaker(const EventWaker &) = delete;
  EventWaker &operator=(const EventWaker &) = delete;

  void wake();
  /// Sleeps until wake() or \p Until.
  void sleepUntil(TimePoint Until);

private:
  int m_Event;
};

} // namespace balsamwheel::runtime
