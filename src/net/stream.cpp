// TCP connections and listeners as event handlers of ACE's reactor.
#include "stream.h"

#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>

namespace balsamwheel {

namespace {

constexpr int ListenBacklog = 511;
/// Sent bytes are freed beyond this number once they are half of the buffer.
constexpr std::size_t MinCompactedBytes = 65536;
/// A smaller body is copied behind its head, so that both are sent together.
constexpr std::size_t MinSharedBytes = 16384;
/// An empty output buffer with a larger capacity (bytes) is freed.
constexpr std::size_t MaxIdleOutputCapacity = 4096;

void configure(ACE_HANDLE Handle, Duration TcpUserTimeout,
               int SendBufferBytes) {
  const int Flags = fcntl(Handle, F_GETFL);
  fcntl(Handle, F_SETFL, Flags | O_NONBLOCK);
  const int Enabled = 1;
  setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof Enabled);
  const auto Milliseconds = static_cast<unsigned>(
      std::chrono::duration_cast<std::chrono::milliseconds>(TcpUserTimeout)
          .count());
  setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Milliseconds,
             sizeof Milliseconds);
  if (SendBufferBytes > 0)
    setsockopt(Handle, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes,
               sizeof SendBufferBytes);
}

void closeHandle(ACE_HANDLE &Handle) {
  ACE_OS::closesocket(Handle);
  Handle = ACE_INVALID_HANDLE;
}

void unwatch(EventLoop &Loop, ACE_Event_Handler &Handler) {
  Loop.reactor().remove_handler(&Handler, ACE_Event_Handler::ALL_EVENTS_MASK |
                                              ACE_Event_Handler::DONT_CALL);
}

/// Whether one of the events, an error or a hang-up has occurred.
bool pollNow(ACE_HANDLE Handle, short Events) {
  pollfd Poll{.fd = Handle, .events = Events, .revents = 0};
  return ::poll(&Poll, 1, 0) > 0;
}

/// Returns and clears the pending error of a socket; 0 if there is none.
int takeError(ACE_HANDLE Handle) {
  int Error = 0;
  socklen_t Size = sizeof Error;
  return getsockopt(Handle, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 ? Error
                                                                      : errno;
}

ACE_INET_Addr toAceAddress(const Endpoint &Source) {
  return ACE_INET_Addr(Source.m_Port, Source.m_Host.c_str(), AF_INET);
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
  // A name would be looked up when it is used, which blocks the event loop.
  in_addr Parsed{};
  if (inet_pton(AF_INET, Result.m_Host.c_str(), &Parsed) != 1)
    return std::nullopt;
  auto [End, Error] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.m_Port);
  if (Error != std::errc() || End != Port.data() + Port.size() ||
      Result.m_Port == 0)
    return std::nullopt;
  return Result;
}

bool Stream::connect(const Endpoint &Remote) {
  m_Handle = ACE_OS::socket(AF_INET, SOCK_STREAM, 0);
  if (m_Handle == ACE_INVALID_HANDLE)
    return false;
  configure(m_Handle, m_TcpUserTimeout, m_SendBufferBytes);
  const ACE_INET_Addr Address = toAceAddress(Remote);
  const int Result =
      ACE_OS::connect(m_Handle, static_cast<sockaddr *>(Address.get_addr()),
                      Address.get_size());
  if (Result != 0 && errno != EINPROGRESS) {
    closeHandle(m_Handle);
    return false;
  }
  m_Connecting = true;
  m_WritableWatched = true;
  return watch(ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK);
}

bool Stream::adopt(ACE_HANDLE Handle) {
  m_Handle = Handle;
  configure(m_Handle, m_TcpUserTimeout, m_SendBufferBytes);
  return watch(ACE_Event_Handler::READ_MASK);
}

bool Stream::watch(ACE_Reactor_Mask Mask) {
  if (m_Loop.reactor().register_handler(this, Mask) == 0)
    return true;
  closeHandle(m_Handle);
  return false;
}

