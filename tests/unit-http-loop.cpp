// Tests of HttpClient against scripted servers and of HttpServer against raw
// connections, on a real event loop.
#include "net/http_client.h"
#include "support/http_server_rig.h"

#include <doctest/doctest.h>

#include <map>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

struct Answered {
  int m_Count = 0;
  HttpCallResult m_Last;
};

HttpCall makeCall(const std::string &Id, Duration Timeout = 5s) {
  HttpCall Call{.m_Timeout = Timeout, .m_IdHeader = "X-Id", .m_Id = Id};
  Call.m_Request = {.m_Method = "GET", .m_Target = "/"};
  Call.m_Request.m_Headers.add("X-Id", Id);
  return Call;
}

std::string idOf(const std::string &Request) {
  return headerOf(Request, "X-Id: ");
}

/// Makes one call to a scripted server and returns its result.
HttpCallResult callOnce(RawServer::Script Script, Duration Timeout = 5s) {
  RawServer Server(std::move(Script));
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  std::optional<HttpCallResult> Result;
  Client.call(makeCall("1", Timeout),
              [&](HttpCallResult Done) { Result = std::move(Done); });
  runUntil(Loop, [&] { return Result.has_value(); });
  return std::move(*Result);
}

RawReply makeAnswer(const std::string &Id, const std::string &Body) {
  return {.m_Bytes = "HTTP/1.1 200 OK\r\nX-Id: " + Id + "\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body};
}

} // namespace

TEST_CASE("a complete answer is delivered") {
  const HttpCallResult Result = callOnce(
      [](const std::string &, int) { return makeAnswer("1", "hello"); });
  CHECK(Result.m_CallOutcome == HttpCallOutcome::Answered);
  CHECK(Result.m_Answer.m_Body == "hello");
}

TEST_CASE(
    "a truncated answer ends the call as Broken: the request may have run") {
  const HttpCallResult Result = callOnce([](const std::string &, int) {
    return RawReply{.m_Bytes = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
                               "Content-Length: 9\r\n\r\npart",
                    .m_Close = true};
  });
  CHECK(Result.m_CallOutcome == HttpCallOutcome::Broken);
}

TEST_CASE(
    "a malformed answer ends the call as Broken: the request may have run") {
  const HttpCallResult Result = callOnce([](const std::string &, int) {
    return RawReply{.m_Bytes = "garbage\r\n\r\n"};
  });
  CHECK(Result.m_CallOutcome == HttpCallOutcome::Broken);
}

TEST_CASE("a connection that is closed without any byte ends the call at once, "
          "and is no answer") {
  const HttpCallResult Result = callOnce(
      [](const std::string &, int) { return RawReply{.m_Close = true}; }, 5s);
  CHECK(Result.m_CallOutcome == HttpCallOutcome::Broken);
}

TEST_CASE("a call to a silent server times out") {
  const HttpCallResult Result = callOnce(
      [](const std::string &, int) { return RawReply{.m_Silent = true}; },
      200ms);
  CHECK(Result.m_CallOutcome == HttpCallOutcome::TimedOut);
}

TEST_CASE("a refused connection ends the call as NotSent") {
  EventLoop Loop({});
  std::uint16_t Port = 0;
  {
    RawServer Stopped([](const std::string &, int) { return RawReply{}; });
    Port = Endpoint::fromText(Stopped.address())->m_Port;
  }
  HttpClient Client(Loop, {.m_Host = "127.0.0.1", .m_Port = Port}, {});
  std::optional<HttpCallResult> Result;
  Client.call(makeCall("1"),
              [&](HttpCallResult Done) { Result = std::move(Done); });
  runUntil(Loop, [&] { return Result.has_value(); });
  CHECK(Result->m_CallOutcome == HttpCallOutcome::NotSent);
}

namespace {

/// An address to which no connection can be started.
const Endpoint Unroutable{.m_Host = "255.255.255.255", .m_Port = 1};

} // namespace

