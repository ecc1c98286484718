// Connection pool of one endpoint and the calls on its connections.
#include "http_client.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace balsamwheel {

namespace {

/// Returns the "timeout" parameter of a Keep-Alive header; none if it is
/// missing or malformed.
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

/// A pooled connection with at most one call at a time.
class HttpClientConnection {
public:
  HttpClientConnection(HttpClient &Client, EventLoop &Loop)
      : m_Client(Client), m_Loop(Loop), m_Stream(Loop) {
    m_Stream.setEvents(
        {.m_OnOpen = [this] { onOpen(); },
         .m_OnData = [this](std::string_view Bytes) { onData(Bytes); },
         .m_OnEnd = [this](StreamEndReason Reason) { onEnd(Reason); }});
  }

  ~HttpClientConnection() { m_Loop.cancel(m_Timer); }

  bool connect(const Endpoint &Server) {
    m_Stream.setTcpUserTimeout(m_Client.m_Options.m_TcpUserTimeout);
    return m_Stream.connect(Server);
  }
  bool idle() const { return !m_Call; }
  TimePoint idleSince() const { return m_IdleSince; }
  /// Whether the connection may carry a call now. Two ids with the same hash
  /// only cost another connection.
  bool isUsableFor(const HttpClient::PendingCall &Call) const {
    return idle() && m_IdleSince >= m_Loop.now() - Call.m_Call.m_MaxIdle &&
           (Call.m_Call.m_IdHeader.empty() ||
            std::find(m_CarriedIds.begin(), m_CarriedIds.end(),
                      Call.m_IdHash) == m_CarriedIds.end());
  }
  HttpClient::CallId callId() const {
    return m_Call ? m_Call->m_Id : HttpClient::CallId();
  }

  bool requestSent() const { return m_RequestSent; }

  void start(HttpClient::PendingCall Call) {
    if (!Call.m_Call.m_IdHeader.empty())
      m_CarriedIds.push_back(Call.m_IdHash);
    m_Call = std::make_unique<HttpClient::PendingCall>(std::move(Call));
    m_Input.clear();
    m_SkippedAnswers = 0;
    resetParser();
    const Duration Remaining = m_Call->m_Deadline - m_Loop.now();
    const bool Open = m_Stream.isOpen();
    setTimer(Open ? Remaining
                  : std::min(Remaining, m_Client.m_Options.m_ConnectTimeout));
    if (Open)
      sendRequest();
  }

  /// Closes the connection and ends its call, if any, with \p CallOutcome
  /// and \p Error.
  void fail(HttpCallOutcome CallOutcome, const char *Error) {
    const std::unique_ptr<HttpClient::PendingCall> Call = std::move(m_Call);
    shutDown();
    if (Call)
      Call->m_Done({.m_CallOutcome = CallOutcome, .m_Error = Error});
  }

  void shutDown() {
    m_Call.reset();
    m_BodyReservation = {};
    m_Loop.cancel(m_Timer);
    m_Stream.close();
    m_Client.remove(this);
  }

private:
  void onOpen() {
    if (!m_Call)
      return;
    setTimer(m_Call->m_Deadline - m_Loop.now());
    sendRequest();
  }

  void sendRequest() {
    m_RequestSent = true;
    const HttpRequest &Request = m_Call->m_Call.m_Request;
    m_Stream.write(Request.headToText(), Request.m_Body);
  }

  /// Reserves memory for the body of the answer. The reservation grows by
  /// doubling, as the buffer does.
  /// \returns false if there is none.
  bool reserveBody() {
    BodyRoom *Room = m_Client.m_Options.m_BodyRoom;
    const std::size_t Size = m_Parser->receivedBodyBytes();
    return !Room || Size <= m_BodyReservation.bytes() ||
           Room->extend(m_BodyReservation,
                        std::max(Size, std::min(2 * m_BodyReservation.bytes(),
                                                m_Parser->maxBodyBytes())));
  }

  void resetParser() {
    m_BodyReservation = {};
    m_Parser = std::make_unique<HttpAnswerParser>(
        m_Client.m_Options.m_Limits,
        m_Call->m_Call.m_Request.m_Method == "HEAD");
  }

  void setTimer(Duration Delay) {
    m_Loop.cancel(m_Timer);
    m_Timer = m_Loop.after(Delay, [this] { onTimeout(); });
  }

