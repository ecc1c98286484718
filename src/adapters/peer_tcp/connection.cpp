// Frames, reads and writes the messages of one connection.
#include "adapters/peer_tcp/connection.h"

#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>

#include <netinet/tcp.h>

#include <array>
#include <cerrno>

namespace balsamwheel::peer_tcp {

namespace {

/// Length prefix of a frame, little-endian.
constexpr std::size_t PrefixBytes = 4;
constexpr std::size_t ReadChunkBytes = 64UL * 1024;
/// Maximum reads per event, so that one busy peer does not starve the others.
constexpr int MaxReadsPerEvent = 8;
/// Sent bytes at the front of the output buffer are erased above this size.
constexpr std::size_t CompactThresholdBytes = 256UL * 1024;

std::uint32_t readPrefix(const std::uint8_t *Bytes) {
  std::uint32_t Value = 0;
  for (std::size_t Index = 0; Index < PrefixBytes; ++Index)
    Value |= static_cast<std::uint32_t>(Bytes[Index]) << (8 * Index);
  return Value;
}

void appendPrefix(std::vector<std::uint8_t> &Out, std::uint32_t Value) {
  for (std::size_t Index = 0; Index < PrefixBytes; ++Index)
    Out.push_back(static_cast<std::uint8_t>(Value >> (8 * Index)));
}

bool wouldBlock() { return errno == EWOULDBLOCK || errno == EAGAIN; }

} // namespace

Connection::Connection(ConnectionHandler &Handler, ACE_Reactor &Reactor,
                       ConnectionState State)
    : m_Handler(Handler), m_Reactor(Reactor), m_State(State) {}

Connection::~Connection() { m_Stream.close(); }

bool Connection::open() {
  m_Stream.enable(ACE_NONBLOCK);
  int On = 1;
  m_Stream.set_option(IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  ACE_Reactor_Mask Mask = ACE_Event_Handler::READ_MASK;
  if (m_State == ConnectionState::Connecting) {
    Mask |= ACE_Event_Handler::WRITE_MASK;
    m_WriteInterest = true;
  }
  return m_Reactor.register_handler(this, Mask) == 0;
}

void Connection::queue(const std::vector<std::uint8_t> &Frame) {
  appendPrefix(m_Out, static_cast<std::uint32_t>(Frame.size()));
  m_Out.insert(m_Out.end(), Frame.begin(), Frame.end());
}

void Connection::flush() {
  while (m_State == ConnectionState::Open && queuedBytes() > 0) {
    const ssize_t Sent =
        m_Stream.send(m_Out.data() + m_OutSent, queuedBytes(), MSG_NOSIGNAL);
    if (Sent <= 0) {
      if (Sent < 0 && wouldBlock())
        break;
      close();
      return;
    }
    m_OutSent += static_cast<std::size_t>(Sent);
  }
  if (queuedBytes() == 0) {
    m_Out.clear();
    m_OutSent = 0;
  } else if (m_OutSent > CompactThresholdBytes) {
    m_Out.erase(m_Out.begin(),
                m_Out.begin() + static_cast<std::ptrdiff_t>(m_OutSent));
    m_OutSent = 0;
  }
  if (m_State == ConnectionState::Open)
    setWriteInterest(queuedBytes() > 0);
}

void Connection::close() {
  if (m_State == ConnectionState::Closed)
    return;
  m_State = ConnectionState::Closed;
  m_Reactor.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                     ACE_Event_Handler::DONT_CALL);
  m_Stream.close();
  m_Handler.onClosed(*this);
}

int Connection::handle_input(ACE_HANDLE /*Handle*/) {
  if (m_State == ConnectionState::Connecting && !finishConnect())
    return 0;
  if (m_State == ConnectionState::Open && !readAvailable())
    close();
  return 0;
}

int Connection::handle_output(ACE_HANDLE /*Handle*/) {
  if (m_State == ConnectionState::Connecting && !finishConnect())
    return 0;
  flush();
  return 0;
}

bool Connection::finishConnect() {
  int Error = 0;
  int Length = sizeof(Error);
  if (m_Stream.get_option(SOL_SOCKET, SO_ERROR, &Error, &Length) != 0 ||
      Error != 0) {
    close();
    return false;
  }
  m_State = ConnectionState::Open;
  return true;
}

bool Connection::readAvailable() {
  std::array<std::uint8_t, ReadChunkBytes> Chunk;
  for (int ReadCount = 0; ReadCount < MaxReadsPerEvent; ++ReadCount) {
    const ssize_t Received = m_Stream.recv(Chunk.data(), Chunk.size());
    if (Received < 0)
      return wouldBlock();
    if (Received == 0)
      return false;
    m_In.insert(m_In.end(), Chunk.begin(), Chunk.begin() + Received);
    if (!processFrames())
      return false;
    if (m_State != ConnectionState::Open ||
        static_cast<std::size_t>(Received) < Chunk.size())
      return true;
  }
  return true;
}

bool Connection::processFrames() {
  std::size_t Position = 0;
  while (m_In.size() - Position >= PrefixBytes) {
    const std::size_t Length = readPrefix(m_In.data() + Position);
    if (Length > MaxFrameBytes)
      return false;
    if (m_In.size() - Position - PrefixBytes < Length)
      break;
    const auto Begin =
        m_In.begin() + static_cast<std::ptrdiff_t>(Position + PrefixBytes);
    // FlatBuffers requires an aligned buffer, so the frame is copied.
    const std::vector<std::uint8_t> Frame(
        Begin, Begin + static_cast<std::ptrdiff_t>(Length));
    Position += PrefixBytes + Length;
    WireMessage Message;
    if (decode(Frame, Message))
      return false;
    m_Handler.onMessage(*this, std::move(Message));
    if (m_State != ConnectionState::Open)
      return true;
  }
  m_In.erase(m_In.begin(),
             m_In.begin() + static_cast<std::ptrdiff_t>(Position));
  return true;
}

void Connection::setWriteInterest(bool Wanted) {
  if (Wanted == m_WriteInterest)
    return;
  m_WriteInterest = Wanted;
  if (Wanted)
    m_Reactor.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
  else
    m_Reactor.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

} // namespace balsamwheel::peer_tcp
