// Tests of callers that send further requests before the first one is answered:
// what runs side by side, the order of the answers, and what is held.
#include "support/http_server_rig.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

std::string requestText(const std::string &Method, std::size_t Number,
                        const std::string &Extra = "",
                        const std::string &Body = "") {
  std::string Text = Method + " /" + std::to_string(Number) +
                     " HTTP/1.1\r\nHost: h\r\n" + Extra;
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

std::string gets(std::size_t First, std::size_t End) {
  std::string Text;
  for (std::size_t Number = First; Number < End; ++Number)
    Text += requestText("GET", Number);
  return Text;
}

HttpAnswer answerWith(const std::string &Body) {
  return {.m_Status = 200, .m_Body = Body};
}

std::string textOf(const std::string &Body) {
  return answerWith(Body).toText();
}

/// A server with a connected caller that has sent \p Bytes.
struct PipelineRig : ServerRig {
  explicit PipelineRig(const std::string &Bytes, HttpServerOptions Options = {})
      : ServerRig(Options) {
    listen();
    connect(Bytes);
  }

  void waitForBegun(std::size_t Count) {
    runUntil(m_Loop, [&] { return m_Exchanges.size() >= Count; });
  }
  /// Runs the loop for a while in which something wrong could happen.
  void settle(Duration Time = 50ms) {
    const TimePoint End = bootNow() + Time;
    runUntil(m_Loop, [&] { return bootNow() >= End; });
  }
  void answer(std::size_t Index, const std::string &Body) {
    m_Exchanges[Index]->answer(answerWith(Body));
  }
  void waitForReceived(const std::string &Text) {
    runUntil(m_Loop, [&] { return m_Received.size() >= Text.size(); });
    CHECK(m_Received == Text);
  }
};

constexpr std::size_t MaxHeld = std::size_t{256} << 10;

} // namespace

TEST_CASE("a late answer at the head doesn't delay the start of the requests "
          "behind it") {
  PipelineRig Rig(gets(0, 5));
  Rig.waitForBegun(5);
  CHECK(Rig.m_Server.activeRequests() == 5);
  CHECK(Rig.m_Received.empty());
}

TEST_CASE("requests that end out of order are answered in order, those that "
          "are ready in one call") {
  PipelineRig Rig(gets(0, 4));
  Rig.waitForBegun(4);
  Rig.answer(2, "two");
  Rig.answer(1, "one");
  Rig.settle();
  CHECK(Rig.m_Received.empty());
  CHECK(Rig.m_Server.activeRequests() == 2);
  // Answers that wait for their turn keep a stopping process from exiting.
  CHECK(Rig.m_Server.pendingBytes() == 6);
  Rig.answer(0, "zero");
  Rig.waitForReceived(textOf("zero") + textOf("one") + textOf("two"));
  CHECK(Rig.m_DataEvents == 1);
  CHECK(Rig.m_Server.pendingBytes() == 0);
  Rig.answer(3, "three");
  Rig.waitForReceived(textOf("zero") + textOf("one") + textOf("two") +
                      textOf("three"));
}

TEST_CASE("a POST behind GETs is begun after their answers, and nothing behind "
          "it before its own") {
  PipelineRig Rig(gets(0, 2) + requestText("POST", 2, "", "body") + gets(3, 5));
  Rig.waitForBegun(2);
  Rig.answer(1, "1");
  Rig.settle();
  CHECK(Rig.m_Exchanges.size() == 2);
  Rig.answer(0, "0");
  Rig.waitForBegun(3);
  Rig.settle();
  REQUIRE(Rig.m_Exchanges.size() == 3);
  CHECK(Rig.m_Exchanges[2]->request().m_Body == "body");
  Rig.answer(2, "2");
  Rig.waitForBegun(5);
  Rig.answer(4, "4");
  Rig.answer(3, "3");
  Rig.waitForReceived(textOf("0") + textOf("1") + textOf("2") + textOf("3") +
                      textOf("4"));
}

