// Answers whose head violates HTTP/1.1: none is passed on, taken for an interim
// answer, or waited on until the deadline.
#include "net/http_client.h"
#include "router_rig.h"
#include "support/http_server_rig.h"
#include "support/invalid_heads.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// How a call ends whose server sends \p Bytes and keeps its connection open.
HttpCallResult callAnswered(const std::string &Bytes) {
  RawServer Server(
      [&](const std::string &, int) { return RawReply{.m_Bytes = Bytes}; });
  EventLoop Loop({.m_MaxSleep = 5ms});
  HttpClient Client(Loop, *Endpoint::fromText(Server.address()), {});
  HttpCall Call{.m_Timeout = 5s, .m_IdHeader = "X-Id", .m_Id = "1"};
  Call.m_Request = {.m_Method = "GET", .m_Target = "/"};
  std::optional<HttpCallResult> Result;
  Client.call(std::move(Call),
              [&](HttpCallResult Done) { Result = std::move(Done); });
  runUntil(Loop, [&] { return Result.has_value(); });
  return std::move(*Result);
}

/// An answer with the given status line, without its version, and field lines.
std::string answerWith(const std::string &Status, const std::string &Fields,
                       const std::string &Rest = "\r\nhello") {
  return "HTTP/1.1 " + Status + "\r\nX-Id: 1\r\n" + Fields + Rest;
}

const std::string Length = "Content-Length: 5\r\n";
const std::string ChunkedBody = "\r\n5\r\nhello\r\n0\r\n\r\n";

} // namespace

TEST_CASE("an answer with an invalid status was passed on or waited on") {
  for (const std::string &Each : InvalidStatuses) {
    CAPTURE(Each);
    CHECK(callAnswered(answerWith(Each, Length)).m_CallOutcome ==
          HttpCallOutcome::Broken);
    const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK(callAnswered(Interim + answerWith(Each, Length)).m_CallOutcome ==
          HttpCallOutcome::Broken);
  }
}

TEST_CASE("answers with valid statuses and interim answers are read") {
  for (const char *Each : {"200 OK", "299 X", "404 Not Found", "599 X"}) {
    CAPTURE(Each);
    const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const HttpCallResult Result =
        callAnswered(Interim + answerWith(Each, Length));
    CHECK(Result.m_CallOutcome == HttpCallOutcome::Answered);
    CHECK(Result.m_Answer.m_Body == "hello");
  }
}

TEST_CASE("a caller got an answer with an invalid status") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Instance &B = Rig.add("b", "keyed");
  Rig.startServing();
  Rig.waitUntilServed(B, "/read/1");
  std::string Status;
  A.m_Target.m_Behaviour = [&](const std::string &Request) {
    return RawReply{.m_Bytes = "HTTP/1.1 " + Status + " X\r\nX-Request-Id: " +
                               headerOf(Request, "X-Request-Id: ") +
                               "\r\nX-Server-Signature: s\r\n"
                               "Content-Length: 2\r\n\r\nok"};
  };
  for (const char *Each : {"000", "099", "101", "600", "999"})
    for (Instance *Entrance : {&A, &B}) {
      CAPTURE(Each);
      Status = Each;
      // At the deadline the answer would be 504.
      CHECK(Rig.call(*Entrance, "/write/1", "POST").m_Status == 502);
    }
}

TEST_CASE("an answer with an invalid field line was passed on") {
  for (const std::string &Each : InvalidFieldLines) {
    CAPTURE(Each);
    for (const std::string &Other : {std::string(), Length}) {
      CAPTURE(Other);
      CHECK(callAnswered(answerWith("200 OK", Other + Each + "\r\n"))
                .m_CallOutcome == HttpCallOutcome::Broken);
    }
    CHECK(callAnswered("HTTP/1.1 200 OK\r\n" + Each + "\r\nX-Id: 1\r\n" +
                       Length + "\r\nhello")
              .m_CallOutcome == HttpCallOutcome::Broken);
  }
}

TEST_CASE("an answer with another transfer coding than chunked was passed on") {
  for (const std::string &Each : InvalidCodings) {
    CAPTURE(Each);
    const std::string Coding = "Transfer-Encoding: " + Each + "\r\n";
    for (const std::string &Fields :
         {Coding, Coding + Length, Length + Coding}) {
      CAPTURE(Fields);
      CHECK(callAnswered(answerWith("200 OK", Fields, ChunkedBody))
                .m_CallOutcome == HttpCallOutcome::Broken);
    }
  }
  CHECK(callAnswered("HTTP/1.0 200 OK\r\nX-Id: 1\r\n"
                     "Transfer-Encoding: chunked\r\n" +
                     ChunkedBody)
            .m_CallOutcome == HttpCallOutcome::Broken);
  CHECK(callAnswered(
            answerWith("200 OK", "transfer-encoding: Chunked\r\n", ChunkedBody))
            .m_Answer.m_Body == "hello");
}

TEST_CASE("an answer with an invalid length is not passed on") {
  for (const std::string &Each : InvalidLengths) {
    CAPTURE(Each);
    CHECK(callAnswered(answerWith("200 OK", "Content-Length: " + Each + "\r\n"))
              .m_CallOutcome == HttpCallOutcome::Broken);
  }
}

TEST_CASE("a request in another transfer coding hid a second one") {
  for (const char *Each :
       {"xchunked", "gzip", "gzip, chunked", "chunked, gzip", "identity",
        "chunked;q=1", "gzip\r\nTransfer-Encoding: chunked",
        "gzip\r\nContent-Length: 0", "x\r\nX: a\r\n b"}) {
    CAPTURE(Each);
    ServerRig Rig;
    Rig.listen();
    Rig.connect("POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " +
                std::string(Each) +
                "\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
    CHECK(Rig.m_Exchanges.empty());
    CHECK(Rig.m_Received.substr(9, 3) == "400");
  }
}

TEST_CASE("a request with an invalid field line is rejected") {
  for (const std::string &Each :
       {std::string("X Y: 1"), std::string("X : 1"), std::string("X\x01: 1"),
        std::string("X\xe9: 1"), std::string(": 1"), std::string("X"),
        std::string("X: a\rb"), std::string("X: a\0b", 6),
        std::string("X: a\r\n b"), std::string("Content-Length : 5"),
        std::string("X: a\r\n Content-Length: 5")}) {
    CAPTURE(Each);
    ServerRig Rig;
    Rig.listen();
    Rig.connect("POST / HTTP/1.1\r\nHost: h\r\n" + Each + "\r\n\r\n");
    runUntil(Rig.m_Loop, [&] { return Rig.m_Ended; });
    CHECK(Rig.m_Exchanges.empty());
    CHECK(Rig.m_Received.substr(9, 3) == "400");
  }
}