  void onTimeout() {
    if (!m_Call)
      return shutDown();
    if (!m_RequestSent)
      return fail(HttpCallOutcome::NotSent, "no connection in time");
    m_Client.closeIdle();
    fail(HttpCallOutcome::TimedOut, "no answer in time");
  }

  void onData(std::string_view Bytes) {
    if (!m_Call) // Bytes outside an answer: the connection can't be reused.
      return shutDown();
    m_Input.append(Bytes);
    parse();
  }

  void parse() {
    while (m_Call && !m_Input.empty()) {
      const ParseState State = m_Parser->feed(m_Input);
      if (State == ParseState::NeedMore && !reserveBody())
        return fail(HttpCallOutcome::Broken, "no room for the answer's body");
      if (State == ParseState::NeedMore)
        return;
      if (State != ParseState::Complete)
        return fail(HttpCallOutcome::Broken, "the bytes are no HTTP answer");
      complete(m_Parser->take());
    }
  }

  void complete(HttpAnswer Answer) {
    const HttpCall &Call = m_Call->m_Call;
    const bool Interim = Answer.m_Status < 200;
    const bool Unidentified = Call.m_IdOptional && m_CarriedIds.size() == 1 &&
                              !Answer.m_Headers.has(Call.m_IdHeader);
    const bool OtherRequest =
        !Call.m_IdHeader.empty() && !Unidentified &&
        Answer.m_Headers.get(Call.m_IdHeader) != Call.m_Id;
    if (Interim || OtherRequest) {
      if (++m_SkippedAnswers > m_Client.m_Options.m_MaxSkippedAnswers)
        return fail(HttpCallOutcome::Broken, "too many other answers");
      return resetParser();
    }
    // After surplus bytes, or with a part of the request still unsent, the
    // connection can't be reused.
    const bool Reusable =
        Answer.m_KeepAlive && !Unidentified && m_Input.empty() &&
        m_Stream.isOpen() && m_Stream.pendingBytes() == 0 &&
        m_CarriedIds.size() < m_Client.m_Options.m_MaxIdsPerConnection;
    const auto ServerTimeout =
        keepAliveTimeout(Answer.m_Headers.get("Keep-Alive"));
    const std::unique_ptr<HttpClient::PendingCall> Done = std::move(m_Call);
    m_Parser.reset();
    m_BodyReservation = {};
    m_RequestSent = false;
    m_IdleSince = m_Loop.now();
    Duration Idle = m_Client.m_Options.m_IdleTimeout;
    if (ServerTimeout)
      Idle = std::min(Idle, *ServerTimeout - m_Client.m_Options.m_IdleMargin);
    if (Reusable && Idle > Duration::zero())
      setTimer(Idle);
    else
      shutDown();
    Done->m_Done({.m_CallOutcome = HttpCallOutcome::Answered,
                  .m_Answer = std::move(Answer)});
    m_Client.dispatch();
  }

  void onEnd(StreamEndReason Reason) {
    if (!m_Call)
      return shutDown();
    if (!m_RequestSent)
      return fail(HttpCallOutcome::NotSent, "the connection was refused");
    // An answer without a length ends with an orderly close, never with a
    // failure.
    if (Reason == StreamEndReason::Closed &&
        m_Parser->finish() == ParseState::Complete)
      return complete(m_Parser->take());
    fail(HttpCallOutcome::Broken, "the connection ended before the answer");
  }

