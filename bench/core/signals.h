// Waits for SIGTERM or SIGINT.
#pragma once

namespace balsamwheel::bench {

/// Masks SIGTERM and SIGINT in the constructor, for the calling thread and the
/// threads that it starts later. Construct it before starting any thread. The
/// destructor does not restore the signal mask.
class SignalWaiter {
public:
  SignalWaiter();
  /// Waits until SIGTERM or SIGINT is pending and consumes it.
  void waitForTermination() const;
};

} // namespace balsamwheel::bench
