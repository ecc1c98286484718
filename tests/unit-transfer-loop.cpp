// Tests the transfer loop: complete, truncated, late and cancelled transfers,
// and that no request is sent twice.
#include "adapters/http_client/transfer_loop.h"
#include "runtime/boot_clock.h"
#include "support/invalid_heads.h"
#include "support/raw_server.h"
#include "support/streaming_server.h"

#include <doctest/doctest.h>

#include <future>

using namespace balsamwheel;
using namespace balsamwheel::http_client;
using namespace balsamwheel::tests;

namespace {

constexpr auto TestTimeout = std::chrono::seconds(10);

/// Submits a transfer and waits for its end.
TransferResult perform(TransferLoop &Loop, Transfer Outgoing) {
  auto Promise = std::make_shared<std::promise<TransferResult>>();
  auto Future = Promise->get_future();
  Outgoing.m_OnEnd = [Promise](TransferResult Result) {
    Promise->set_value(std::move(Result));
  };
  Loop.submit(std::move(Outgoing));
  REQUIRE(Future.wait_for(TestTimeout) == std::future_status::ready);
  return Future.get();
}

Transfer makeTransfer(const std::string &Method, const std::string &Address,
                      std::string Body = {}) {
  Transfer Outgoing;
  Outgoing.m_Method = Method;
  Outgoing.m_Url = "http://" + Address + "/path";
  Outgoing.m_Body = std::move(Body);
  Outgoing.m_BodyLength = Outgoing.m_Body.size();
  Outgoing.m_Deadline = runtime::bootNow() + std::chrono::seconds(5);
  return Outgoing;
}

} // namespace

TEST_CASE("a complete answer is reported with status and hash") {
  RawServer Server([](const std::string &, int) {
    return RawReply{httpAnswer("201 Created", "hello", "X-A: b\r\n")};
  });
  TransferLoop Loop({});
  Transfer Outgoing = makeTransfer("POST", Server.address(), "body");
  Outgoing.m_Headers = {"X-Test: 1"};
  Outgoing.m_DeadlineHeader = "Left";
  const TransferResult Result = perform(Loop, std::move(Outgoing));

  CHECK(Result.m_End == TransferEnd::Answered);
  CHECK(Result.m_Answer.m_Status == 201);
  CHECK(Result.m_Answer.m_Body == "hello");
  CHECK(Result.m_Answer.m_BodyHash == runtime::bodyHash("hello"));
  REQUIRE(Server.requests().size() == 1);
  const std::string Sent = Server.requests().front();
  CHECK(Sent.starts_with("POST /path HTTP/1.1\r\n"));
  CHECK(Sent.find("X-Test: 1\r\n") != std::string::npos);
  CHECK(Sent.find("Left: ") != std::string::npos);
  CHECK(Sent.find("Expect") == std::string::npos);
  CHECK(Sent.ends_with("\r\n\r\nbody"));
}

TEST_CASE("a request is not retried when its connection is closed") {
  // The server answers the first request on a connection and closes the
  // connection without a byte on the second one, which libcurl by itself would
  // retry on a new connection.
  for (const std::string Method : {"GET", "POST", "DELETE"}) {
    std::vector<int> Served(100, 0);
    RawServer Server([&Served](const std::string &, int Connection) {
      if (Served.at(static_cast<std::size_t>(Connection))++ > 0)
        return RawReply{.m_Bytes = {}, .m_Close = true};
      return RawReply{httpAnswer("200 OK", "x")};
    });
    TransferLoop Loop({});
    REQUIRE(perform(Loop, makeTransfer(Method, Server.address())).m_End ==
            TransferEnd::Answered);
    const TransferResult Second =
        perform(Loop, makeTransfer(Method, Server.address()));
    CHECK(Second.m_End == TransferEnd::Broken);
    CHECK(Server.requests().size() == 2);
    CHECK(perform(Loop, makeTransfer(Method, Server.address())).m_End ==
          TransferEnd::Answered);
    CHECK(Server.requests().size() == 3);
  }
}

TEST_CASE("a refused connection ends as not sent") {
  std::string ClosedAddress;
  {
    RawServer Server([](const std::string &, int) { return RawReply{}; });
    ClosedAddress = Server.address();
  }
  TransferLoop Loop({});
  CHECK(perform(Loop, makeTransfer("POST", ClosedAddress, "x")).m_End ==
        TransferEnd::NotSent);
}

TEST_CASE("a request whose deadline has passed is not sent") {
  RawServer Server([](const std::string &, int) {
    return RawReply{httpAnswer("200 OK", "x")};
  });
  TransferLoop Loop({});
  Transfer Outgoing = makeTransfer("GET", Server.address());
  Outgoing.m_Deadline = runtime::bootNow() - Duration(1);
  CHECK(perform(Loop, std::move(Outgoing)).m_End == TransferEnd::NotSent);
  CHECK(Server.requests().empty());
}

