// Peer transport over TCP: one reactor thread, length-framed FlatBuffers.
#pragma once

#include "balsamwheel/detail/wire/peer.h"

#include <cstddef>
#include <memory>
#include <system_error>

namespace balsamwheel::peer_tcp {

struct TcpTransportOptions {
  /// "host:port" to listen on.
  PeerAddress m_Listen;
  /// "host:port" to state to peers; empty for m_Listen.
  PeerAddress m_Advertised;
  /// Most open connections, in both directions together.
  std::size_t m_MaxConnections = 2048;
  /// Bytes waiting for one peer; messages beyond are dropped and the
  /// connection is closed.
  std::size_t m_MaxQueuedBytes = 8U << 20U;
};

/// Satisfies PeerTransport.
class TcpTransport {
public:
  TcpTransport(TcpTransportOptions Options, PeerHandlers Handlers);
  ~TcpTransport();

  /// Opens the listening socket and starts the reactor thread.
  std::error_code start();
  void send(const PeerAddress &Receiver, PeerMessage Message);
  /// Closes the connections with a peer; the next send opens a new one.
  void reset(const PeerAddress &Peer);
  /// Ends the reactor thread. No handler runs afterwards.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::peer_tcp
