// One TCP connection between two daemons: framing, reading and writing.
#pragma once

#include "adapters/peer_tcp/codec.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamwheel::peer_tcp {

class Connection;

/// Callbacks of a connection, called on the reactor's thread. A callback may
/// close the connection but must not destroy it.
class ConnectionHandler {
public:
  virtual ~ConnectionHandler() = default;
  virtual void onMessage(Connection &Source, WireMessage Message) = 0;
  virtual void onClosed(Connection &Closed) = 0;
};

enum class ConnectionState : std::uint8_t { Connecting, Open, Closed };

/// Reads complete frames and writes queued frames without blocking.
///
/// Invariants: frames are decoded in the order in which they were received;
/// after close() the connection is not registered with the reactor and calls
/// no further callbacks.
class Connection final : public ACE_Event_Handler {
public:
  Connection(ConnectionHandler &Handler, ACE_Reactor &Reactor,
             ConnectionState State);
  ~Connection() override;

  ACE_SOCK_Stream &stream() { return m_Stream; }
  ConnectionState state() const { return m_State; }

  /// Registers with the reactor. Returns false on failure.
  bool open();
  /// Appends one frame to the output buffer; flush() sends it.
  void queue(const std::vector<std::uint8_t> &Frame);
  /// Writes as many bytes as the socket accepts.
  void flush();
  void close();
  std::size_t queuedBytes() const { return m_Out.size() - m_OutSent; }

  /// Listening address of the peer; empty until its Hello was received.
  const PeerAddress &peer() const { return m_Peer; }
  void setPeer(PeerAddress Peer) { m_Peer = std::move(Peer); }

  /// Value of the transport's use counter at the last use.
  std::uint64_t lastUsed() const { return m_LastUsed; }
  void markUsed(std::uint64_t UseCounter) { m_LastUsed = UseCounter; }

  ACE_HANDLE get_handle() const override { return m_Stream.get_handle(); }
  int handle_input(ACE_HANDLE Handle) override;
  int handle_output(ACE_HANDLE Handle) override;

private:
  bool finishConnect();
  bool readAvailable();
  bool processFrames();
  void setWriteInterest(bool Wanted);

  ConnectionHandler &m_Handler;
  ACE_Reactor &m_Reactor;
  ACE_SOCK_Stream m_Stream;
  ConnectionState m_State;
  bool m_WriteInterest = false;
  PeerAddress m_Peer;
  std::uint64_t m_LastUsed = 0;
  std::vector<std::uint8_t> m_In;
  std::vector<std::uint8_t> m_Out;
  /// Bytes at the front of m_Out that were already written.
  std::size_t m_OutSent = 0;
};

} // namespace balsamwheel::peer_tcp