TEST_CASE("a server that does not answer by the deadline is a time-out") {
  RawServer Server([](const std::string &, int) {
    return RawReply{.m_Bytes = {}, .m_Silent = true};
  });
  TransferLoop Loop({});
  Transfer Outgoing = makeTransfer("GET", Server.address());
  Outgoing.m_Deadline = runtime::bootNow() + std::chrono::milliseconds(200);
  CHECK(perform(Loop, std::move(Outgoing)).m_End == TransferEnd::TimedOut);
}

TEST_CASE("a truncated answer ends as broken") {
  RawServer Server([](const std::string &, int) {
    return RawReply{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true};
  });
  TransferLoop Loop({});
  CHECK(perform(Loop, makeTransfer("GET", Server.address())).m_End ==
        TransferEnd::Broken);
}

TEST_CASE("a cancelled transfer is reported as cancelled") {
  RawServer Server([](const std::string &, int) {
    return RawReply{.m_Bytes = {}, .m_Silent = true};
  });
  TransferLoop Loop({});
  Transfer Outgoing = makeTransfer("GET", Server.address());
  Outgoing.m_Id = TransferId(7);
  std::promise<TransferEnd> End;
  auto Future = End.get_future();
  Outgoing.m_OnEnd = [&End](const TransferResult &Result) {
    End.set_value(Result.m_End);
  };
  Loop.submit(std::move(Outgoing));
  while (Server.requests().empty())
    std::this_thread::yield();
  Loop.cancel(TransferId(7));
  REQUIRE(Future.wait_for(TestTimeout) == std::future_status::ready);
  CHECK(Future.get() == TransferEnd::Cancelled);
}

