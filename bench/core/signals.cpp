// Blocks the POSIX signals and waits for them with sigwait().
#include "bench/core/signals.h"

#include <csignal>

namespace balsamwheel::bench {

namespace {

sigset_t terminationSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

} // namespace

SignalWaiter::SignalWaiter() {
  const sigset_t Set = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
}

void SignalWaiter::waitForTermination() const {
  const sigset_t Set = terminationSignals();
  int Signal = 0;
  sigwait(&Set, &Signal);
}

} // namespace balsamwheel::bench
