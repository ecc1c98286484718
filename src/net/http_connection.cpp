// Connections of callers: request parsing, time-outs, answers in order.
#include "http_connection.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Maximum number of requests of a connection that run side by side.
constexpr std::size_t MaxConcurrent = 16;
/// Maximum number of bytes held for a connection besides the answer being sent;
/// no more is read beyond it.
constexpr std::size_t MaxHeldBytes = std::size_t{256} << 10;
/// While more output waits, no further request is begun.
constexpr std::size_t MaxOutputBytes = std::size_t{64} << 10;
/// An empty input buffer with a larger capacity (bytes) is freed.
constexpr std::size_t MaxIdleInputCapacity = 4096;
/// How often it is checked whether a caller that isn't read from has left.
constexpr Duration PausedCheckInterval = std::chrono::milliseconds(200);
/// Bytes that are received within this time count as received together.
constexpr Duration ArrivalResolution = std::chrono::milliseconds(10);
constexpr std::size_t MaxArrivals = 64;
/// How long a caller that has sent requests ahead may take to close the
/// connection after its last answer.
constexpr Duration LingerTime = std::chrono::seconds(2);
/// Of an answer's header line, besides its name and value.
constexpr std::size_t HeaderLineBytes = 4;

HttpAnswer emptyAnswer(unsigned Status) {
  return {.m_Status = Status, .m_KeepAlive = false};
}

std::size_t bytesOf(const HttpAnswer &Answer) {
  std::size_t Bytes = Answer.m_Body.size();
  for (const HttpHeader &Header : Answer.m_Headers.all())
    Bytes += Header.m_Name.size() + Header.m_Value.size() + HeaderLineBytes;
  return Bytes;
}

/// Whether the input begins with an idempotent method. Anything else waits
/// until it is the first request.
bool beginsIdempotent(std::string_view Input) {
  return Input.starts_with("GET ") || Input.starts_with("HEAD ");
}

} // namespace

HttpServerConnection::HttpServerConnection(HttpServer &Server, EventLoop &Loop)
    : m_Server(Server), m_Loop(Loop), m_Stream(Loop), m_LastActive(Loop.now()) {
  m_Stream.setDrainMark(MaxOutputBytes);
  m_Stream.setEvents(
      {.m_OnData = [this](std::string_view Bytes) { onData(Bytes); },
       .m_OnEnd = [this](StreamEndReason) { onEnd(); },
       .m_OnDrained = [this] { onDrained(); }});
}

HttpServerConnection::~HttpServerConnection() { detachAll(); }

std::size_t HttpServerConnection::activeRequests() const {
  std::size_t Count = m_First ? 1 : 0;
  if (m_Pipeline)
    for (const Follower &Each : m_Pipeline->m_Followers)
      Count += Each.m_Exchange ? 1 : 0;
  return Count;
}

std::size_t HttpServerConnection::pendingBytes() const {
  return m_Stream.pendingBytes() + waitingBytes();
}

std::size_t HttpServerConnection::heldBytes() const {
  return m_Input.size() + m_ParsedBytes + waitingBytes() +
         m_Stream.bufferedBytes();
}

void HttpServerConnection::sendAnswer(HttpExchange &Exchange,
                                      HttpAnswer Answer) {
  Exchange.m_Connection = nullptr;
  Answer.m_KeepAlive = Answer.m_KeepAlive && Exchange.m_KeepAlive;
  const std::size_t Bytes = m_Pipeline ? bytesOf(Answer) : 0;
  if (m_Pipeline)
    m_Pipeline->m_ExpectedAnswerBytes =
        std::max(Bytes, m_Pipeline->m_ExpectedAnswerBytes -
                            m_Pipeline->m_ExpectedAnswerBytes / 8);
  if (m_First.get() == &Exchange) {
    const std::shared_ptr<HttpExchange> First = std::move(m_First);
    if (!Answer.m_KeepAlive)
      dropFollowers(0);
    return writeAnswers(std::move(Answer), Exchange.m_NoBody);
  }
  auto &Followers = m_Pipeline->m_Followers;
  const auto Found =
      std::find_if(Followers.begin(), Followers.end(), [&](const auto &Each) {
        return Each.m_Exchange.get() == &Exchange;
      });
  const std::shared_ptr<HttpExchange> Answered = std::move(Found->m_Exchange);
  Found->m_AnswerBytes = Bytes;
  m_Pipeline->m_WaitingBytes += Bytes;
  const bool Closes = !Answer.m_KeepAlive;
  Found->m_Answer = std::move(Answer);
  if (Closes)
    dropFollowers(static_cast<std::size_t>(Found - Followers.begin()) + 1);
  else if (!m_Input.empty())
    postAdvance();
}

