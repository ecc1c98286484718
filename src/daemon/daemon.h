// The daemon as a whole: builds its parts, joins them, runs them.
#pragma once

#include "daemon/settings.h"

#include <memory>
#include <system_error>

namespace balsamwheel::daemon {

/// Lives as long as the process. Starts threads; reads no command line.
class Daemon {
public:
  explicit Daemon(Settings InitialSettings);
  ~Daemon();

  /// Opens all listening sockets.
  std::error_code start();
  /// Runs the core on the calling thread until a shutdown is complete.
  void run();
  /// Asks for a graceful shutdown; any thread.
  void shutdown();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::daemon
