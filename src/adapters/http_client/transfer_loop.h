// A thread that carries out HTTP exchanges through libcurl.
#pragma once

#include "adapters/http_client/transfer.h"

#include <cstddef>
#include <memory>
#include <string>

namespace balsamwheel::http_client {

struct TransferLoopOptions {
  /// Name of the thread.
  std::string m_Name = "http";
  /// Most connections open at the same time.
  long m_MaxConnections = 130;
  /// Idle connections older than this are not used again.
  std::chrono::seconds m_MaxIdle{20};
  /// Most transfers handed over and not yet begun.
  std::size_t m_QueueSize = 1024;
};

/// Sends each request at most once: libcurl's own repetition on a connection
/// that turns out dead is suppressed.
class TransferLoop {
public:
  explicit TransferLoop(TransferLoopOptions Options);
  ~TransferLoop();

  /// Hands a transfer over; any thread. When the queue is full it ends as
  /// NotSent on the calling thread.
  void submit(Transfer Outgoing);
  /// Ends a transfer early; any thread. Its end is still reported.
  void cancel(TransferId Id);
  /// Changes the cap on connections; any thread.
  void setMaxConnections(long Connections);
  /// Ends the thread; open transfers are reported as broken or not sent.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::http_client
