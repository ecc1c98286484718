// Waits for SIGTERM or SIGINT.
#pragma once

namespace balsamwheel::bench {

/// The constructor blocks both signals for the calling thread and the threads
/// that it starts later. Construct it before starting any thread.
class SignalWaiter {
public:
  SignalWaiter();
  /// Blocks until one of the signals arrives.
  void waitForTermination() const;
};

} // namespace balsamwheel::bench