TEST_CASE("a closing answer in the middle cancels what has begun behind it and "
          "drops the rest; those before it are answered") {
  // Otherwise a request could run whose caller sends it again elsewhere.
  PipelineRig Rig(gets(0, 4) + requestText("POST", 4));
  Rig.waitForBegun(4);
  int Cancelled = 0;
  for (std::size_t Index : {2, 3})
    Rig.m_Exchanges[Index]->onCallerDisconnected([&] { ++Cancelled; });
  Rig.m_Exchanges[0]->onCallerDisconnected([&] { FAIL("can be answered"); });
  HttpAnswer Closing = answerWith("1");
  Closing.m_KeepAlive = false;
  Rig.m_Exchanges[1]->answer(Closing);
  // Not within the answer: its sender may be iterating over requests.
  CHECK(Cancelled == 0);
  CHECK(Rig.m_Exchanges[2]->isClosed());
  runUntil(Rig.m_Loop, [&] { return Cancelled == 2; });
  CHECK_FALSE(Rig.m_Ended);
  Rig.answer(2, "late");
  Rig.answer(0, "0");
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received == textOf("0") + Closing.toText());
  CHECK(Rig.m_Exchanges.size() == 4);
}

TEST_CASE("nothing behind a request that ends the connection is begun") {
  PipelineRig Rig(gets(0, 1) + requestText("GET", 1, "Connection: close\r\n") +
                  gets(2, 3));
  Rig.waitForBegun(2);
  Rig.answer(1, "1");
  Rig.settle();
  CHECK(Rig.m_Exchanges.size() == 2);
  Rig.answer(0, "0");
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  HttpAnswer Last = answerWith("1");
  Last.m_KeepAlive = false;
  CHECK(Rig.m_Received == textOf("0") + Last.toText());
}

TEST_CASE("a last answer reaches a caller that has sent more ahead") {
  // Closing with unread input resets the connection, and what the kernel hasn't
  // delivered yet is lost.
  const std::string Body(std::size_t{3} << 20, 'x');
  PipelineRig Rig("");
  Rig.settle();
  Rig.m_Client->setReading(false);
  Rig.m_Client->write(requestText("POST", 0, "Connection: close\r\n") +
                      std::string(std::size_t{2} << 20, 'r'));
  Rig.waitForBegun(1);
  HttpAnswer Last = answerWith(Body);
  Last.m_KeepAlive = false;
  Rig.m_Exchanges[0]->answer(Last);
  Rig.settle();
  Rig.m_Client->setReading(true);
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK((Rig.m_Received == Last.toText()));
}

TEST_CASE("an aborted request closes the connection after the answers before "
          "it") {
  PipelineRig Rig(gets(0, 3));
  Rig.waitForBegun(3);
  Rig.m_Exchanges[1]->abort();
  CHECK(Rig.m_Exchanges[2]->isClosed());
  Rig.answer(0, "0");
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received == textOf("0"));
}

TEST_CASE("a malformed request in the middle is answered in its turn, and "
          "nothing behind it is begun") {
  // An early 400 would be taken for the answer to the first request; a request
  // smuggled behind it must not run.
  std::string Bad;
  SUBCASE("of an idempotent method") {
    Bad = "GET /bad HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  }
  SUBCASE("of no method") { Bad = "(garbage)\r\n\r\n"; }
  PipelineRig Rig(gets(0, 2) + Bad + gets(3, 5));
  Rig.waitForBegun(2);
  Rig.answer(1, "1");
  Rig.settle();
  CHECK(Rig.m_Received.empty());
  Rig.answer(0, "0");
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received.starts_with(textOf("0") + textOf("1") + "HTTP/1.1 400"));
  CHECK(Rig.m_Exchanges.size() == 2);
}

TEST_CASE("a refusal in the middle concerns only its own request") {
  PipelineRig Rig(gets(0, 3));
  Rig.m_OnRequest = [](HttpExchange &Each) {
    if (Each.request().m_Target == "/1")
      Each.answer({.m_Status = 503});
  };
  Rig.waitForBegun(3);
  Rig.answer(2, "2");
  Rig.answer(0, "0");
  Rig.waitForReceived(textOf("0") + HttpAnswer{.m_Status = 503}.toText() +
                      textOf("2"));
}

TEST_CASE("an answer to HEAD has no body even if the request was moved out") {
  // A body would be taken for the next answer.
  PipelineRig Rig(requestText("HEAD", 0) + requestText("HEAD", 1));
  Rig.waitForBegun(2);
  for (const auto &Each : Rig.m_Exchanges)
    const HttpRequest Taken = std::move(Each->request());
  Rig.answer(1, "unsent");
  Rig.answer(0, "unsent");
  std::string Text = textOf("unsent");
  Text.resize(Text.size() - 6);
  Rig.waitForReceived(Text + Text);
}