void HttpServerConnection::writeAnswers(HttpAnswer Answer, bool NoBody) {
  std::string Text;
  bool Last = false;
  while (true) {
    Last = !m_Pipeline || m_Pipeline->m_Followers.empty();
    if (Last && m_Server.m_CloseAfterAnswers)
      Answer.m_KeepAlive = false;
    if (Answer.m_Status != 0) {
      std::string Next = Answer.toText();
      if (NoBody)
        Next.resize(Next.size() - Answer.m_Body.size());
      if (Text.empty())
        Text = std::move(Next);
      else
        Text.append(Next);
    }
    if (Last)
      break;
    Follower Next = std::move(m_Pipeline->m_Followers.front());
    m_Pipeline->m_Followers.pop_front();
    if (Next.m_Exchange) {
      m_First = std::move(Next.m_Exchange);
      break;
    }
    m_Pipeline->m_WaitingBytes -= Next.m_AnswerBytes;
    Answer = std::move(Next.m_Answer);
    NoBody = Next.m_NoBody;
  }
  m_LastActive = m_Loop.now();
  m_Stream.write(Text);
  if (Last && !Answer.m_KeepAlive)
    return finish();
  if (!m_Input.empty())
    postAdvance();
  else
    resumeReading();
}

void HttpServerConnection::dropInput() {
  m_Finished = true;
  m_SentAhead = m_SentAhead || m_Pipeline || !m_Input.empty();
  m_Input.clear();
  m_Parser.reset();
  m_ParsedBytes = 0;
  m_BodyReservation = {};
  if (m_Pipeline)
    m_Pipeline->m_Arrivals.clear();
  // What comes now is dropped, so that the caller's end is noticed.
  resumeReading();
}

void HttpServerConnection::dropFollowers(std::size_t Index) {
  dropInput();
  if (!m_Pipeline)
    return;
  auto &Followers = m_Pipeline->m_Followers;
  auto Dropped = std::make_shared<Exchanges>();
  for (; Followers.size() > Index; Followers.pop_back()) {
    m_Pipeline->m_WaitingBytes -= Followers.back().m_AnswerBytes;
    if (auto &Exchange = Followers.back().m_Exchange) {
      Exchange->m_Connection = nullptr;
      Dropped->push_back(std::move(Exchange));
    }
  }
  // The answer's sender may be iterating over requests.
  if (!Dropped->empty())
    m_Loop.post([Dropped] { notify(*Dropped); });
}

void HttpServerConnection::finish() {
  dropInput();
  m_Closing = true;
  if (m_Stream.pendingBytes() == 0)
    closeAfterLast();
}

void HttpServerConnection::closeAfterLast() {
  if (!m_SentAhead)
    return close();
  m_Stream.endOutput();
  linger(m_Loop.now() + m_Server.m_Options.m_IdleTimeout);
}

void HttpServerConnection::linger(TimePoint Limit) {
  m_Loop.after(LingerTime, m_Guard.bind([this, Limit] {
    const TimePoint Now = m_Loop.now();
    if (Now >= Limit || Now - m_LastDropped >= LingerTime)
      close();
    else
      linger(Limit);
  }));
}

void HttpServerConnection::close() {
  dropInput();
  m_Stream.close();
  m_Server.remove(this);
}

HttpServerConnection::Exchanges HttpServerConnection::detachAll() {
  Exchanges Result;
  if (m_First)
    Result.push_back(std::move(m_First));
  if (m_Pipeline) {
    for (Follower &Each : m_Pipeline->m_Followers)
      if (Each.m_Exchange)
        Result.push_back(std::move(Each.m_Exchange));
    m_Pipeline->m_Followers.clear();
    m_Pipeline->m_WaitingBytes = 0;
  }
  for (const auto &Exchange : Result)
    Exchange->m_Connection = nullptr;
  return Result;
}

