// Framing and verification on the connections between daemons.
#include "peer_link.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace balsamwheel {

namespace {

/// Size in bytes of the two lengths, of frame and body, that precede a frame:
/// 32 bits each, little endian.
constexpr std::size_t LengthsSize = 8;
/// Size in bytes of the marked length that precedes a beat.
constexpr std::size_t BeatLengthSize = 4;
/// Marks the length of a beat. Greater than MaxLinkFrameBytes, so that it is no
/// length of a frame.
constexpr std::uint32_t BeatMark = 0x80000000U;
/// Size of a link's send buffer in the kernel. Further output waits in this
/// process, where small frames of other links can overtake it.
constexpr int SendBufferBytes = 32768;
/// Maximum capacity of an empty input buffer, in bytes; a larger one is
/// released.
constexpr std::size_t MaxRetainedInput = 4096;

std::uint32_t readLength(const char *Source) {
  std::array<unsigned char, 4> Bytes{};
  std::memcpy(Bytes.data(), Source, Bytes.size());
  return flatbuffers::ReadScalar<std::uint32_t>(Bytes.data());
}

void appendLength(std::string &Buffer, std::size_t Length) {
  std::array<char, 4> Bytes{};
  flatbuffers::WriteScalar(Bytes.data(), static_cast<std::uint32_t>(Length));
  Buffer.append(Bytes.data(), Bytes.size());
}

/// Encodes a frame and the lengths before it, for a body of the given size.
std::string encodeHead(const LinkFrame &Frame, std::size_t BodySize) {
  flatbuffers::FlatBufferBuilder Builder(512);
  Builder.Finish(link_wire::Frame::Pack(Builder, &Frame));
  std::string Text;
  Text.reserve(LengthsSize + Builder.GetSize());
  appendLength(Text, Builder.GetSize());
  appendLength(Text, BodySize);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  Text.append(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
              Builder.GetSize());
  return Text;
}

} // namespace

std::string encodeFrame(const LinkFrame &Frame, std::string_view Body) {
  return encodeHead(Frame, Body.size()).append(Body);
}

std::string encodeBeatFrame(const LinkBeat &Beat) {
  const std::string Parts = encodeBeat(Beat);
  std::string Text;
  appendLength(Text, BeatMark | Parts.size());
  return Text + Parts;
}

PeerLink::PeerLink(EventLoop &Loop, PeerLinkEvents Events, BodyRoom *Room)
    : m_Loop(Loop), m_Events(std::move(Events)), m_Stream(Loop), m_Room(Room),
      m_LastReceived(Loop.now()) {
  m_Stream.setEvents(
      {.m_OnOpen =
           [this] {
             m_LastReceived = m_Loop.now();
             if (m_Events.m_OnOpen)
               m_Events.m_OnOpen();
           },
       .m_OnData = [this](std::string_view Bytes) { received(Bytes); },
       .m_OnEnd =
           [this](StreamEndReason How) {
             fail(How == StreamEndReason::Closed ? "closed"
                                                 : "connection failed");
           },
       .m_OnDrained =
           [this] {
             if (m_Events.m_OnDrained)
               m_Events.m_OnDrained();
           }});
  m_Stream.setSendBufferSize(SendBufferBytes);
}

std::size_t PeerLink::send(const LinkFrame &Frame, std::string_view Body) {
  const std::string Text = encodeFrame(Frame, Body);
  m_Stream.write(Text);
  return Text.size();
}

std::size_t PeerLink::sendShared(const LinkFrame &Frame, const HttpBody &Body) {
  const std::string Head = encodeHead(Frame, Body.size());
  m_Stream.write(Head, Body);
  return Head.size() + Body.size();
}

void PeerLink::fail(const char *Why) {
  m_Stream.close();
  if (m_Events.m_OnEnd)
    m_Events.m_OnEnd(Why);
}