TEST_CASE("a caller that leaves with a full pipeline has all its requests "
          "cancelled within half a second") {
  // Little enough that the kernel takes what the server doesn't read: the end
  // of a connection can't overtake unsent bytes.
  const std::size_t Flood = 7000;
  std::size_t Sent = 0;
  SUBCASE("while it is read from") { Sent = 20; }
  SUBCASE("while nothing more is read from it") { Sent = Flood; }
  PipelineRig Rig(gets(0, Sent));
  Rig.waitForBegun(16);
  Rig.settle(200ms);
  if (Sent == Flood)
    REQUIRE(Rig.m_Server.heldBytes() > MaxHeld - Stream::ReadSize);
  int Cancelled = 0;
  for (const auto &Each : Rig.m_Exchanges)
    Each->onCallerDisconnected([&] { ++Cancelled; });
  Rig.answer(3, "waits");
  const TimePoint Left = bootNow();
  Rig.m_Client->close();
  runUntil(Rig.m_Loop, [&] { return Cancelled == 15; });
  CHECK(bootNow() - Left < 500ms);
  CHECK(Rig.m_Server.connections() == 0);
  Rig.answer(0, "late");
}

TEST_CASE("a reset connection that isn't read from is noticed, too") {
  PipelineRig Rig("");
  const int Caller = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Rig.m_Address.m_Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(Caller, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) == 0);
  const std::string Text = gets(0, 12000);
  REQUIRE(send(Caller, Text.data(), Text.size(), MSG_DONTWAIT) > 0);
  Rig.waitForBegun(16);
  Rig.settle(100ms);
  int Cancelled = 0;
  for (const auto &Each : Rig.m_Exchanges)
    Each->onCallerDisconnected([&] { ++Cancelled; });
  const linger Reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(Caller, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
  const TimePoint Left = bootNow();
  close(Caller);
  runUntil(Rig.m_Loop, [&] { return Cancelled == 16; });
  CHECK(bootNow() - Left < 500ms);
}

TEST_CASE("an orderly stop answers what has begun, begins nothing further and "
          "closes after the last answer") {
  PipelineRig Rig(gets(0, 20));
  Rig.waitForBegun(16);
  Rig.answer(15, "15");
  Rig.m_Server.closeAfterAnswers();
  std::string Expected;
  for (std::size_t Index = 0; Index < 15; ++Index) {
    Rig.answer(Index, std::to_string(Index));
    Expected += textOf(std::to_string(Index));
  }
  HttpAnswer Last = answerWith("15");
  Last.m_KeepAlive = false;
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received == Expected + Last.toText());
  CHECK(Rig.m_Exchanges.size() == 16);
}

TEST_CASE("at a stop, an idle caller's next request is served") {
  PipelineRig Rig("");
  Rig.settle();
  Rig.m_Server.closeAfterAnswers();
  Rig.m_Client->write(gets(0, 2));
  Rig.waitForBegun(1);
  Rig.settle();
  CHECK(Rig.m_Exchanges.size() == 1);
  Rig.answer(0, "0");
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received.ends_with("0"));
}

TEST_CASE("at most 16 requests of a connection run at a time") {
  PipelineRig Rig(gets(0, 40));
  Rig.waitForBegun(16);
  Rig.settle();
  CHECK(Rig.m_Exchanges.size() == 16);
  // An answer that waits for its turn still takes its place.
  Rig.answer(5, "5");
  Rig.settle();
  CHECK(Rig.m_Exchanges.size() == 16);
  Rig.answer(0, "0");
  Rig.waitForBegun(17);
  Rig.settle();
  CHECK(Rig.m_Exchanges.size() == 17);
}

TEST_CASE("a caller that sends much ahead is read no further than the bound, "
          "and all is answered") {
  const std::size_t Count = 20000;
  PipelineRig Rig(gets(0, Count));
  Rig.waitForBegun(16);
  Rig.settle(200ms);
  CHECK(Rig.m_Server.heldBytes() <= MaxHeld);
  CHECK(Rig.m_Server.heldBytes() > MaxHeld / 2);
  std::size_t Answered = 0;
  runUntil(Rig.m_Loop, [&] {
    for (; Answered < Rig.m_Exchanges.size(); ++Answered)
      Rig.answer(Answered, "x");
    return Rig.m_Received.size() >= Count * textOf("x").size();
  });
  CHECK(Rig.m_Received.size() == Count * textOf("x").size());
  CHECK(Rig.m_Server.heldBytes() == 0);
}