void HttpServerConnection::onEnd() {
  const Exchanges Unanswered = detachAll();
  close();
  notify(Unanswered);
}

void HttpServerConnection::notify(const Exchanges &Unanswered) {
  for (const auto &Exchange : Unanswered)
    Exchange->callerDisconnected();
}

void HttpServerConnection::checkTimeout(TimePoint Now) {
  if (m_First)
    return;
  const bool OutputBlocks = m_Stream.pendingBytes() > MaxOutputBytes;
  const bool RequestStarted = !OutputBlocks && (m_Parser || !m_Input.empty());
  const bool HeadersDone = m_Parser && m_Parser->headersComplete();
  const Duration Limit = RequestStarted && !HeadersDone
                             ? m_Server.m_Options.m_HeaderTimeout
                             : m_Server.m_Options.m_IdleTimeout;
  if (Now - m_LastActive <= Limit)
    return;
  if (!RequestStarted)
    return close();
  m_Input.clear(); // All that was sent has been read.
  fail(emptyAnswer(408));
}

void HttpServerConnection::onData(std::string_view Bytes) {
  if (m_Finished) {
    m_LastDropped = m_Loop.now();
    return;
  }
  if (!m_Parser || m_Parser->headersComplete())
    m_LastActive = m_Loop.now();
  m_Input.append(Bytes);
  if (m_Pipeline && !m_Pipeline->m_Arrivals.empty())
    noteArrival(Bytes.size());
  advance();
  if (!m_Finished && !mayRead())
    pauseReading();
}

void HttpServerConnection::onDrained() {
  m_LastActive = m_Loop.now();
  if (m_Closing) {
    if (m_Stream.pendingBytes() == 0)
      closeAfterLast();
    return;
  }
  if (!m_Input.empty())
    postAdvance();
  else
    resumeReading();
}

void HttpServerConnection::postAdvance() {
  if (m_AdvancePosted)
    return;
  m_AdvancePosted = true;
  m_Loop.post(m_Guard.bind([this] {
    m_AdvancePosted = false;
    advance();
  }));
}

void HttpServerConnection::advance() {
  while (beginNext()) {
  }
  if (m_Input.empty() && m_Input.capacity() > MaxIdleInputCapacity)
    m_Input.shrink_to_fit();
  // What is left waits for the requests before it.
  if (!m_Input.empty() && !mayBeginNext() && pipeline().m_Arrivals.empty())
    noteArrival(m_Input.size());
  resumeReading();
}

bool HttpServerConnection::mayBeginNext() const {
  if (m_Stream.pendingBytes() > MaxOutputBytes)
    return false;
  if (!m_First)
    return true;
  if (m_Server.m_CloseAfterAnswers || !m_First->m_Idempotent ||
      (!m_Parser && !beginsIdempotent(m_Input)))
    return false;
  if (!m_Pipeline)
    return true;
  // The first request's answer is the one that is sent; all others may have to
  // wait for their turn.
  std::size_t Unanswered = 1;
  for (const Follower &Each : m_Pipeline->m_Followers)
    Unanswered += Each.m_Exchange ? 1 : 0;
  return m_Pipeline->m_Followers.size() + 1 < MaxConcurrent &&
         m_Pipeline->m_WaitingBytes +
                 Unanswered * m_Pipeline->m_ExpectedAnswerBytes <=
             MaxHeldBytes;
}

bool HttpServerConnection::beginNext() {
  if (m_Finished || m_Input.empty() || !mayBeginNext())
    return false;
  if (!m_Parser)
    m_Parser = std::make_unique<HttpRequestParser>(m_Server.m_Options.m_Limits);
  const std::size_t Before = m_Input.size();
  const ParseState State = m_Parser->feed(m_Input);
  const std::size_t Taken = Before - m_Input.size();
  m_ParsedBytes += Taken;
  const TimePoint ReceivedAt = takeArrival(Taken);
  switch (State) {
  case ParseState::HeadersTooLarge:
    fail(emptyAnswer(431));
    return false;
  case ParseState::BodyTooLarge:
    fail(emptyAnswer(413));
    return false;
  case ParseState::Malformed:
    fail(emptyAnswer(400));
    return false;
  case ParseState::NeedMore:
  case ParseState::Complete:
    break;
  }
  if (!reserveBody()) {
    fail(m_Server.m_Options.m_NoRoomAnswer());
    return false;
  }
  if (State == ParseState::NeedMore)
    return false;
  // The request may have waited in the kernel for long, with the caller's close
  // behind it.
  if (m_Stream.closedByPeer()) {
    onEnd();
    return false;
  }
  HttpRequest Request = m_Parser->take(std::move(m_BodyReservation));
  m_Parser.reset();
  m_ParsedBytes = 0;
  begin(std::move(Request), ReceivedAt);
  return true;
}

