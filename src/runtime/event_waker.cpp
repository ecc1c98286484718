// Sleeping on an eventfd.
#include "runtime/event_waker.h"

#include "runtime/boot_clock.h"

#include <cerrno>
#include <cstdint>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace balsamwheel::runtime {

EventWaker::EventWaker() : m_Event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_Event < 0)
    throw std::system_error(errno, std::system_category(), "eventfd");
}

EventWaker::~EventWaker() { close(m_Event); }

void EventWaker::wake() { eventfd_write(m_Event, 1); }

void EventWaker::sleepUntil(TimePoint Until) {
  const Duration Left = Until - bootNow();
  if (Left <= Duration::zero())
    return;
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Left);
  const timespec Timeout{.tv_sec = Seconds.count(),
                         .tv_nsec =
                             std::chrono::nanoseconds(Left - Seconds).count()};
  pollfd Wait{.fd = m_Event, .events = POLLIN, .revents = 0};
  if (ppoll(&Wait, 1, &Timeout, nullptr) > 0) {
    eventfd_t Count = 0;
    eventfd_read(m_Event, &Count);
  }
}

} // namespace balsamwheel::runtime