TEST_CASE("a body larger than the bound is read once its request is the first "
          "one") {
  // A bound on what is read would otherwise block the connection for ever.
  const std::string Body(std::size_t{1} << 20, 'b');
  std::string Method;
  SUBCASE("GET") { Method = "GET"; }
  SUBCASE("POST") { Method = "POST"; }
  PipelineRig Rig(gets(0, 1) + requestText(Method, 1, "", Body));
  Rig.waitForBegun(1);
  Rig.settle(200ms);
  CHECK(Rig.m_Exchanges.size() == 1);
  CHECK(Rig.m_Server.heldBytes() <= MaxHeld);
  Rig.answer(0, "0");
  Rig.waitForBegun(2);
  CHECK(Rig.m_Exchanges[1]->request().m_Body == Body);
}

TEST_CASE("no further request is begun while a slow reader's output waits") {
  const std::string Body(std::size_t{1} << 20, 'x');
  PipelineRig Rig("");
  Rig.m_OnRequest = [&](HttpExchange &Each) { Each.answer(answerWith(Body)); };
  Rig.settle();
  Rig.m_Client->setReading(false);
  Rig.m_Client->write(gets(0, 60));
  Rig.settle(400ms);
  // The kernel takes some answers; one more is held.
  const std::size_t Begun = Rig.m_Exchanges.size();
  CHECK(Begun < 30);
  CHECK(Rig.m_Server.pendingBytes() <= textOf(Body).size());
  CHECK(Rig.m_Server.heldBytes() <= textOf(Body).size() + MaxHeld);
  Rig.m_Client->setReading(true);
  runUntil(Rig.m_Loop, [&] {
    CHECK(Rig.m_Server.heldBytes() <= textOf(Body).size() + MaxHeld);
    return Rig.m_Received.size() == 60 * textOf(Body).size();
  });
}

TEST_CASE("a reader that always leaves some output doesn't make the buffer "
          "grow") {
  // The sent part of the buffer was only freed when all of it had been sent.
  const std::string Body(50000, 'x');
  PipelineRig Rig("");
  Rig.m_OnRequest = [&](HttpExchange &Each) { Each.answer(answerWith(Body)); };
  Rig.settle();
  const std::size_t Count = 300;
  Rig.m_Client->write(gets(0, Count));
  std::size_t MostHeld = 0;
  bool Reading = true;
  std::function<void()> Toggle = [&] {
    Reading = !Reading;
    Rig.m_Client->setReading(Reading);
    Rig.m_Loop.after(Reading ? 1ms : 3ms, Toggle);
  };
  Toggle();
  runUntil(Rig.m_Loop, [&] {
    MostHeld = std::max(MostHeld, Rig.m_Server.heldBytes());
    return Rig.m_Received.size() == Count * textOf(Body).size();
  });
  CHECK(MostHeld <= MaxHeld);
}

TEST_CASE("where answers are large, fewer requests run side by side") {
  const std::string Large(std::size_t{100} << 10, 'x');
  PipelineRig Rig(gets(0, 20));
  Rig.waitForBegun(16);
  for (std::size_t Index = 0; Index < 16; ++Index)
    Rig.answer(Index, Large);
  Rig.waitForBegun(17);
  Rig.settle();
  // The first one and two whose answers may have to wait.
  CHECK(Rig.m_Exchanges.size() == 19);
  Rig.answer(18, Large);
  Rig.answer(17, Large);
  CHECK(Rig.m_Server.pendingBytes() <= MaxHeld);
  Rig.answer(16, Large);
  Rig.waitForBegun(20);
}

TEST_CASE("requests that arrive byte by byte are served as any other") {
  PipelineRig Rig("");
  Rig.settle();
  const std::string Text = gets(0, 2) + requestText("POST", 2, "", "body") +
                           requestText("HEAD", 3) + gets(4, 5);
  std::size_t Sent = 0;
  std::size_t Answered = 0;
  runUntil(Rig.m_Loop, [&] {
    if (Sent < Text.size())
      Rig.m_Client->write(Text.substr(Sent++, 1));
    else if (Answered < Rig.m_Exchanges.size())
      Rig.answer(Answered++, "");
    return Answered == 5;
  });
  std::string Expected;
  for (int Count = 0; Count < 5; ++Count)
    Expected += textOf("");
  Rig.waitForReceived(Expected);
}