  HttpClient &m_Client;
  EventLoop &m_Loop;
  Stream m_Stream;
  std::unique_ptr<HttpClient::PendingCall> m_Call;
  std::unique_ptr<HttpAnswerParser> m_Parser;
  std::string m_Input;
  /// Of the answer that is being received.
  BodyReservation m_BodyReservation;
  EventLoop::TimerId m_Timer;
  TimePoint m_IdleSince;
  /// Hashes of the ids of all calls so far.
  std::vector<std::uint32_t> m_CarriedIds;
  /// Answers skipped by the current call.
  int m_SkippedAnswers = 0;
  /// The current call's request was written to the stream.
  bool m_RequestSent = false;
};

HttpClient::HttpClient(EventLoop &Loop, Endpoint Server,
                       HttpClientOptions Options)
    : m_Loop(Loop), m_Server(std::move(Server)), m_Options(Options) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::call(HttpCall Call, OnResult Done) {
  const CallId Id(++m_LastCall);
  const TimePoint Deadline = m_Loop.now() + Call.m_Timeout;
  const auto IdHash = static_cast<std::uint32_t>(
      XXH3_64bits(Call.m_Id.data(), Call.m_Id.size()));
  m_Queue.push_back({.m_Id = Id,
                     .m_Call = std::move(Call),
                     .m_Done = std::move(Done),
                     .m_Deadline = Deadline,
                     .m_IdHash = IdHash});
  dispatch();
  return Id;
}

void HttpClient::dispatch() {
  while (!m_Queue.empty()) {
    auto Idle = std::find_if(m_Connections.begin(), m_Connections.end(),
                             [&](const auto &Connection) {
                               return Connection->isUsableFor(m_Queue.front());
                             });
    if (Idle == m_Connections.end() &&
        m_Connections.size() >= m_Options.m_MaxConnections)
      closeLongestIdle();
    if (Idle == m_Connections.end()) {
      if (m_Connections.size() >= m_Options.m_MaxConnections)
        return;
      auto Opened = std::make_unique<HttpClientConnection>(*this, m_Loop);
      ++m_ConnectionsOpened;
      if (!Opened->connect(m_Server)) {
        m_Unsendable.splice(m_Unsendable.end(), m_Queue, m_Queue.begin());
        m_Loop.post(m_Guard.bind([this] { endUnsendable("no socket"); }));
        continue;
      }
      m_Connections.push_front(std::move(Opened));
      Idle = m_Connections.begin();
    }
    PendingCall Call = std::move(m_Queue.front());
    m_Queue.pop_front();
    (*Idle)->start(std::move(Call));
  }
}

void HttpClient::endUnsendable(const char *Why) {
  if (m_Unsendable.empty())
    return;
  const PendingCall Ended = std::move(m_Unsendable.front());
  m_Unsendable.pop_front();
  Ended.m_Done({.m_CallOutcome = HttpCallOutcome::NotSent, .m_Error = Why});
}

void HttpClient::closeLongestIdle() {
  HttpClientConnection *Longest = nullptr;
  for (const auto &Connection : m_Connections)
    if (Connection->idle() &&
        (!Longest || Connection->idleSince() < Longest->idleSince()))
      Longest = Connection.get();
  if (Longest)
    Longest->shutDown();
}

void HttpClient::closeIdle() {
  std::vector<HttpClientConnection *> Idle;
  for (const auto &Connection : m_Connections)
    if (Connection->idle())
      Idle.push_back(Connection.get());
  for (HttpClientConnection *Connection : Idle)
    Connection->shutDown();
}

void HttpClient::cancel(CallId Call) {
  const auto IsCall = [&](const PendingCall &Each) {
    return Each.m_Id == Call;
  };
  if (std::erase_if(m_Queue, IsCall) + std::erase_if(m_Unsendable, IsCall) > 0)
    return;
  for (const auto &Connection : m_Connections)
    if (Connection->callId() == Call)
      return Connection->shutDown();
}

bool HttpClient::isUnsent(CallId Call) const {
  const auto Contains = [&](const std::list<PendingCall> &Calls) {
    return std::any_of(
        Calls.begin(), Calls.end(),
        [&](const PendingCall &Each) { return Each.m_Id == Call; });
  };
  return Contains(m_Queue) || Contains(m_Unsendable) ||
         std::any_of(m_Connections.begin(), m_Connections.end(),
                     [&](const auto &Connection) {
                       return Connection->callId() == Call &&
                              !Connection->requestSent();
                     });
}

void HttpClient::reset() {
  m_Unsendable.splice(m_Unsendable.end(), m_Queue);
  std::vector<HttpClientConnection *> All;
  for (const auto &Connection : m_Connections)
    All.push_back(Connection.get());
  for (HttpClientConnection *Connection : All)
    Connection->fail(HttpCallOutcome::Broken, "the endpoint was given up");
  // Their callbacks may cancel others of these calls, or add new ones.
  for (std::size_t Left = m_Unsendable.size(); Left > 0; --Left)
    endUnsendable("the endpoint was given up");
}

void HttpClient::remove(HttpClientConnection *Connection) {
  auto Found = std::find_if(
      m_Connections.begin(), m_Connections.end(),
      [&](const auto &Owned) { return Owned.get() == Connection; });
  if (Found == m_Connections.end())
    return;
  m_Loop.destroyLater(std::move(*Found));
  m_Connections.erase(Found);
  m_Loop.post(m_Guard.bind([this] { dispatch(); }));
}

} // namespace balsamwheel
