// Tests the HTTP server for callers: answers, refusals, streamed bodies and
// truncated answers.
#include "adapters/caller_http/caller_server.h"
#include "adapters/http_client/transfer_loop.h"
#include "runtime/boot_clock.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <future>

using namespace balsamwheel;
using namespace balsamwheel::caller_http;
using namespace balsamwheel::http_client;

namespace {

Config makeConfig() {
  RequestClass Class;
  Class.m_Name = ClassName("read");
  Class.m_Deadline = std::chrono::seconds(10);
  Service Documents;
  Documents.m_Name = ServiceName("documents");
  Documents.m_MaxBodyBytes = 10'000'000;
  Documents.m_Classes = {Class};
  Config Result;
  Result.m_Manifest.m_Services = {Documents};
  return Result;
}

/// A server whose requests are handled by a function of the test.
class Fixture {
public:
  /// Runs on the server's thread.
  using Handler = std::function<void(CallerServer &, IncomingRequest)>;

  explicit Fixture(Handler Handle)
      : m_Handle(std::move(Handle)),
        m_Server({.m_Listen = "127.0.0.1:0"}, handlers()), m_Loop({}) {
    REQUIRE_FALSE(m_Server.start());
  }

  TransferResult call(Transfer Outgoing) {
    Outgoing.m_Url = "http://127.0.0.1:" + std::to_string(m_Server.port()) +
                     (Outgoing.m_Url.empty() ? "/documents/1" : Outgoing.m_Url);
    Outgoing.m_Deadline = runtime::bootNow() + std::chrono::seconds(10);
    auto Promise = std::make_shared<std::promise<TransferResult>>();
    auto Future = Promise->get_future();
    Outgoing.m_OnEnd = [Promise](TransferResult Result) {
      Promise->set_value(std::move(Result));
    };
    m_Loop.submit(std::move(Outgoing));
    REQUIRE(Future.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
    return Future.get();
  }

  TransferResult get(const std::string &Path) {
    Transfer Outgoing;
    Outgoing.m_Url = Path;
    return call(std::move(Outgoing));
  }

  runtime::BodyPipePtr makePipe(std::string_view Prefix,
                                std::optional<std::uint64_t> Length) {
    runtime::BodyPipeOptions Options;
    Options.m_Id = 77;
    Options.m_Prefix = Prefix;
    Options.m_Length = Length;
    m_Pipe = std::make_shared<runtime::BodyPipe>(Options);
    return m_Pipe;
  }

  CallerHandlers handlers() {
    return {
        .m_Config = [] { return std::make_shared<const Config>(makeConfig()); },
        .m_OnRequest =
            [this](IncomingRequest &Request) {
              ++m_RequestCount;
              if (!m_Handle)
                return false;
              m_Handle(m_Server, std::move(Request));
              return true;
            },
        .m_OnCallerDisconnected = [this](RequestHandle) { ++m_Disconnects; },
        .m_MakePipe =
            [this](std::string_view Prefix,
                   std::optional<std::uint64_t> Length) {
              return makePipe(Prefix, Length);
            },
        .m_OnRefused = {}};
  }

  Handler m_Handle;
  std::atomic<int> m_RequestCount{0};
  std::atomic<int> m_Disconnects{0};
  runtime::BodyPipePtr m_Pipe;
  CallerServer m_Server;
  TransferLoop m_Loop;
};

AnswerCaller makeAnswer(RequestHandle Request, std::string Body) {
  AnswerCaller Answer;
  Answer.m_Request = Request;
  Answer.m_Outcome = Outcome::Done;
  Answer.m_OwnerHint = "127.0.0.1:9";
  Answer.m_Http.m_Status = 201;
  Answer.m_Http.m_Headers = {{"X-Test", "1"}, {"Connection", "close"}};
  Answer.m_Http.m_BodyLength = Body.size();
  Answer.m_Http.m_Body = std::move(Body);
  return Answer;
}

std::string headerOf(const TransferResult &Result, std::string_view Name) {
  for (const auto &[Key, Value] : Result.m_Answer.m_Headers)
    if (Key == Name)
      return Value;
  return {};
}

/// Writes \p Size bytes to a pipe on a new thread, then finishes the pipe, or
/// fails it if \p Truncated is set.
std::thread writeBody(runtime::BodyPipePtr Pipe, std::size_t Size,
                      bool Truncated) {
  return std::thread([Pipe, Size, Truncated] {
    const std::string Part(50'000, 'p');
    for (std::size_t Offset = 0; Offset < Size;) {
      if (Pipe->tryWrite(std::string_view(Part).substr(0, Size - Offset)))
        Offset += std::min(Part.size(), Size - Offset);
      else
        std::this_thread::yield();
    }
    if (Truncated)
      Pipe->fail();
    else
      Pipe->finish();
  });
}

} // namespace

TEST_CASE("an answer is sent with status, headers, owner and request id") {
  Fixture Setup([](CallerServer &Server, IncomingRequest Request) {
    CHECK(Request.m_Http.m_Method == "POST");
    CHECK(Request.m_Http.m_Path == "/documents/a%20b?x=1");
    CHECK(Request.m_Http.m_Body == "body");
    Server.answer(makeAnswer(Request.m_Handle, "hello"), nullptr);
  });
  Transfer Outgoing;
  Outgoing.m_Method = "POST";
  Outgoing.m_Url = "/documents/a%20b?x=1";
  Outgoing.m_Body = "body";
  Outgoing.m_Headers = {"Balsamwheel-Request-Id: mine"};
  const TransferResult Result = Setup.call(std::move(Outgoing));
  CHECK(Result.m_Answer.m_Status == 201);
  CHECK(Result.m_Answer.m_Body == "hello");
  CHECK(headerOf(Result, "X-Test") == "1");
  CHECK(headerOf(Result, "Balsamwheel-Outcome") == "done");
  CHECK(headerOf(Result, "Balsamwheel-Owner") == "127.0.0.1:9");
  CHECK(headerOf(Result, "Balsamwheel-Request-Id") == "mine");
  CHECK(headerOf(Result, "Connection").empty());
}

TEST_CASE("an answer from another thread resumes the connection") {
  std::thread AnsweringThread;
  Fixture Setup(
      [&AnsweringThread](CallerServer &Server, IncomingRequest Request) {
        AnsweringThread = std::thread([&Server, Handle = Request.m_Handle] {
          std::this_thread::sleep_for(std::chrono::milliseconds(30));
          Server.answer(makeAnswer(Handle, "late"), nullptr);
        });
      });
  CHECK(Setup.get("/documents/1").m_Answer.m_Body == "late");
  AnsweringThread.join();
}

TEST_CASE("outcomes other than done are sent as JSON with the retry time") {
  Fixture Setup([](CallerServer &Server, IncomingRequest Request) {
    AnswerCaller Answer;
    Answer.m_Request = Request.m_Handle;
    Answer.m_Outcome = Request.m_Http.m_Path == "/documents/lost"
                           ? Outcome::Unknown
                           : Outcome::Wait;
    Answer.m_Reason = Reason::Overloaded;
    Answer.m_RetryAfter = std::chrono::milliseconds(1200);
    Server.answer(std::move(Answer), nullptr);
  });
  const TransferResult Wait = Setup.get("/documents/1");
  CHECK(Wait.m_Answer.m_Status == 503);
  CHECK(headerOf(Wait, "Retry-After") == "2");
  const auto Body = nlohmann::json::parse(Wait.m_Answer.m_Body);
  CHECK(Body["outcome"] == "wait");
  CHECK(Body["reason"] == "overloaded");
  CHECK(Body["retry_after_ms"] == 1200);
  CHECK(Body["request_id"] == headerOf(Wait, "Balsamwheel-Request-Id"));
  CHECK(Setup.get("/documents/lost").m_Answer.m_Status == 504);
}

TEST_CASE("invalid requests are refused and the connection stays usable") {
  Fixture Setup([](CallerServer &Server, IncomingRequest Request) {
    Server.answer(makeAnswer(Request.m_Handle, "ok"), nullptr);
  });
  const TransferResult Unknown = Setup.get("/nothing/1");
  CHECK(Unknown.m_Answer.m_Status == 404);
  CHECK(headerOf(Unknown, "Connection").empty());
  Transfer Large;
  Large.m_Method = "POST";
  Large.m_Body = std::string(10'000'001, 'x');
  CHECK(Setup.call(std::move(Large)).m_Answer.m_Status == 413);
  Transfer Headers;
  Headers.m_Headers = {"X-Long: " + std::string(100'000, 'h')};
  const auto Status = Setup.call(std::move(Headers)).m_Answer.m_Status;
  CHECK((Status == 413 || Status == 414 || Status == 431));
  CHECK(Setup.m_RequestCount == 0);
  CHECK(Setup.get("/documents/1").m_Answer.m_Status == 201);
}

TEST_CASE("a request that the node has no room for gets the outcome wait") {
  Fixture Setup({});
  const TransferResult Result = Setup.get("/documents/1");
  CHECK(Result.m_Answer.m_Status == 503);
  CHECK(headerOf(Result, "Balsamwheel-Outcome") == "wait");
}

TEST_CASE("a long answer is streamed completely, a truncated one is aborted") {
  constexpr std::size_t Size = 2'000'000;
  for (const bool Truncated : {false, true}) {
    std::thread Writer;
    Fixture Setup({});
    Setup.m_Handle = [&](CallerServer &Server, IncomingRequest Request) {
      AnswerCaller Answer = makeAnswer(Request.m_Handle, "ab");
      Answer.m_Http.m_BodyLength = Size + 2;
      Answer.m_Http.m_BodyStream = 77;
      auto Pipe = Setup.makePipe("ab", Size + 2);
      Writer = writeBody(Pipe, Truncated ? Size / 2 : Size, Truncated);
      Server.answer(std::move(Answer), Pipe);
    };
    const TransferResult Result = Setup.get("/documents/1");
    Writer.join();
    if (Truncated) {
      CHECK(Result.m_End == TransferEnd::Broken);
      continue;
    }
    CHECK(Result.m_End == TransferEnd::Answered);
    CHECK(Result.m_Answer.m_Body == "ab" + std::string(Size, 'p'));
  }
}

TEST_CASE(
    "an answer without the pipe for its remainder aborts the connection") {
  Fixture Setup([](CallerServer &Server, IncomingRequest Request) {
    AnswerCaller Answer = makeAnswer(Request.m_Handle, "ab");
    Answer.m_Http.m_BodyLength = 100'000;
    Answer.m_Http.m_BodyStream = 5;
    Server.answer(std::move(Answer), nullptr);
  });
  CHECK(Setup.get("/documents/1").m_End == TransferEnd::Broken);
}

TEST_CASE("a long request body is passed on early and streamed") {
  std::promise<std::string> Received;
  std::thread Reader;
  Fixture Setup({});
  Setup.m_Handle = [&](CallerServer &Server, IncomingRequest Request) {
    CHECK(Request.m_Http.m_Body.size() <= InlineBodyLimit);
    CHECK(Request.m_Http.m_BodyLength == 3'000'000);
    CHECK(Request.m_Http.m_BodyStream == 77);
    Reader = std::thread(
        [&, Body = Request.m_Http.m_Body, Handle = Request.m_Handle]() mutable {
          while (Setup.m_Pipe->state() == runtime::PipeState::Open) {
            Body += Setup.m_Pipe->take(100'000);
            std::this_thread::yield();
          }
          Received.set_value(std::move(Body));
          Server.answer(makeAnswer(Handle, "stored"), nullptr);
        });
  };
  Transfer Outgoing;
  Outgoing.m_Method = "PUT";
  Outgoing.m_Body = std::string(3'000'000, 'u');
  const TransferResult Result = Setup.call(std::move(Outgoing));
  Reader.join();
  CHECK(Result.m_Answer.m_Body == "stored");
  CHECK(Received.get_future().get() == std::string(3'000'000, 'u'));
}

TEST_CASE("an answer before the end of an upload is received") {
  Fixture Setup([](CallerServer &Server, IncomingRequest Request) {
    AnswerCaller Answer;
    Answer.m_Request = Request.m_Handle;
    Answer.m_Outcome = Outcome::NotRun;
    Answer.m_Reason = Reason::Overloaded;
    Server.answer(std::move(Answer), nullptr);
  });
  Transfer Outgoing;
  Outgoing.m_Method = "PUT";
  Outgoing.m_Body = std::string(3'000'000, 'u');
  const TransferResult Result = Setup.call(std::move(Outgoing));
  CHECK(Result.m_Answer.m_Status == 503);
  CHECK(Setup.m_RequestCount == 1);
}

TEST_CASE("stopping aborts waiting requests") {
  std::promise<void> Arrived;
  Fixture Setup([&Arrived](CallerServer &, const IncomingRequest &) {
    Arrived.set_value();
  });
  std::thread Stopper([&] {
    Arrived.get_future().wait();
    Setup.m_Server.stop();
  });
  CHECK(Setup.get("/documents/1").m_End == TransferEnd::Broken);
  Stopper.join();
}

namespace {

/// What a caller has received when its connection has ended.
struct RawAnswer {
  std::string m_Bytes;
  bool m_Reset = false;
};

RawAnswer callRaw(std::uint16_t Port, const std::string &Request) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const timeval Timeout{.tv_sec = 10, .tv_usec = 0};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
  REQUIRE(connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof Address) == 0);
  REQUIRE(send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Request.size()));
  RawAnswer Result;
  char Buffer[4096];
  ssize_t Count = 0;
  while ((Count = recv(Socket, Buffer, sizeof Buffer, 0)) > 0)
    Result.m_Bytes.append(Buffer, static_cast<std::size_t>(Count));
  Result.m_Reset = Count < 0 && errno == ECONNRESET;
  CHECK((Count == 0 || Result.m_Reset));
  close(Socket);
  return Result;
}

} // namespace

TEST_CASE("a request in another transfer coding got no answer") {
  Fixture Setup([](CallerServer &Server, const IncomingRequest &Request) {
    Server.answer(makeAnswer(Request.m_Handle, "x"), nullptr);
  });
  for (const std::string Coding : {"gzip", "xchunked", "gzip, chunked"}) {
    CAPTURE(Coding);
    const RawAnswer Answer = callRaw(
        Setup.m_Server.port(),
        "POST /documents/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " +
            Coding + "\r\n\r\nGET /documents/2 HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(Answer.m_Bytes.starts_with("HTTP/1.1 400 "));
  }
  CHECK(Setup.m_RequestCount == 0);
}

TEST_CASE("a truncated answer without a length looked complete to a caller of "
          "HTTP/1.0") {
  for (const bool Truncated : {false, true}) {
    std::thread Writer;
    Fixture Setup([&](CallerServer &Server, const IncomingRequest &Request) {
      AnswerCaller Answer = makeAnswer(Request.m_Handle, "begin");
      Answer.m_Http.m_BodyStream = 77;
      Answer.m_Http.m_BodyLength = 0;
      runtime::BodyPipeOptions Options;
      Options.m_Id = 77;
      Options.m_Prefix = "begin";
      auto Pipe = std::make_shared<runtime::BodyPipe>(Options);
      Server.answer(std::move(Answer), Pipe);
      Writer = writeBody(Pipe, 500'000, Truncated);
    });
    const RawAnswer Answer =
        callRaw(Setup.m_Server.port(), "GET /documents/1 HTTP/1.0\r\n\r\n");
    Writer.join();
    CAPTURE(Truncated);
    CHECK(Answer.m_Reset == Truncated);
  }
}