bool PeerLink::deliverBeat(std::size_t &Consumed, std::size_t Size) {
  if (Size > MaxLinkFrameBytes) {
    fail("a beat is too large");
    return false;
  }
  if (m_Input.size() - Consumed < BeatLengthSize + Size)
    return false;
  const auto Beat = decodeBeat(
      std::string_view(m_Input).substr(Consumed + BeatLengthSize, Size));
  if (!Beat) {
    fail("a beat is malformed");
    return false;
  }
  Consumed += BeatLengthSize + Size;
  if (m_Events.m_OnBeat)
    m_Events.m_OnBeat(*Beat);
  return m_Stream.isOpen();
}

bool PeerLink::deliverFrame(std::size_t &Consumed) {
  const char *Start = m_Input.data() + Consumed;
  const std::size_t FrameSize = readLength(Start);
  if ((FrameSize & BeatMark) != 0)
    return deliverBeat(Consumed, FrameSize & ~std::size_t{BeatMark});
  if (m_Input.size() - Consumed < LengthsSize)
    return false;
  const std::size_t BodySize = readLength(Start + 4);
  if (FrameSize + BodySize > MaxLinkFrameBytes) {
    fail("a frame is too large");
    return false;
  }
  m_BodyRefused =
      m_BodyRefused || (m_Room && !m_Room->extend(m_Reservation, BodySize));
  const std::size_t Kept = m_BodyRefused ? 0 : BodySize;
  const std::size_t Size = LengthsSize + FrameSize + Kept;
  if (m_Input.size() - Consumed < Size) {
    // Growing step by step would take the memory of a large body twice.
    if (Size > BodyRoom::SmallBodyBytes)
      m_Input.reserve(Consumed + Size + Stream::ReadSize);
    return false;
  }
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto *Bytes =
      reinterpret_cast<const std::uint8_t *>(Start + LengthsSize);
  flatbuffers::Verifier Check(Bytes, FrameSize);
  if (!link_wire::VerifyFrameBuffer(Check)) {
    fail("a frame is malformed");
    return false;
  }
  std::unique_ptr<LinkFrame> Frame(link_wire::GetFrame(Bytes)->UnPack());
  LinkBody Body{.m_Reservation = std::move(m_Reservation),
                .m_Dropped = m_BodyRefused};
  if (std::exchange(m_BodyRefused, false))
    m_BytesToDrop = BodySize;
  Body.m_Text = takeBody(Consumed, Consumed + LengthsSize + FrameSize, Kept);
  const std::size_t Dropped =
      std::min(m_BytesToDrop, m_Input.size() - Consumed);
  Consumed += Dropped;
  m_BytesToDrop -= Dropped;
  m_Events.m_OnFrame(std::move(Frame), std::move(Body));
  return m_Stream.isOpen();
}

std::string PeerLink::takeBody(std::size_t &Consumed, std::size_t First,
                               std::size_t Size) {
  Consumed = First + Size;
  if (Size <= BodyRoom::SmallBodyBytes)
    return m_Input.substr(First, Size);
  // A large body keeps the memory of the input.
  std::string Rest = m_Input.substr(Consumed);
  std::string Body = std::exchange(m_Input, std::move(Rest));
  Consumed = 0;
  Body.resize(First + Size);
  Body.erase(0, First);
  return Body;
}

void PeerLink::received(std::string_view Bytes) {
  m_LastReceived = m_Loop.now();
  const std::size_t Dropped = std::min(m_BytesToDrop, Bytes.size());
  m_BytesToDrop -= Dropped;
  m_Input.append(Bytes.substr(Dropped));
  std::size_t Consumed = 0;
  while (m_Input.size() - Consumed >= BeatLengthSize &&
         deliverFrame(Consumed)) {
  }
  m_Input.erase(0, Consumed);
  if (m_Input.empty() && m_Input.capacity() > MaxRetainedInput)
    m_Input.shrink_to_fit();
  if (m_Events.m_OnReadDone && m_Stream.isOpen())
    m_Events.m_OnReadDone();
}

} // namespace balsamwheel
