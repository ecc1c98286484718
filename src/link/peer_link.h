// Framed connections between the daemons of instances. On the wire a frame is
// two lengths, a FlatBuffers frame, and the body of a request or answer; a beat
// is a marked length and its parts.
#pragma once

#include "link_beat.h"

#include "net/stream.h"

#include <memory>
#include <string>

namespace balsamwheel {

using LinkFrame = link_wire::FrameT;
using LinkFrameKind = link_wire::Kind;

/// Maximum size of a frame with its body, in bytes; a larger one ends the
/// connection.
inline constexpr std::size_t MaxLinkFrameBytes = std::size_t{80} << 20;

/// Encodes a frame and its body for the wire.
std::string encodeFrame(const LinkFrame &Frame, std::string_view Body);

/// Encodes a beat for the wire.
std::string encodeBeatFrame(const LinkBeat &Beat);

struct PeerLinkEvents {
  std::function<void()> m_OnOpen;
  std::function<void(std::unique_ptr<LinkFrame>, std::string Body)> m_OnFrame;
  /// May be empty; beats are then ignored.
  std::function<void(const LinkBeat &)> m_OnBeat;
  /// The connection failed or the peer closed it. Called at most once.
  std::function<void(const char *Why)> m_OnEnd;
  /// All frames that one read has completed have been delivered.
  std::function<void()> m_OnReadDone;
  /// All bytes that were sent have been handed to the kernel.
  std::function<void()> m_OnDrained;
};

/// One connection. Invariant: frames and beats are delivered complete, in order
/// and verified.
class PeerLink {
public:
  PeerLink(EventLoop &Loop, PeerLinkEvents Events);

  bool connect(const Endpoint &Address) { return m_Stream.connect(Address); }
  bool adopt(ACE_HANDLE Handle) { return m_Stream.adopt(Handle); }
  /// \returns the number of bytes on the wire.
  std::size_t send(const LinkFrame &Frame, std::string_view Body = {});
  /// Sends what encodeFrame() or encodeBeatFrame() returned.
  void sendEncoded(std::string_view Text) { m_Stream.write(Text); }
  void close() { m_Stream.close(); }
  bool isOpen() const { return m_Stream.isOpen(); }
  /// Whether the kernel holds input, or the connection's end, that hasn't been
  /// read.
  bool hasUnreadInput() const { return m_Stream.hasUnreadInput(); }
  /// Time at which bytes last arrived.
  TimePoint lastReceived() const { return m_LastReceived; }
  /// Bytes that haven't been written to the socket yet.
  std::size_t pendingBytes() const { return m_Stream.pendingBytes(); }

private:
  void received(std::string_view Bytes);
  /// Delivers the frame at \p Consumed if it has arrived completely.
  /// \returns false when it hasn't, or when the connection has ended.
  bool deliverFrame(std::size_t &Consumed);
  /// Likewise for a beat of the given size.
  bool deliverBeat(std::size_t &Consumed, std::size_t Size);
  void fail(const char *Why);

  EventLoop &m_Loop;
  PeerLinkEvents m_Events;
  Stream m_Stream;
  std::string m_Input;
  TimePoint m_LastReceived;
};

} // namespace balsamwheel
