// Peer transport over TCP: one reactor thread that exchanges length-prefixed
// FlatBuffers messages.
#pragma once

#include "balsamwheel/detail/wire/peer.h"

#include <cstddef>
#include <memory>
#include <system_error>

namespace balsamwheel::peer_tcp {

struct TcpTransportOptions {
  /// "host:port" to listen on.
  PeerAddress m_Listen;
  /// "host:port" advertised to peers; m_Listen if empty.
  PeerAddress m_Advertised;
  /// Maximum number of open connections, incoming and outgoing together.
  std::size_t m_MaxConnections = 2048;
  /// Maximum bytes queued for one peer. When more are queued, the next message
  /// is dropped and the connection is closed.
  std::size_t m_MaxQueuedBytes = 8U << 20U;
};

/// Satisfies PeerTransport.
class TcpTransport {
public:
  TcpTransport(TcpTransportOptions Options, PeerHandlers Handlers);
  ~TcpTransport();

  /// Opens the listening socket and starts the reactor thread.
  std::error_code start();
  /// Queues a message; delivery is not guaranteed. May be called from any
  /// thread.
  void send(const PeerAddress &Receiver, PeerMessage Message);
  /// Closes all connections to a peer; the next send() opens a new one.
  void reset(const PeerAddress &Peer);
  /// Ends the reactor thread. No handler is called afterwards.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::peer_tcp
