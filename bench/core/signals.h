// Waiting for SIGTERM and SIGINT.
#pragma once

namespace balsamwheel::bench {

/// Blocks both signals for this thread and those it starts later. Make one
/// before any thread.
class SignalWaiter {
public:
  SignalWaiter();
  void waitForEnd() const;
};

} // namespace balsamwheel::bench
