// Sleeps by polling an eventfd.
#include "runtime/event_waker.h"

#include "runtime/boot_clock.h"

#include <cerrno>
#include <cstdint>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace balsamwheel::runtime {

EventWaker::EventWaker() : m_EventFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_EventFd < 0)
    throw std::system_error(errno, std::system_category(), "eventfd");
}

EventWaker::~EventWaker() { close(m_EventFd); }

void EventWaker::wake() { eventfd_write(m_EventFd, 1); }

void EventWaker::sleepUntil(TimePoint Deadline) {
  const Duration Remaining = Deadline - bootNow();
  if (Remaining <= Duration::zero())
    return;
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Remaining);
  const timespec Timeout{
      .tv_sec = Seconds.count(),
      .tv_nsec = std::chrono::nanoseconds(Remaining - Seconds).count()};
  pollfd Poll{.fd = m_EventFd, .events = POLLIN, .revents = 0};
  if (ppoll(&Poll, 1, &Timeout, nullptr) > 0) {
    eventfd_t Count = 0;
    eventfd_read(m_EventFd, &Count);
  }
}

} // namespace balsamwheel::runtime