// Guards against callbacks of calls that have ended (LOST): the caller may be
// gone.
TEST_CASE("a call without a socket called back after it had been cancelled") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  std::vector<HttpCallOutcome> Ends;
  const auto Note = [&](const HttpCallResult &Result) {
    Ends.push_back(Result.m_CallOutcome);
  };
  const auto RunForAWhile = [&] {
    const TimePoint End = bootNow() + 50ms;
    runUntil(Loop, [&] { return bootNow() >= End; });
  };
  auto Client =
      std::make_unique<HttpClient>(Loop, Unroutable, HttpClientOptions{});
  SUBCASE("by cancel()") {
    const HttpClient::CallId Call = Client->call(makeCall("1"), Note);
    CHECK(Client->isUnsent(Call));
    Client->cancel(Call);
    RunForAWhile();
    CHECK(Ends.empty());
  }
  SUBCASE("by the end of the client") {
    Client->call(makeCall("1"), Note);
    Client.reset();
    RunForAWhile();
    CHECK(Ends.empty());
  }
  SUBCASE("it ends once, by reset() or by itself") {
    Client->call(makeCall("1"), Note);
    Client->reset();
    CHECK(Ends.size() == 1);
    Client->call(makeCall("2"), Note);
    RunForAWhile();
    CHECK(Ends == std::vector(2, HttpCallOutcome::NotSent));
  }
}

