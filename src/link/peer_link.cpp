// Framing and verification on the connections between daemons.
#include "peer_link.h"

#include <array>
#include <cstring>

namespace balsamwheel {

namespace {

/// Size in bytes of the two lengths, of frame and body, that precede a frame:
/// 32 bits each, little endian.
constexpr std::size_t LengthsSize = 8;
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

} // namespace

std::string encodeFrame(const LinkFrame &Frame, std::string_view Body) {
  flatbuffers::FlatBufferBuilder Builder(512);
  Builder.Finish(link_wire::Frame::Pack(Builder, &Frame));
  std::string Text;
  Text.reserve(LengthsSize + Builder.GetSize() + Body.size());
  appendLength(Text, Builder.GetSize());
  appendLength(Text, Body.size());
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  Text.append(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
              Builder.GetSize());
  Text.append(Body);
  return Text;
}

PeerLink::PeerLink(EventLoop &Loop, PeerLinkEvents Events)
    : m_Loop(Loop), m_Events(std::move(Events)), m_Stream(Loop),
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

void PeerLink::send(const LinkFrame &Frame, std::string_view Body) {
  m_Stream.write(encodeFrame(Frame, Body));
}

void PeerLink::fail(const char *Why) {
  m_Stream.close();
  if (m_Events.m_OnEnd)
    m_Events.m_OnEnd(Why);
}

bool PeerLink::deliverFrame(std::size_t &Consumed) {
  const char *Start = m_Input.data() + Consumed;
  const std::size_t FrameSize = readLength(Start);
  const std::size_t BodySize = readLength(Start + 4);
  if (FrameSize + BodySize > MaxLinkFrameBytes) {
    fail("a frame is too large");
    return false;
  }
  if (m_Input.size() - Consumed < LengthsSize + FrameSize + BodySize)
    return false;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto *Bytes =
      reinterpret_cast<const std::uint8_t *>(Start + LengthsSize);
  flatbuffers::Verifier Check(Bytes, FrameSize);
  if (!link_wire::VerifyFrameBuffer(Check)) {
    fail("a frame is malformed");
    return false;
  }
  std::unique_ptr<LinkFrame> Frame(link_wire::GetFrame(Bytes)->UnPack());
  std::string Body(Start + LengthsSize + FrameSize, BodySize);
  Consumed += LengthsSize + FrameSize + BodySize;
  m_Events.m_OnFrame(std::move(Frame), std::move(Body));
  return m_Stream.isOpen();
}

void PeerLink::received(std::string_view Bytes) {
  m_LastReceived = m_Loop.now();
  m_Input.append(Bytes);
  std::size_t Consumed = 0;
  while (m_Input.size() - Consumed >= LengthsSize && deliverFrame(Consumed)) {
  }
  m_Input.erase(0, Consumed);
  if (m_Input.empty() && m_Input.capacity() > MaxRetainedInput)
    m_Input.shrink_to_fit();
}

} // namespace balsamwheel
