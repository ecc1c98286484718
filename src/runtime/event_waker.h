// Lets a thread sleep until another thread wakes it or a deadline passes.
#pragma once

#include "balsamwheel/detail/core/time.h"

namespace balsamwheel::runtime {

/// For one sleeping thread; any number of threads may wake it.
class EventWaker {
public:
  /// Throws std::system_error if no eventfd can be created.
  EventWaker();
  ~EventWaker();
  EventWaker(const EventWaker &) = delete;
  EventWaker &operator=(const EventWaker &) = delete;

  /// Ends the current sleep, or the next one if no thread is asleep.
  void wake();
  /// Sleeps until wake() or until \p Deadline (boot clock). May return early if
  /// a signal arrives.
  void sleepUntil(TimePoint Deadline);

private:
  int m_EventFd;
};

} // namespace balsamwheel::runtime
