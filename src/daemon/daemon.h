// The complete daemon: creates, connects and runs its parts.
#pragma once

#include "daemon/settings.h"

#include <memory>
#include <system_error>

namespace balsamwheel::daemon {

/// Meant to live as long as the process. Starts threads.
class Daemon {
public:
  explicit Daemon(Settings InitialSettings);
  ~Daemon();

  /// Opens all listening sockets.
  ///
  /// \returns the first error; it is also logged.
  std::error_code start();
  /// Runs the core on the calling thread until a shutdown is complete.
  void run();
  /// Requests a graceful shutdown. Thread-safe.
  void shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::daemon