TEST_CASE("a duplicate answer of an earlier request is dropped") {
  int Requests = 0;
  RawServer Server([&](const std::string &, int) {
    ++Requests;
    if (Requests == 1)
      return makeAnswer("1", "first");
    RawReply Second = makeAnswer("1", "again");
    Second.m_Bytes += makeAnswer("2", "second").m_Bytes;
    return Second;
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  std::vector<std::string> Bodies;
  Client.call(makeCall("1"), [&](HttpCallResult First) {
    Bodies.push_back(First.m_Answer.m_Body);
    Client.call(makeCall("2"), [&](HttpCallResult Second) {
      Bodies.push_back(Second.m_Answer.m_Body);
    });
  });
  runUntil(Loop, [&] { return Bodies.size() == 2; });
  CHECK(Bodies == std::vector<std::string>{"first", "second"});
}

TEST_CASE("the second copy of a refusal counted as the answer to the next "
          "attempt with the same id") {
  // On one connection, the refusal of the first attempt comes again in place of
  // the answer to the second.
  std::map<int, int> RequestsOn;
  RawServer Server([&](const std::string &Request, int Connection) {
    const std::string Refusal =
        "HTTP/1.1 421 X\r\nX-Id: " + idOf(Request) +
        "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    if (++RequestsOn[Connection] > 1)
      return RawReply{.m_Bytes =
                          Refusal + makeAnswer(idOf(Request), "ran").m_Bytes};
    return Connection == 0 ? RawReply{.m_Bytes = Refusal}
                           : makeAnswer(idOf(Request), "ran");
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  std::vector<unsigned> Statuses;
  Client.call(makeCall("1"), [&](HttpCallResult First) {
    Statuses.push_back(First.m_Answer.m_Status);
    Client.call(makeCall("1"), [&](HttpCallResult Second) {
      Statuses.push_back(Second.m_Answer.m_Status);
    });
  });
  runUntil(Loop, [&] { return Statuses.size() == 2; });
  CHECK(Statuses == std::vector<unsigned>{421, 200});
  CHECK(Client.connectionsOpened() == 2);
}

TEST_CASE("an id that comes back closes one idle connection, not all") {
  RawServer Server([](const std::string &Request, int) {
    return makeAnswer(idOf(Request), "x");
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()),
                    {.m_MaxConnections = 2});
  int Done = 0;
  const auto Call = [&](const std::string &Id) {
    Client.call(makeCall(Id), [&](HttpCallResult Result) {
      CHECK(Result.m_CallOutcome == HttpCallOutcome::Answered);
      ++Done;
    });
  };
  for (const int Opened : {1, 2, 3}) {
    Call("1");
    runUntil(Loop, [&] { return Done == Opened; });
    CHECK(Client.connectionsOpened() == static_cast<std::uint64_t>(Opened));
  }
  Call("2");
  Call("3");
  runUntil(Loop, [&] { return Done == 5; });
  CHECK(Client.connectionsOpened() == 3);
}

TEST_CASE("a connection is closed after its maximum number of ids") {
  RawServer Server([](const std::string &Request, int) {
    return makeAnswer(idOf(Request), "x");
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()),
                    {.m_MaxIdsPerConnection = 3});
  int Done = 0;
  std::function<void()> Next = [&] {
    Client.call(makeCall(std::to_string(Done)), [&](HttpCallResult) {
      if (++Done < 7)
        Next();
    });
  };
  Next();
  runUntil(Loop, [&] { return Done == 7; });
  CHECK(Client.connectionsOpened() == 3);
}

TEST_CASE("connections are reused, except after Connection: close") {
  bool Close = false;
  RawServer Server([&](const std::string &Request, int) {
    RawReply Reply = makeAnswer(idOf(Request), "x");
    if (Close)
      Reply = {.m_Bytes = "HTTP/1.1 200 OK\r\nX-Id: " + idOf(Request) +
                          "\r\nConnection: close\r\n"
                          "Content-Length: 0\r\n\r\n"};
    return Reply;
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  int RemainingCalls = 4;
  std::function<void()> Next = [&] {
    Close = RemainingCalls == 3;
    Client.call(makeCall(std::to_string(RemainingCalls)), [&](HttpCallResult) {
      if (--RemainingCalls > 0)
        Next();
    });
  };
  Next();
  runUntil(Loop, [&] { return RemainingCalls == 0; });
  CHECK(Client.connectionsOpened() == 2);
}

TEST_CASE("a call does not use a connection that was idle longer than its "
          "m_MaxIdle") {
  RawServer Server([](const std::string &Request, int) {
    return makeAnswer(idOf(Request), "x");
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  int Done = 0;
  const auto Count = [&](HttpCallResult) { ++Done; };
  Client.call(makeCall("1"), Count);
  runUntil(Loop, [&] { return Done == 1; });
  const TimePoint FirstIdleEnd = bootNow() + 100ms;
  runUntil(Loop, [&] { return bootNow() > FirstIdleEnd; });
  Client.call(makeCall("2"), Count);
  runUntil(Loop, [&] { return Done == 2; });
  CHECK(Client.connectionsOpened() == 1);
  const TimePoint SecondIdleEnd = bootNow() + 100ms;
  runUntil(Loop, [&] { return bootNow() > SecondIdleEnd; });
  HttpCall Limited = makeCall("3");
  Limited.m_MaxIdle = 50ms;
  Client.call(std::move(Limited), Count);
  runUntil(Loop, [&] { return Done == 3; });
  CHECK(Client.connectionsOpened() == 2);
}

TEST_CASE("a time-out also closes the idle connections") {
  int Requests = 0;
  RawServer Server([&](const std::string &Request, int) {
    ++Requests;
    return Requests == 3 ? RawReply{.m_Silent = true}
                         : makeAnswer(idOf(Request), "x");
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  int Done = 0;
  const auto Count = [&](HttpCallResult) { ++Done; };
  Client.call(makeCall("1"), Count);
  Client.call(makeCall("2"), Count);
  runUntil(Loop, [&] { return Done == 2; });
  CHECK(Client.connectionsOpened() == 2);
  Client.call(makeCall("3", 200ms), Count);
  runUntil(Loop, [&] { return Done == 3; });
  Client.call(makeCall("4"), Count);
  runUntil(Loop, [&] { return Done == 4; });
  CHECK(Client.connectionsOpened() == 3);
}

TEST_CASE("calls wait in the queue while all connections are busy") {
  RawServer Server([](const std::string &Request, int) {
    return makeAnswer(idOf(Request), "x");
  });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()),
                    {.m_MaxConnections = 1});
  int Done = 0;
  for (int Count = 0; Count < 5; ++Count)
    Client.call(makeCall(std::to_string(Count)), [&](HttpCallResult Result) {
      CHECK(Result.m_CallOutcome == HttpCallOutcome::Answered);
      ++Done;
    });
  runUntil(Loop, [&] { return Done == 5; });
  CHECK(Client.connectionsOpened() == 1);
}

TEST_CASE(
    "reset() ends calls in progress as Broken and queued calls as NotSent") {
  RawServer Server(
      [](const std::string &, int) { return RawReply{.m_Silent = true}; });
  EventLoop Loop({});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()),
                    {.m_MaxConnections = 1});
  std::vector<HttpCallOutcome> Ends;
  for (int Count = 0; Count < 3; ++Count)
    Client.call(makeCall("1"), [&](const HttpCallResult &Result) {
      Ends.push_back(Result.m_CallOutcome);
    });
  runUntil(Loop, [&] { return !Server.requests().empty(); });
  Client.reset();
  CHECK(Ends == std::vector{HttpCallOutcome::Broken, HttpCallOutcome::NotSent,
                            HttpCallOutcome::NotSent});
}

namespace {

const std::string Get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("a caller that disconnects before its answer is reported at once") {
  ServerRig Rig;
  Rig.listen();
  Rig.connect(Get);
  bool Disconnected = false;
  bool Registered = false;
  runUntil(Rig.m_Loop, [&] {
    if (!Registered && Rig.m_Exchanges.size() == 1) {
      Registered = true;
      Rig.m_Exchanges[0]->onCallerDisconnected([&] { Disconnected = true; });
      Rig.m_Client->close();
    }
    return Disconnected;
  });
  CHECK(Rig.m_Exchanges[0]->isClosed());
}

TEST_CASE("slow headers are answered with 408, idle connections are closed") {
  ServerRig Rig({.m_HeaderTimeout = 200ms, .m_IdleTimeout = 200ms});
  Rig.listen();
  SUBCASE("slow headers") {
    Rig.connect("GET / HT");
    runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
    CHECK(Rig.m_Received.starts_with("HTTP/1.1 408"));
  }
  SUBCASE("idle") {
    Rig.connect("");
    runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
    CHECK(Rig.m_Received.empty());
  }
}

TEST_CASE(
    "at the limit a new connection evicts the one idle for the longest time") {
  // Callers keep connections open that they hardly use; at the limit, callers
  // with a request must not be rejected in their favour.
  EventLoop Loop({});
  HttpServer Server(Loop, {.m_MaxConnections = 4}, [](const auto &Exchange) {
    Exchange->answer({.m_Status = 200});
  });
  const Endpoint Address = *Endpoint::fromText(freeAddress());
  REQUIRE(Server.listen(Address));
  struct Caller {
    std::unique_ptr<Stream> m_Stream;
    bool m_Ended = false;
    bool m_Answered = false;
  };
  std::vector<std::unique_ptr<Caller>> Callers;
  for (std::size_t Count = 1; Count <= 6; ++Count) {
    Callers.push_back(std::make_unique<Caller>());
    Caller &Current = *Callers.back();
    Current.m_Stream = std::make_unique<Stream>(Loop);
    Current.m_Stream->setEvents(
        {.m_OnOpen =
             [&Current] {
               Current.m_Stream->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
             },
         .m_OnData =
             [&Current](std::string_view) { Current.m_Answered = true; },
         .m_OnEnd = [&Current](StreamEndReason) { Current.m_Ended = true; }});
    REQUIRE(Current.m_Stream->connect(Address));
    runUntil(Loop, [&] { return Current.m_Answered || Current.m_Ended; });
    CHECK(Current.m_Answered);
    CHECK(Server.connections() <= 4);
  }
  runUntil(Loop, [&] { return Callers[0]->m_Ended && Callers[1]->m_Ended; });
  CHECK_FALSE(Callers[5]->m_Ended);
}

TEST_CASE("request smuggling is answered with 400 and no request reaches the "
          "handler") {
  ServerRig Rig;
  Rig.listen();
  Rig.connect("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
              Get);
  runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
  CHECK(Rig.m_Received.starts_with("HTTP/1.1 400"));
  CHECK(Rig.m_Exchanges.empty());
}