TEST_CASE("a request that waited for others counts as received when its last "
          "byte was") {
  // Its deadline would start anew, and it would run although its caller has
  // given up.
  PipelineRig Rig(requestText("POST", 0) + gets(1, 2) + "GET /2 ");
  Rig.waitForBegun(1);
  Rig.settle(150ms);
  Rig.m_Client->write("HTTP/1.1\r\nHost: h\r\n\r\n");
  Rig.settle(150ms);
  Rig.answer(0, "0");
  Rig.waitForBegun(3);
  const TimePoint First = Rig.m_Exchanges[0]->receivedAt();
  CHECK(Rig.m_Exchanges[1]->receivedAt() - First < 50ms);
  CHECK(Rig.m_Exchanges[2]->receivedAt() - First >= 140ms);
  CHECK(Rig.m_Exchanges[2]->receivedAt() - First < 290ms);
  Rig.answer(1, "1");
  Rig.answer(2, "2");
  Rig.settle();
  Rig.m_Client->write(gets(3, 4));
  Rig.waitForBegun(4);
  CHECK(Rig.m_Exchanges[3]->receivedAt() - First >= 340ms);
}

TEST_CASE("an incomplete request behind others isn't timed out before its "
          "turn, but then") {
  PipelineRig Rig(gets(0, 1) + "GET /1", {.m_HeaderTimeout = 200ms});
  Rig.waitForBegun(1);
  Rig.settle(900ms);
  CHECK_FALSE(Rig.m_Ended);
  Rig.answer(0, "0");
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received.starts_with(textOf("0") + "HTTP/1.1 408"));
}

namespace {

/// One request of the property test and how it is answered.
struct ModelRequest {
  std::string m_Method;
  std::size_t m_RequestBytes;
  std::size_t m_AnswerBytes;
  bool m_CallerCloses;
  bool m_AnswerCloses;

  bool idempotent() const { return m_Method != "POST"; }
  bool closes() const { return m_CallerCloses || m_AnswerCloses; }
  HttpAnswer answer(std::size_t Number) const {
    HttpAnswer Result = answerWith(
        std::string(m_AnswerBytes, static_cast<char>('a' + Number % 26)));
    Result.m_Headers.add("X-Number", std::to_string(Number));
    Result.m_KeepAlive = !m_AnswerCloses;
    return Result;
  }
};

rc::Gen<ModelRequest> anyRequest() {
  return rc::gen::build<ModelRequest>(
      rc::gen::set(&ModelRequest::m_Method,
                   rc::gen::weightedElement<std::string>(
                       {{6, "GET"}, {2, "HEAD"}, {2, "POST"}})),
      rc::gen::set(&ModelRequest::m_RequestBytes,
                   rc::gen::weightedOneOf<std::size_t>(
                       {{8, rc::gen::inRange<std::size_t>(0, 200)},
                        {1, rc::gen::inRange<std::size_t>(0, 400000)}})),
      rc::gen::set(&ModelRequest::m_AnswerBytes,
                   rc::gen::weightedOneOf<std::size_t>(
                       {{8, rc::gen::inRange<std::size_t>(0, 200)},
                        {1, rc::gen::inRange<std::size_t>(0, 400000)}})),
      rc::gen::set(&ModelRequest::m_CallerCloses,
                   rc::gen::weightedElement<bool>({{30, false}, {1, true}})),
      rc::gen::set(&ModelRequest::m_AnswerCloses,
                   rc::gen::weightedElement<bool>({{30, false}, {1, true}})));
}

/// What a caller must receive: the answers up to the first closing one.
std::string expectedAnswers(const std::vector<ModelRequest> &Requests) {
  std::string Text;
  for (std::size_t Number = 0; Number < Requests.size(); ++Number) {
    const ModelRequest &Each = Requests[Number];
    HttpAnswer Answer = Each.answer(Number);
    Answer.m_KeepAlive = !Each.closes();
    std::string Next = Answer.toText();
    if (Each.m_Method == "HEAD")
      Next.resize(Next.size() - Answer.m_Body.size());
    Text += Next;
    if (Each.closes())
      break;
  }
  return Text;
}

/// Checks a request that is begun against all begun before it.
void checkBegin(const std::vector<ModelRequest> &Requests,
                const std::vector<std::shared_ptr<HttpExchange>> &Begun,
                const std::vector<bool> &Answered) {
  const std::size_t Number = Begun.size() - 1;
  RC_ASSERT(Begun.back()->request().m_Target == "/" + std::to_string(Number));
  RC_ASSERT(Begun.back()->request().m_Method == Requests[Number].m_Method);
  RC_ASSERT(Begun.back()->request().m_Body.size() ==
            Requests[Number].m_RequestBytes);
  std::size_t Running = 0;
  for (std::size_t Earlier = 0; Earlier < Number; ++Earlier) {
    RC_ASSERT(!Requests[Earlier].m_CallerCloses);
    RC_ASSERT(!(Requests[Earlier].m_AnswerCloses && Answered[Earlier]));
    if (!Answered[Earlier])
      RC_ASSERT(Requests[Number].idempotent() &&
                Requests[Earlier].idempotent());
    Running += Answered[Earlier] ? 0 : 1;
  }
  RC_ASSERT(Running < 16U);
}

} // namespace