TEST_CASE("a long answer is streamed through a bounded pipe") {
  const std::string Body(3'000'000, 'z');
  RawServer Server([&Body](const std::string &, int) {
    return RawReply{httpAnswer("200 OK", Body)};
  });
  runtime::BodyPipePtr Pipe;
  std::string Prefix;
  std::promise<void> Answering;
  Transfer Outgoing = makeTransfer("GET", Server.address());
  Outgoing.m_MakePipe = [&](std::string_view First,
                            std::optional<std::uint64_t> Length) {
    runtime::BodyPipeOptions Options;
    Options.m_Id = 5;
    Options.m_Prefix = First;
    Options.m_Length = Length;
    Pipe = std::make_shared<runtime::BodyPipe>(Options);
    return Pipe;
  };
  Outgoing.m_OnAnswerHead = [&](HttpAnswer Head) {
    CHECK(Head.m_Status == 200);
    CHECK(Head.m_BodyLength == Body.size());
    CHECK(Head.m_BodyStream == 5);
    Prefix = Head.m_Body;
    Answering.set_value();
  };
  std::promise<TransferResult> End;
  Outgoing.m_OnEnd = [&End](TransferResult Result) {
    End.set_value(std::move(Result));
  };
  TransferLoop Loop({});
  Loop.submit(std::move(Outgoing));
  REQUIRE(Answering.get_future().wait_for(TestTimeout) ==
          std::future_status::ready);
  CHECK(Prefix.size() <= InlineBodyLimit);

  std::string Received = Prefix;
  while (Pipe->state() == runtime::PipeState::Open) {
    const std::string Part = Pipe->take(100'000);
    CHECK(Part.size() <= runtime::DefaultPipeCapacity);
    Received += Part;
    std::this_thread::yield();
  }
  CHECK(Pipe->state() == runtime::PipeState::Ended);
  CHECK(Received == Body);
  CHECK(End.get_future().get().m_End == TransferEnd::Answered);
}

TEST_CASE("a long request body is streamed from a pipe") {
  const std::string Body(1'000'000, 'u');
  RawServer Server([](const std::string &, int) {
    return RawReply{httpAnswer("200 OK", "ok")};
  });
  Transfer Outgoing = makeTransfer("PUT", Server.address());
  Outgoing.m_Body = Body.substr(0, 1000);
  Outgoing.m_BodyLength = Body.size();
  runtime::BodyPipeOptions Options;
  Options.m_Prefix = Outgoing.m_Body;
  Options.m_Length = Body.size();
  auto Pipe = std::make_shared<runtime::BodyPipe>(Options);
  Outgoing.m_Upload = Pipe;
  std::thread Writer([&] {
    for (std::size_t Offset = 1000; Offset < Body.size();) {
      const std::size_t Part =
          std::min<std::size_t>(50'000, Body.size() - Offset);
      if (Pipe->tryWrite(std::string_view(Body).substr(Offset, Part)))
        Offset += Part;
      else
        std::this_thread::yield();
    }
    Pipe->finish();
  });
  TransferLoop Loop({});
  const TransferResult Result = perform(Loop, std::move(Outgoing));
  Writer.join();
  CHECK(Result.m_End == TransferEnd::Answered);
  REQUIRE(Server.requests().size() == 1);
  CHECK(Server.requests().front().ends_with("\r\n\r\n" + Body));
}

namespace {

/// How a transfer ends whose server sends \p Bytes and keeps its connection
/// open.
TransferResult performAnswered(const std::string &Bytes) {
  RawServer Server([&](const std::string &, int) { return RawReply{Bytes}; });
  TransferLoop Loop({});
  return perform(Loop, makeTransfer("GET", Server.address()));
}

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Length = "Content-Length: 5\r\n";

} // namespace

TEST_CASE("an answer that was reset during the upload counted as complete") {
  for (const std::string &Bytes :
       {std::string(), Ok + "\r\n", Ok + "\r\nhello",
        Ok + "Content-Length: 12\r\n\r\nhello",
        Ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"}) {
    CAPTURE(Bytes);
    RawServer Server(
        [&](const std::string &, int) {
          return RawReply{.m_Bytes = Bytes, .m_Reset = true};
        },
        AnswerAt::HeadersEnd);
    TransferLoop Loop({});
    CHECK(perform(Loop, makeTransfer("POST", Server.address(),
                                     std::string(std::size_t{16} << 20, 'x')))
              .m_End == TransferEnd::Broken);
  }
}

TEST_CASE("an answer with an invalid status was passed on or waited on") {
  for (const std::string &Each : InvalidStatuses) {
    CAPTURE(Each);
    const std::string Line = "HTTP/1.1 " + Each + "\r\n";
    const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string &Before : {std::string(), Interim})
      CHECK(performAnswered(Before + Line + Length + "\r\nhello").m_End ==
            TransferEnd::Broken);
  }
  CHECK(performAnswered("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 599 X\r\n" +
                        Length + "\r\nhello")
            .m_Answer.m_Status == 599);
}

TEST_CASE("an answer with an invalid field line was passed on") {
  for (const std::string &Each : InvalidFieldLines) {
    CAPTURE(Each);
    for (const std::string &Other : {std::string(), Length})
      CHECK(performAnswered(Ok + Other + Each + "\r\n\r\nhello").m_End ==
            TransferEnd::Broken);
    CHECK(performAnswered(Ok + Each + "\r\n" + Length + "\r\nhello").m_End ==
          TransferEnd::Broken);
  }
}

TEST_CASE("an answer with another transfer coding than chunked was passed on") {
  const std::string Chunked = "\r\n5\r\nhello\r\n0\r\n\r\n";
  for (const std::string &Each : InvalidCodings) {
    const std::string Coding = "Transfer-Encoding: " + Each + "\r\n";
    for (const std::string &Fields :
         {Coding, Coding + Length, Length + Coding}) {
      CAPTURE(Fields);
      CHECK(performAnswered(Ok + Fields + Chunked).m_End ==
            TransferEnd::Broken);
    }
  }
  CHECK(performAnswered(Ok + "Transfer-Encoding: Chunked\r\n" + Chunked)
            .m_Answer.m_Body == "hello");
}

TEST_CASE("an answer with an invalid length was passed on") {
  for (const std::string &Each : InvalidLengths) {
    CAPTURE(Each);
    CHECK(performAnswered(Ok + "Content-Length: " + Each + "\r\n\r\nhello")
              .m_End == TransferEnd::Broken);
  }
}

TEST_CASE("bytes without end were kept until the deadline") {
  std::string Head = Ok;
  std::string Repeated(4096, 'a');
  SUBCASE("in a field") { Head += "X: "; }
  SUBCASE("in the body") { Head += "\r\n"; }
  SUBCASE("in fields") { Repeated = "X: " + std::string(1000, 'a') + "\r\n"; }
  SUBCASE("as interim answers") {
    Head.clear();
    Repeated = "HTTP/1.1 100 Continue\r\n\r\n";
  }
  SUBCASE("in chunks") {
    Head += "Transfer-Encoding: chunked\r\n\r\n";
    Repeated = "1000\r\n" + Repeated + "\r\n";
  }
  SUBCASE("in trailers") {
    Head += "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    Repeated = "X: " + std::string(1000, 'a') + "\r\n";
  }
  StreamingServer Server(Head, Repeated);
  TransferLoop Loop({});
  CHECK(perform(Loop, makeTransfer("GET", Server.address())).m_End ==
        TransferEnd::Broken);
  Server.join();
  // The limit, and what the kernel's buffers take.
  CHECK(Server.bytesSent() < (std::size_t{48} << 20));
}
