// Non-blocking connections and listeners on the reactor.
#include "stream.h"

#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <netinet/tcp.h>

namespace balsamwheel {

namespace {

constexpr std::size_t ReadSize = 65536;
constexpr int ListenBacklog = 511;
/// Output buffers above this are given back when they are empty.
constexpr std::size_t KeptOutput = 4096;

void configure(ACE_HANDLE Handle, Duration Unacknowledged, int SendBuffer) {
  const int Flags = fcntl(Handle, F_GETFL);
  fcntl(Handle, F_SETFL, Flags | O_NONBLOCK);
  const int On = 1;
  setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  const auto Milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Unacknowledged)
          .count());
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
             sizeof Milliseconds);
  if (SendBuffer > 0)
    setsockopt(Handle, SOL_SOCKET, SO_SNDBUF, &SendBuffer, sizeof SendBuffer);
}

void closeHandle(ACE_HANDLE &Handle) {
  ACE_OS::closesocket(Handle);
  Handle = ACE_INVALID_HANDLE;
}

void unwatch(EventLoop &Loop, ACE_Event_Handler &Handler) {
  Loop.reactor().remove_handler(&Handler, ACE_Event_Handler::ALL_EVENTS_MASK |
                                              ACE_Event_Handler::DONT_CALL);
}

ACE_INET_Addr toAce(const Endpoint &From) {
  return ACE_INET_Addr(From.m_Port, From.m_Host.c_str(), AF_INET);
}

} // namespace

std::string Endpoint::toText() const {
  return m_Host + ":" + std::to_string(m_Port);
}

std::optional<Endpoint> Endpoint::fromText(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  const std::string_view Port = Text.substr(Colon + 1);
  Endpoint Result{.m_Host = std::string(Text.substr(0, Colon))};
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.m_Port);
  if (Error != std::errc() || End != Port.data() + Port.size())
    return std::nullopt;
  return Result;
}

bool Stream::connect(const Endpoint &To) {
  m_Handle = ACE_OS::socket(AF_INET, SOCK_STREAM, 0);
  if (m_Handle == ACE_INVALID_HANDLE)
    return false;
  configure(m_Handle, m_Unacknowledged, m_SendBuffer);
  const ACE_INET_Addr Address = toAce(To);
  const int Result =
      ACE_OS::connect(m_Handle, static_cast<sockaddr *>(Address.get_addr()),
                      Address.get_size());
  if (Result != 0 && errno != EINPROGRESS) {
    closeHandle(m_Handle);
    return false;
  }
  m_Connecting = true;
  m_WriteWatched = true;
  return watch(ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
}

bool Stream::adopt(ACE_HANDLE Handle) {
  m_Handle = Handle;
  configure(m_Handle, m_Unacknowledged, m_SendBuffer);
  return watch(ACE_Event_Handler::READ_MASK);
}

bool Stream::watch(ACE_Reactor_Mask Mask) {
  if (m_Loop.reactor().register_handler(this, Mask) == 0)
    return true;
  closeHandle(m_Handle);
  return false;
}

void Stream::wantWrite(bool Wanted) {
  if (Wanted == m_WriteWatched)
    return;
  m_WriteWatched = Wanted;
  if (Wanted)
    m_Loop.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
  else
    m_Loop.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

void Stream::write(std::string_view Bytes) {
  if (m_Handle == ACE_INVALID_HANDLE)
    return;
  m_Output.append(Bytes);
  if (!m_Connecting)
    flush();
}

void Stream::flush() {
  while (m_Written < m_Output.size()) {
    const ssize_t Sent = ::send(m_Handle, m_Output.data() + m_Written,
                                m_Output.size() - m_Written, MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent < 0) {
      // A failed connection also becomes readable; its end is reported there.
      wantWrite(errno == EAGAIN || errno == EWOULDBLOCK);
      return;
    }
    m_Written += static_cast<std::size_t>(Sent);
  }
  m_Output.clear();
  if (m_Output.capacity() > KeptOutput)
    m_Output.shrink_to_fit();
  m_Written = 0;
  wantWrite(false);
  if (m_CloseWhenDrained)
    close();
  else if (m_Events.m_OnDrained)
    m_Events.m_OnDrained();
}

void Stream::closeWhenDrained() {
  m_CloseWhenDrained = true;
  if (pending() == 0 && !m_Connecting)
    close();
}

void Stream::close() {
  if (m_Handle == ACE_INVALID_HANDLE)
    return;
  unwatch(m_Loop, *this);
  closeHandle(m_Handle);
  m_Connecting = false;
}

void Stream::end(StreamEnd How) {
  close();
  if (m_Events.m_OnEnd)
    m_Events.m_OnEnd(How);
}

bool Stream::finishConnect() {
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (getsockopt(m_Handle, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
      Error != 0) {
    end(StreamEnd::Failed);
    return false;
  }
  m_Connecting = false;
  if (m_Events.m_OnOpen)
    m_Events.m_OnOpen();
  return m_Handle != ACE_INVALID_HANDLE;
}

int Stream::handle_output(ACE_HANDLE) {
  if (m_Handle == ACE_INVALID_HANDLE)
    return 0;
  m_Loop.refreshNow();
  if (m_Connecting && !finishConnect())
    return 0;
  flush();
  return 0;
}

int Stream::handle_input(ACE_HANDLE) {
  if (m_Handle == ACE_INVALID_HANDLE)
    return 0;
  m_Loop.refreshNow();
  if (m_Connecting && !finishConnect())
    return 0;
  static std::array<char, ReadSize> Buffer;
  const ssize_t Read = ::recv(m_Handle, Buffer.data(), Buffer.size(), 0);
  if (Read > 0) {
    if (m_Events.m_OnData)
      m_Events.m_OnData({Buffer.data(), static_cast<std::size_t>(Read)});
  } else if (Read == 0) {
    end(StreamEnd::Closed);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    end(StreamEnd::Failed);
  }
  return 0;
}

bool Acceptor::listen(const Endpoint &At) {
  m_Handle = ACE_OS::socket(AF_INET, SOCK_STREAM, 0);
  if (m_Handle == ACE_INVALID_HANDLE)
    return false;
  const int On = 1;
  setsockopt(m_Handle, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  fcntl(m_Handle, F_SETFL, fcntl(m_Handle, F_GETFL) | O_NONBLOCK);
  const ACE_INET_Addr Address = toAce(At);
  if (ACE_OS::bind(m_Handle, static_cast<sockaddr *>(Address.get_addr()),
                   Address.get_size()) == 0 &&
      ACE_OS::listen(m_Handle, ListenBacklog) == 0 &&
      m_Loop.reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK) ==
          0)
    return true;
  closeHandle(m_Handle);
  return false;
}

void Acceptor::close() {
  if (m_Handle == ACE_INVALID_HANDLE)
    return;
  unwatch(m_Loop, *this);
  closeHandle(m_Handle);
}

int Acceptor::handle_input(ACE_HANDLE) {
  while (m_Handle != ACE_INVALID_HANDLE) {
    const ACE_HANDLE Accepted = ::accept(m_Handle, nullptr, nullptr);
    if (Accepted == ACE_INVALID_HANDLE)
      return 0;
    m_Loop.refreshNow();
    m_OnAccept(Accepted);
  }
  return 0;
}

} // namespace balsamwheel
