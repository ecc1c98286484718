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

/// Body of a frame.
struct LinkBody {
  std::string m_Text;
  BodyReservation m_Reservation;
  /// There was no room for the body; it has been dropped.
  bool m_Dropped = false;
};

struct PeerLinkEvents {
  std::function<void()> m_OnOpen;
  /// \param Body empty if it was dropped for lack of room.
  std::function<void(std::unique_ptr<LinkFrame>, LinkBody Body)> m_OnFrame;
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
  /// \param Room for the bodies of the peer's frames; null means no limit. Must
  ///        outlive the link.
  PeerLink(EventLoop &Loop, PeerLinkEvents Events, BodyRoom *Room = nullptr);

  bool connect(const Endpoint &Address) { return m_Stream.connect(Address); }
  bool adopt(ACE_HANDLE Handle) { return m_Stream.adopt(Handle); }
  /// \returns the number of bytes on the wire.
  std::size_t send(const LinkFrame &Frame, std::string_view Body = {});
  /// The same; the body isn't copied.
  std::size_t sendShared(const LinkFrame &Frame, const HttpBody &Body);
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
  /// Takes the body of a frame out of the input, which ends before \p Consumed.
  std::string takeBody(std::size_t &Consumed, std::size_t First,
                       std::size_t Size);

  EventLoop &m_Loop;
  PeerLinkEvents m_Events;
  Stream m_Stream;
  std::string m_Input;
  /// For the body of the frame at the start of the input.
  BodyRoom *m_Room;
  BodyReservation m_Reservation;
  bool m_BodyRefused = false;
  /// Bytes of a refused body that are still to be dropped.
  std::size_t m_BytesToDrop = 0;
  TimePoint m_LastReceived;
};

} // namespace balsamwheel
