// Framed connections between the daemons of instances: a length, a FlatBuffers
// frame, then the body of a request or answer.
#pragma once

#include "link_generated.h"

#include "net/stream.h"

#include <memory>
#include <string>

namespace balsamwheel {

using LinkFrame = link_wire::FrameT;
using LinkFrameKind = link_wire::Kind;

/// A frame that is larger ends the connection.
inline constexpr std::size_t MaxLinkFrame = std::size_t{80} << 20;

/// Text on the wire of a frame and its body.
std::string encodeFrame(const LinkFrame &Frame, std::string_view Body);

struct PeerLinkEvents {
  std::function<void()> m_OnOpen;
  std::function<void(std::unique_ptr<LinkFrame>, std::string Body)> m_OnFrame;
  /// At most once.
  std::function<void(const char *Why)> m_OnEnd;
  /// All that was sent has left the process.
  std::function<void()> m_OnDrained;
};

/// One connection. Invariant: frames arrive whole, in order, checked.
class PeerLink {
public:
  PeerLink(EventLoop &Loop, PeerLinkEvents Events);

  bool connect(const Endpoint &To) { return m_Stream.connect(To); }
  bool adopt(ACE_HANDLE Handle) { return m_Stream.adopt(Handle); }
  void send(const LinkFrame &Frame, std::string_view Body = {});
  /// Sends what encodeFrame() returned.
  void sendEncoded(std::string_view Text) { m_Stream.write(Text); }
  void close() { m_Stream.close(); }
  bool isOpen() const { return m_Stream.isOpen(); }
  /// When bytes last arrived.
  TimePoint lastHeard() const { return m_LastHeard; }
  /// Bytes that the other side hasn't taken yet.
  std::size_t pending() const { return m_Stream.pending(); }

private:
  void received(std::string_view Bytes);
  /// \returns false when the connection has been given up.
  bool takeFrame(std::size_t &Used);
  void fail(const char *Why);

  EventLoop &m_Loop;
  PeerLinkEvents m_Events;
  Stream m_Stream;
  std::string m_Input;
  TimePoint m_LastHeard;
};

} // namespace balsamwheel
