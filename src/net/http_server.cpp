// Connections of callers: request parsing, time-outs, answers in order.
#include "http_server.h"

#include <ace/OS_NS_sys_socket.h>

#include <algorithm>

namespace balsamwheel {

namespace {

/// How often time-outs are checked.
constexpr Duration TimeoutCheckInterval = std::chrono::milliseconds(500);
/// Bytes that a caller may send ahead while its request is being served.
constexpr std::size_t MaxReadAhead = std::size_t{256} << 10;

/// At the limit of connections, up to one connection plus 1/EvictionDivisor of
/// the limit are closed together, if idle, so that not every new connection
/// needs a search.
constexpr std::size_t EvictionDivisor = 32;

HttpAnswer emptyAnswer(unsigned Status) {
  return {.m_Status = Status, .m_KeepAlive = false};
}

} // namespace

/// One caller's connection.
class HttpServerConnection {
public:
  HttpServerConnection(HttpServer &Server, EventLoop &Loop)
      : m_Server(Server), m_Loop(Loop), m_Stream(Loop),
        m_LastActive(Loop.now()) {
    m_Stream.setEvents(
        {.m_OnData = [this](std::string_view Bytes) { onData(Bytes); },
         .m_OnEnd = [this](StreamEndReason) { onEnd(); }});
  }

  bool adopt(ACE_HANDLE Handle) { return m_Stream.adopt(Handle); }
  std::size_t pendingBytes() const { return m_Stream.pendingBytes(); }
  bool busy() const { return m_Exchange != nullptr; }
  /// Returns whether nothing is being read, served or sent.
  bool idle() const {
    return !m_Exchange && !m_Parser && m_Input.empty() && pendingBytes() == 0;
  }
  TimePoint lastActive() const { return m_LastActive; }

  /// Sends the answer of the current request.
  void sendAnswer(HttpAnswer Answer) {
    Answer.m_KeepAlive =
        Answer.m_KeepAlive && m_KeepAlive && !m_Server.m_CloseAfterAnswers;
    const bool IsHead = m_Exchange && m_Exchange->request().m_Method == "HEAD";
    detachExchange();
    std::string Text = Answer.toText();
    if (IsHead)
      Text.resize(Text.size() - Answer.m_Body.size());
    m_Stream.write(Text);
    m_LastActive = m_Loop.now();
    if (!Answer.m_KeepAlive) {
      m_Finished = true;
      m_Stream.closeWhenDrained();
      if (!m_Stream.isOpen())
        m_Server.remove(this);
      return;
    }
    if (!m_Input.empty())
      m_Loop.post([this, Alive = std::weak_ptr(m_Alive)] {
        if (!Alive.expired())
          parse();
      });
  }

  /// Closes the connection without an answer.
  void abort() {
    detachExchange();
    m_Stream.close();
    m_Server.remove(this);
  }

  /// Closes the connection if a time-out has passed; answers with 408 if a
  /// request is incomplete.
  void checkTimeout(TimePoint Now) {
    if (m_Exchange)
      return;
    const bool RequestStarted = m_Parser || !m_Input.empty();
    const Duration Limit = RequestStarted ? m_Server.m_Options.m_HeaderTimeout
                                          : m_Server.m_Options.m_IdleTimeout;
    const bool HeadersDone = m_Parser && m_Parser->headersComplete();
    if (Now - m_LastActive <=
        (HeadersDone ? m_Server.m_Options.m_IdleTimeout : Limit))
      return;
    if (RequestStarted && !m_Finished)
      fail(408);
    else
      abort();
  }

private:
  void onData(std::string_view Bytes) {
    if (m_Finished)
      return;
    if (!m_Parser || m_Parser->headersComplete())
      m_LastActive = m_Loop.now();
    m_Input.append(Bytes);
    if (m_Exchange) {
      if (m_Input.size() > MaxReadAhead)
        disconnect();
      return;
    }
    parse();
  }

  void parse() {
    if (m_Exchange || m_Finished || m_Input.empty())
      return;
    if (!m_Parser)
      m_Parser =
          std::make_unique<HttpRequestParser>(m_Server.m_Options.m_Limits);
    switch (m_Parser->feed(m_Input)) {
    case ParseState::NeedMore:
      return;
    case ParseState::HeadersTooLarge:
      return fail(431);
    case ParseState::BodyTooLarge:
      return fail(413);
    case ParseState::Malformed:
      return fail(400);
    case ParseState::Complete:
      break;
    }
    HttpRequest Request = m_Parser->take();
    m_Parser.reset();
    m_KeepAlive = Request.m_KeepAlive;
    m_Exchange = std::make_shared<HttpExchange>(std::move(Request), this);
    m_Server.m_Handler(m_Exchange);
  }

  void fail(unsigned Status) {
    m_Finished = true;
    m_Stream.write(emptyAnswer(Status).toText());
    m_Stream.closeWhenDrained();
    if (!m_Stream.isOpen())
      m_Server.remove(this);
  }

  void detachExchange() {
    if (m_Exchange)
      m_Exchange->m_Connection = nullptr;
    m_Exchange.reset();
  }

  void disconnect() {
    m_Stream.close();
    onEnd();
  }

  void onEnd() {
    const std::shared_ptr<HttpExchange> Unanswered = std::move(m_Exchange);
    m_Exchange.reset();
    if (Unanswered) {
      Unanswered->m_Connection = nullptr;
      if (Unanswered->m_OnCallerDisconnected)
        Unanswered->m_OnCallerDisconnected();
    }
    m_Server.remove(this);
  }

  HttpServer &m_Server;
  EventLoop &m_Loop;
  Stream m_Stream;
  std::string m_Input;
  std::unique_ptr<HttpRequestParser> m_Parser;
  std::shared_ptr<HttpExchange> m_Exchange;
  TimePoint m_LastActive;
  bool m_KeepAlive = true;
  /// No more is read from the caller.
  bool m_Finished = false;
  /// Posted tasks hold a weak pointer to it, which expires when the connection
  /// is destroyed.
  std::shared_ptr<int> m_Alive = std::make_shared<int>(0);
};

void HttpExchange::answer(HttpAnswer Answer) {
  if (m_Connection)
    m_Connection->sendAnswer(std::move(Answer));
}

void HttpExchange::abort() {
  if (m_Connection)
    m_Connection->abort();
}

HttpServer::HttpServer(EventLoop &Loop, HttpServerOptions Options,
                       OnRequest Handler)
    : m_Loop(Loop), m_Options(Options), m_Handler(std::move(Handler)),
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
    Count += Connection->busy() ? 1 : 0;
  return Count;
}

std::size_t HttpServer::pendingBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Key, Connection] : m_Connections)
    Bytes += Connection->pendingBytes();
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
    Idle[Index]->abort();
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