void Stream::watchWritable(bool Watched) {
  if (Watched == m_WritableWatched)
    return;
  m_WritableWatched = Watched;
  if (Watched)
    m_Loop.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
  else
    m_Loop.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

void Stream::append(std::string_view Bytes) {
  if (m_Output.empty() || !m_Output.back().m_Body.empty())
    m_Output.emplace_back();
  m_Output.back().m_Bytes.append(Bytes);
  m_PendingBytes += Bytes.size();
}

void Stream::write(std::string_view Bytes) {
  if (m_Handle == ACE_INVALID_HANDLE)
    return;
  compact();
  append(Bytes);
  if (!m_Connecting)
    flush();
}

void Stream::write(std::string_view Head, const HttpBody &Body) {
  if (Body.size() < MinSharedBytes)
    return write(std::string(Head).append(std::string_view(Body)));
  if (m_Handle == ACE_INVALID_HANDLE)
    return;
  compact();
  append(Head);
  m_Output.back().m_Body = Body;
  m_PendingBytes += Body.size();
  if (!m_Connecting)
    flush();
}

void Stream::compact() {
  if (m_Output.empty() || m_SentBytes < MinCompactedBytes)
    return;
  std::string &Bytes = m_Output.front().m_Bytes;
  if (m_SentBytes < Bytes.size() / 2 || m_SentBytes > Bytes.size())
    return;
  Bytes = Bytes.substr(m_SentBytes);
  m_SentBytes = 0;
}

void Stream::flush() {
  const std::size_t Before = pendingBytes();
  while (m_PendingBytes > 0) {
    const OutputPart &Part = m_Output.front();
    if (m_SentBytes == Part.size()) {
      m_Output.pop_front();
      m_SentBytes = 0;
      continue;
    }
    const bool InBody = m_SentBytes >= Part.m_Bytes.size();
    const std::string_view Next =
        InBody ? std::string_view(Part.m_Body)
                     .substr(m_SentBytes - Part.m_Bytes.size())
               : std::string_view(Part.m_Bytes).substr(m_SentBytes);
    const ssize_t Sent =
        ::send(m_Handle, Next.data(), Next.size(), MSG_NOSIGNAL);
    if (Sent < 0 && errno == EINTR)
      continue;
    if (Sent < 0) {
      // A failed connection becomes readable, too; handle_input() reports its
      // end.
      const bool Blocked = errno == EAGAIN || errno == EWOULDBLOCK;
      m_SendFailed = m_SendFailed || !Blocked;
      watchWritable(Blocked);
      if (Before > m_DrainMark && pendingBytes() <= m_DrainMark &&
          m_Events.m_OnDrained)
        m_Events.m_OnDrained();
      return;
    }
    m_SentBytes += static_cast<std::size_t>(Sent);
    m_PendingBytes -= static_cast<std::size_t>(Sent);
  }
  // Keeps the capacity of a small buffer.
  while (m_Output.size() > 1)
    m_Output.pop_front();
  if (!m_Output.empty() &&
      (m_Output.front().m_Bytes.capacity() > MaxIdleOutputCapacity ||
       !m_Output.front().m_Body.empty()))
    m_Output.clear();
  else if (!m_Output.empty())
    m_Output.front().m_Bytes.clear();
  m_SentBytes = 0;
  watchWritable(false);
  if (m_CloseWhenDrained)
    close();
  else if (m_Events.m_OnDrained)
    m_Events.m_OnDrained();
}

void Stream::setReading(bool Reading) {
  if (m_Handle == ACE_INVALID_HANDLE || Reading == m_Reading)
    return;
  m_Reading = Reading;
  if (Reading)
    m_Loop.reactor().schedule_wakeup(this, ACE_Event_Handler::READ_MASK);
  else
    m_Loop.reactor().cancel_wakeup(this, ACE_Event_Handler::READ_MASK);
}

bool Stream::closedByPeer() const { return pollNow(m_Handle, POLLRDHUP); }

bool Stream::hasUnreadInput() const { return pollNow(m_Handle, POLLIN); }

void Stream::endOutput() {
  if (m_Handle != ACE_INVALID_HANDLE)
    ACE_OS::shutdown(m_Handle, ACE_SHUTDOWN_WRITE);
}

void Stream::closeWhenDrained() {
  m_CloseWhenDrained = true;
  if (pendingBytes() == 0 && !m_Connecting)
    close();
}

void Stream::close() {
  if (m_Handle == ACE_INVALID_HANDLE)
    return;
  // The reactor fails to remove a handler that waits for no event.
  setReading(true);
  unwatch(m_Loop, *this);
  closeHandle(m_Handle);
  m_Connecting = false;
}

void Stream::end(StreamEndReason Reason) {
  close();
  if (m_Events.m_OnEnd)
    m_Events.m_OnEnd(Reason);
}

bool Stream::completeConnect() {
  if (takeError(m_Handle) != 0) {
    end(StreamEndReason::Failed);
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
  if (m_Connecting && !completeConnect())
    return 0;
  flush();
  return 0;
}

int Stream::handle_close(ACE_HANDLE, ACE_Reactor_Mask) {
  if (m_Handle != ACE_INVALID_HANDLE)
    end(StreamEndReason::Failed);
  return 0;
}

int Stream::handle_input(ACE_HANDLE) {
  if (m_Handle == ACE_INVALID_HANDLE)
    return 0;
  m_Loop.refreshNow();
  if (m_Connecting && !completeConnect())
    return 0;
  static std::array<char, Stream::ReadSize> Buffer;
  const ssize_t Received = ::recv(m_Handle, Buffer.data(), Buffer.size(), 0);
  if (Received > 0) {
    if (m_Events.m_OnData)
      m_Events.m_OnData({Buffer.data(), static_cast<std::size_t>(Received)});
  } else if (Received == 0) {
    // The kernel reports a failure once, to whichever call comes first, and an
    // end of the input from then on.
    const bool Failed = m_SendFailed || takeError(m_Handle) != 0;
    end(Failed ? StreamEndReason::Failed : StreamEndReason::Closed);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    end(StreamEndReason::Failed);
  }
  return 0;
}

bool Acceptor::listen(const Endpoint &Local) {
  m_Handle = ACE_OS::socket(AF_INET, SOCK_STREAM, 0);
  if (m_Handle == ACE_INVALID_HANDLE)
    return false;
  const int Enabled = 1;
  setsockopt(m_Handle, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
  fcntl(m_Handle, F_SETFL, fcntl(m_Handle, F_GETFL) | O_NONBLOCK);
  const ACE_INET_Addr Address = toAceAddress(Local);
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
