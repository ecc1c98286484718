// Connections to one endpoint and the calls on them.
#include "http_client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace balsamwheel {

namespace {

/// The "timeout" of a Keep-Alive header; none when it gives no time.
std::optional<Duration> keepAliveTimeout(std::string_view Header) {
  const std::size_t Found = Header.find("timeout=");
  if (Found == std::string_view::npos)
    return std::nullopt;
  const char *First = Header.data() + Found + 8;
  unsigned Seconds = 0;
  auto [End, Error] =
      std::from_chars(First, Header.data() + Header.size(), Seconds);
  if (Error != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

} // namespace

/// Carries one call at a time.
class HttpClientConnection {
public:
  HttpClientConnection(HttpClient &Client, EventLoop &Loop)
      : m_Client(Client), m_Loop(Loop), m_Stream(Loop) {
    m_Stream.setEvents(
        {.m_OnOpen = [this] { opened(); },
         .m_OnData = [this](std::string_view Bytes) { received(Bytes); },
         .m_OnEnd = [this](StreamEnd How) { ended(How); }});
  }

  ~HttpClientConnection() { m_Loop.cancel(m_Timer); }

  bool connect(const Endpoint &To) {
    m_Stream.setUnacknowledgedLimit(m_Client.m_Options.m_UnacknowledgedLimit);
    return m_Stream.connect(To);
  }
  bool idle() const { return !m_Call; }
  bool idleSince(TimePoint Limit) const { return m_IdleSince >= Limit; }
  HttpClient::CallId callId() const {
    return m_Call ? m_Call->m_Id : HttpClient::CallId();
  }

  void start(HttpClient::Waiting Call) {
    m_Call = std::make_unique<HttpClient::Waiting>(std::move(Call));
    m_Input.clear();
    newParser();
    const Duration Left = m_Call->m_Until - m_Loop.now();
    const bool Open = m_Stream.isOpen();
    setTimer(Open ? Left : std::min(Left, m_Client.m_Options.m_ConnectTimeout));
    if (Open)
      sendRequest();
  }

  /// Ends the call under way, if any, and the connection.
  void fail(HttpCallEnd How, const char *Error) {
    const std::unique_ptr<HttpClient::Waiting> Call = std::move(m_Call);
    shutDown();
    if (Call)
      Call->m_Done({.m_End = How, .m_Error = Error});
  }

  void shutDown() {
    m_Call.reset();
    m_Loop.cancel(m_Timer);
    m_Stream.close();
    m_Client.remove(this);
  }

private:
  void opened() {
    if (!m_Call)
      return;
    setTimer(m_Call->m_Until - m_Loop.now());
    sendRequest();
  }

  void sendRequest() {
    m_Sent = true;
    m_Stream.write(m_Call->m_Call.m_Request.toText());
  }

  void newParser() {
    m_Parser = std::make_unique<HttpAnswerParser>(
        m_Client.m_Options.m_Limits,
        m_Call->m_Call.m_Request.m_Method == "HEAD");
  }

  void setTimer(Duration Delay) {
    m_Loop.cancel(m_Timer);
    m_Timer = m_Loop.after(Delay, [this] { timedOut(); });
  }

  void timedOut() {
    if (!m_Call)
      return shutDown();
    if (!m_Sent)
      return fail(HttpCallEnd::NotSent, "no connection in time");
    m_Client.closeIdle();
    fail(HttpCallEnd::TimedOut, "no answer in time");
  }

  void received(std::string_view Bytes) {
    if (!m_Call) // Bytes that belong to no request spoil the connection.
      return shutDown();
    m_Input.append(Bytes);
    parse();
  }

  void parse() {
    while (m_Call && !m_Input.empty()) {
      const ParseState State = m_Parser->feed(m_Input);
      if (State == ParseState::NeedMore)
        return;
      if (State != ParseState::Complete)
        return fail(HttpCallEnd::Broken, "the bytes are no HTTP answer");
      complete(m_Parser->take());
    }
  }

  void complete(HttpAnswer Answer) {
    const HttpCall &Call = m_Call->m_Call;
    const bool Interim = Answer.m_Status < 200;
    const bool Foreign = !Call.m_IdHeader.empty() &&
                         Answer.m_Headers.get(Call.m_IdHeader) != Call.m_Id;
    if (Interim || Foreign)
      return newParser();
    // Bytes beyond the answer, or a body still unsent, spoil the connection.
    const bool Reusable = Answer.m_KeepAlive && m_Input.empty() &&
                          m_Stream.isOpen() && m_Stream.pending() == 0;
    const auto Stated = keepAliveTimeout(Answer.m_Headers.get("Keep-Alive"));
    const std::unique_ptr<HttpClient::Waiting> Done = std::move(m_Call);
    m_Parser.reset();
    m_Sent = false;
    m_IdleSince = m_Loop.now();
    Duration Idle = m_Client.m_Options.m_IdleTimeout;
    if (Stated)
      Idle = std::min(Idle, *Stated - m_Client.m_Options.m_IdleMargin);
    if (Reusable && Idle > Duration::zero())
      setTimer(Idle);
    else
      shutDown();
    Done->m_Done(
        {.m_End = HttpCallEnd::Answered, .m_Answer = std::move(Answer)});
    m_Client.dispatch();
  }

  void ended(StreamEnd How) {
    if (!m_Call)
      return shutDown();
    if (!m_Sent)
      return fail(HttpCallEnd::NotSent, "the connection was refused");
    // Only an orderly close can complete an answer without a length.
    if (How == StreamEnd::Closed && m_Parser->finish() == ParseState::Complete)
      return complete(m_Parser->take());
    fail(HttpCallEnd::Broken, "the connection ended before the answer");
  }

  HttpClient &m_Client;
  EventLoop &m_Loop;
  Stream m_Stream;
  std::unique_ptr<HttpClient::Waiting> m_Call;
  std::unique_ptr<HttpAnswerParser> m_Parser;
  std::string m_Input;
  EventLoop::TimerId m_Timer;
  TimePoint m_IdleSince;
  /// The present call's request was handed to the connection.
  bool m_Sent = false;
};

HttpClient::HttpClient(EventLoop &Loop, Endpoint To, HttpClientOptions Options)
    : m_Loop(Loop), m_To(std::move(To)), m_Options(Options) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::call(HttpCall Call, OnResult Done) {
  const CallId Id(++m_LastCall);
  const TimePoint Until = m_Loop.now() + Call.m_Timeout;
  m_Waiting.push_back({.m_Id = Id,
                       .m_Call = std::move(Call),
                       .m_Done = std::move(Done),
                       .m_Until = Until});
  dispatch();
  return Id;
}

void HttpClient::dispatch() {
  while (!m_Waiting.empty()) {
    // The connection used last is the least likely to have been closed.
    const TimePoint Limit = m_Loop.now() - m_Waiting.front().m_Call.m_MaxIdle;
    auto Idle = std::find_if(m_Connections.begin(), m_Connections.end(),
                             [&](const auto &Each) {
                               return Each->idle() && Each->idleSince(Limit);
                             });
    if (Idle == m_Connections.end() &&
        m_Connections.size() >= m_Options.m_MaxConnections)
      closeIdle();
    if (Idle == m_Connections.end()) {
      if (m_Connections.size() >= m_Options.m_MaxConnections)
        return;
      auto Fresh = std::make_unique<HttpClientConnection>(*this, m_Loop);
      ++m_Opened;
      if (!Fresh->connect(m_To)) {
        const Waiting Failed = std::move(m_Waiting.front());
        m_Waiting.pop_front();
        m_Loop.post([Done = Failed.m_Done] {
          Done({.m_End = HttpCallEnd::NotSent, .m_Error = "no socket"});
        });
        continue;
      }
      m_Connections.push_front(std::move(Fresh));
      Idle = m_Connections.begin();
    }
    Waiting Call = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    (*Idle)->start(std::move(Call));
  }
}

void HttpClient::closeIdle() {
  std::vector<HttpClientConnection *> Idle;
  for (const auto &Each : m_Connections)
    if (Each->idle())
      Idle.push_back(Each.get());
  for (HttpClientConnection *Each : Idle)
    Each->shutDown();
}

void HttpClient::cancel(CallId Call) {
  if (std::erase_if(m_Waiting,
                    [&](const Waiting &Each) { return Each.m_Id == Call; }) > 0)
    return;
  for (const auto &Each : m_Connections)
    if (Each->callId() == Call)
      return Each->shutDown();
}

void HttpClient::reset() {
  std::list<Waiting> Unsent;
  Unsent.swap(m_Waiting);
  std::vector<HttpClientConnection *> All;
  for (const auto &Each : m_Connections)
    All.push_back(Each.get());
  for (HttpClientConnection *Each : All)
    Each->fail(HttpCallEnd::Broken, "the endpoint was given up");
  for (const Waiting &Each : Unsent)
    Each.m_Done({.m_End = HttpCallEnd::NotSent,
                 .m_Error = "the endpoint was given up"});
}

void HttpClient::remove(HttpClientConnection *Connection) {
  auto Found =
      std::find_if(m_Connections.begin(), m_Connections.end(),
                   [&](const auto &Each) { return Each.get() == Connection; });
  if (Found == m_Connections.end())
    return;
  m_Loop.retire(std::move(*Found));
  m_Connections.erase(Found);
  m_Loop.post([this] { dispatch(); });
}

} // namespace balsamwheel
