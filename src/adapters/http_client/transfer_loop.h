// A thread that performs HTTP exchanges through libcurl. Used by
// balsamwheeld and the command-line tool; balsamwheel-sidecar uses src/net.
#pragma once

#include "adapters/http_client/transfer.h"

#include <cstddef>
#include <memory>
#include <string>

namespace balsamwheel::http_client {

struct TransferLoopOptions {
  /// Name of the thread.
  std::string m_Name = "http";
  /// Maximum number of open connections.
  long m_MaxConnections = 130;
  /// Connections that were idle for longer are not reused.
  std::chrono::seconds m_MaxIdle{20};
  /// Maximum number of submitted transfers that have not been started.
  std::size_t m_QueueSize = 1024;
};

/// Sends each request at most once: libcurl's automatic retry after a reused
/// connection has failed is suppressed.
class TransferLoop {
public:
  explicit TransferLoop(TransferLoopOptions Options);
  ~TransferLoop();

  /// Queues a transfer. May be called from any thread. If the queue is full or
  /// the loop has stopped, the transfer ends as NotSent on the calling thread.
  void submit(Transfer Outgoing);
  /// Ends a transfer early; its end is still reported. May be called from any
  /// thread.
  void cancel(TransferId Id);
  /// Changes the maximum number of connections. May be called from any thread.
  void setMaxConnections(long Connections);
  /// Ends the thread. Open transfers are reported as Broken or NotSent.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::http_client
