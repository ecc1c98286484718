// Acceptance, eviction and time-outs of the connections of an HTTP server.
#include "http_server.h"

#include "http_connection.h"

#include <ace/OS_NS_sys_socket.h>

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// How often time-outs are checked.
constexpr Duration TimeoutCheckInterval = std::chrono::milliseconds(500);

/// At the limit of connections, up to one connection plus 1/EvictionDivisor of
/// the limit are closed together, if idle, so that not every new connection
/// needs a search.
constexpr std::size_t EvictionDivisor = 32;

} // namespace

namespace {

bool isHead(const HttpRequest &Request) { return Request.m_Method == "HEAD"; }

} // namespace

HttpExchange::HttpExchange(HttpRequest Request,
                           HttpServerConnection *Connection,
                           TimePoint ReceivedAt)
    : m_Request(std::move(Request)), m_Connection(Connection),
      m_ReceivedAt(ReceivedAt), m_KeepAlive(m_Request.m_KeepAlive),
      m_NoBody(isHead(m_Request)),
      m_Idempotent(m_NoBody || m_Request.m_Method == "GET") {}

void HttpExchange::answer(HttpAnswer Answer) {
  if (m_Connection)
    m_Connection->sendAnswer(*this, std::move(Answer));
}

void HttpExchange::abort() {
  if (m_Connection)
    m_Connection->sendAnswer(*this, {.m_Status = 0, .m_KeepAlive = false});
}

void HttpExchange::callerDisconnected() {
  if (const auto Callback = std::exchange(m_OnCallerDisconnected, nullptr))
    Callback();
}

HttpServer::HttpServer(EventLoop &Loop, HttpServerOptions Options,
                       OnRequest Handler)
    : m_Loop(Loop), m_Options(std::move(Options)),
      m_Handler(std::move(Handler)),
      m_Acceptor(Loop, [this](ACE_HANDLE Handle) { onAccept(Handle); }) {
  checkTimeouts();
}

HttpServer::~HttpServer() { m_Loop.cancel(m_TimeoutCheckTimer); }

bool HttpServer::listen(const Endpoint &Local) {
  return m_Acceptor.listen(Local);
}

std::size_t HttpServer::activeRequests() const {
  std::size_t Count = 0;
  for (const auto &[Key, Connection] : m_Connections)
    Count += Connection->activeRequests();
  return Count;
}

std::size_t HttpServer::pendingBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Key, Connection] : m_Connections)
    Bytes += Connection->pendingBytes();
  return Bytes;
}

std::size_t HttpServer::heldBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Key, Connection] : m_Connections)
    Bytes += Connection->heldBytes();
  return Bytes;
}

void HttpServer::onAccept(ACE_HANDLE Handle) {
  if (m_Connections.size() >= m_Options.m_MaxConnections)
    closeLongestIdle();
  if (m_Connections.size() >= m_Options.m_MaxConnections) {
    ACE_OS::closesocket(Handle);
    return;
  }
  auto Connection = std::make_unique<HttpServerConnection>(*this, m_Loop);
  if (Connection->adopt(Handle))
    m_Connections.emplace(Connection.get(), std::move(Connection));
}

void HttpServer::closeLongestIdle() {
  std::vector<HttpServerConnection *> Idle;
  for (const auto &[Key, Connection] : m_Connections)
    if (Connection->idle())
      Idle.push_back(Key);
  const std::size_t Count =
      std::min(Idle.size(), m_Options.m_MaxConnections / EvictionDivisor + 1);
  std::partial_sort(Idle.begin(),
                    Idle.begin() + static_cast<std::ptrdiff_t>(Count),
                    Idle.end(), [](const auto *Left, const auto *Right) {
                      return Left->lastActive() < Right->lastActive();
                    });
  for (std::size_t Index = 0; Index < Count; ++Index)
    Idle[Index]->close();
}

void HttpServer::remove(HttpServerConnection *Connection) {
  auto Found = m_Connections.extract(Connection);
  if (!Found.empty())
    m_Loop.destroyLater(std::move(Found.mapped()));
}

void HttpServer::checkTimeouts() {
  std::vector<HttpServerConnection *> All;
  All.reserve(m_Connections.size());
  for (const auto &[Key, Connection] : m_Connections)
    All.push_back(Key);
  for (HttpServerConnection *Connection : All)
    if (m_Connections.contains(Connection))
      Connection->checkTimeout(m_Loop.now());
  m_TimeoutCheckTimer =
      m_Loop.after(TimeoutCheckInterval, [this] { checkTimeouts(); });
}

} // namespace balsamwheel