void HttpServerConnection::begin(HttpRequest Request, TimePoint ReceivedAt) {
  if (!Request.m_KeepAlive)
    dropInput();
  auto Exchange =
      std::make_shared<HttpExchange>(std::move(Request), this, ReceivedAt);
  if (m_First)
    pipeline().m_Followers.push_back(
        {.m_Exchange = Exchange, .m_NoBody = Exchange->m_NoBody});
  else
    m_First = Exchange;
  m_Server.m_Handler(std::move(Exchange));
}

bool HttpServerConnection::reserveBody() {
  BodyRoom *Room = m_Server.m_Options.m_BodyRoom;
  if (!Room)
    return true;
  const std::size_t Size = m_Parser->bodySize();
  // A body without an announced length grows by doubling.
  return Size <= m_BodyReservation.bytes() ||
         Room->extend(m_BodyReservation,
                      std::max(Size, 2 * m_BodyReservation.bytes()));
}

void HttpServerConnection::fail(HttpAnswer Answer) {
  dropInput();
  // What the caller still sends is dropped, so that it reads the answer.
  m_SentAhead = true;
  Answer.m_KeepAlive = false;
  if (m_First)
    pipeline().m_Followers.push_back({.m_Answer = std::move(Answer)});
  else
    writeAnswers(std::move(Answer), false);
}

HttpServerConnection::Pipeline &HttpServerConnection::pipeline() {
  if (!m_Pipeline)
    m_Pipeline = std::make_unique<Pipeline>();
  return *m_Pipeline;
}

bool HttpServerConnection::mayRead() const {
  const bool Alone = !m_First && m_Stream.pendingBytes() <= MaxOutputBytes;
  return m_Finished || Alone || heldBytes() + Stream::ReadSize <= MaxHeldBytes;
}

void HttpServerConnection::pauseReading() {
  if (!m_Stream.isReading() || !m_Stream.isOpen())
    return;
  m_Stream.setReading(false);
  if (!m_PausedCheckDue)
    checkPaused();
}

void HttpServerConnection::resumeReading() {
  if (!m_Stream.isReading() && mayRead())
    m_Stream.setReading(true);
}

void HttpServerConnection::checkPaused() {
  m_PausedCheckDue = true;
  m_Loop.after(PausedCheckInterval, m_Guard.bind([this] {
    m_PausedCheckDue = false;
    if (m_Stream.isReading() || !m_Stream.isOpen())
      return;
    if (m_Stream.closedByPeer())
      onEnd();
    else
      checkPaused();
  }));
}

void HttpServerConnection::noteArrival(std::size_t Bytes) {
  auto &Arrivals = pipeline().m_Arrivals;
  const TimePoint Now = m_Loop.now();
  if (!Arrivals.empty() && Now - Arrivals.back().m_At < ArrivalResolution) {
    Arrivals.back().m_Bytes += Bytes;
  } else if (Arrivals.size() == MaxArrivals) {
    // Counts as received later than it was: no deadline gets shorter.
    Arrivals.back() = {Arrivals.back().m_Bytes + Bytes, Now};
  } else {
    Arrivals.push_back({Bytes, Now});
  }
}

TimePoint HttpServerConnection::takeArrival(std::size_t Bytes) {
  TimePoint ReceivedAt = m_Loop.now();
  if (!m_Pipeline)
    return ReceivedAt;
  auto &Arrivals = m_Pipeline->m_Arrivals;
  while (Bytes > 0 && !Arrivals.empty()) {
    Arrival &Front = Arrivals.front();
    ReceivedAt = Front.m_At;
    const std::size_t Taken = std::min(Bytes, Front.m_Bytes);
    Bytes -= Taken;
    Front.m_Bytes -= Taken;
    if (Front.m_Bytes == 0)
      Arrivals.pop_front();
  }
  return ReceivedAt;
}

} // namespace balsamwheel