TEST_CASE("any sequence of requests, answer orders and splits of the input is "
          "answered as the model says") {
  CHECK(rc::check([] {
    const auto Requests = *rc::gen::container<std::vector<ModelRequest>>(
        *rc::gen::inRange<std::size_t>(1, 40), anyRequest());
    // Decides on the splits and the order of the answers.
    auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
        64, rc::gen::arbitrary<std::uint32_t>());
    std::size_t NextChoice = 0;
    const auto Choose = [&](std::size_t Count) {
      std::uint32_t &Choice = Choices[NextChoice++ % Choices.size()];
      Choice = Choice * 1664525U + 1013904223U;
      return (Choice >> 8U) % Count;
    };
    std::string Input;
    for (std::size_t Number = 0; Number < Requests.size(); ++Number)
      Input += requestText(
          Requests[Number].m_Method, Number,
          Requests[Number].m_CallerCloses ? "Connection: close\r\n" : "",
          std::string(Requests[Number].m_RequestBytes, 'r'));
    const std::string Expected = expectedAnswers(Requests);
    std::vector<bool> Answered(Requests.size());
    PipelineRig Rig("");
    Rig.m_OnRequest = [&](HttpExchange &Each) {
      checkBegin(Requests, Rig.m_Exchanges, Answered);
      const std::size_t Number = Rig.m_Exchanges.size() - 1;
      if (Choose(4) == 0) {
        Answered[Number] = true;
        Each.answer(Requests[Number].answer(Number));
      }
    };
    std::size_t Sent = 0;
    bool TimedOut = true;
    const TimePoint Deadline = bootNow() + 10s;
    // The loop sleeps unless there is something to do.
    std::function<void()> Tick = [&] { Rig.m_Loop.after(Duration(100), Tick); };
    Tick();
    Rig.m_Loop.run([&] {
      if (Sent < Input.size() && Choose(2) == 0) {
        const std::size_t Size =
            Choose(3) == 0 ? Choose(100) + 1 : Choose(Input.size()) + 1;
        Rig.m_Client->write(std::string_view(Input).substr(Sent, Size));
        Sent = std::min(Sent + Size, Input.size());
      }
      std::vector<std::size_t> Open;
      for (std::size_t Number = 0; Number < Rig.m_Exchanges.size(); ++Number)
        if (!Rig.m_Exchanges[Number]->isClosed())
          Open.push_back(Number);
      if (!Open.empty() && Choose(2) == 0) {
        const std::size_t Number = Open[Choose(Open.size())];
        Answered[Number] = true;
        Rig.m_Exchanges[Number]->answer(Requests[Number].answer(Number));
      }
      TimedOut = bootNow() > Deadline;
      if (Rig.m_Received.size() >= Expected.size() || TimedOut)
        Rig.m_Loop.stop();
    });
    RC_ASSERT(!TimedOut);
    RC_ASSERT(Rig.m_Received == Expected);
    // None is left that neither was answered nor knows that it can't be.
    for (const auto &Each : Rig.m_Exchanges)
      RC_ASSERT(Each->isClosed());
    RC_ASSERT(Rig.m_Server.pendingBytes() == 0U);
  }));
}
