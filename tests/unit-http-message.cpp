// Tests of HTTP messages: framing, limits, request smuggling, hop-by-hop
// headers.
#include "net/http_message.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace balsamwheel;

namespace {

ParseState feed(const std::string &Text, HttpRequest *Parsed = nullptr,
                std::string *Remaining = nullptr) {
  HttpRequestParser Parser({.m_MaxHeaderBytes = 512, .m_MaxBodyBytes = 64});
  std::string Buffer = Text;
  const ParseState State = Parser.feed(Buffer);
  if (State == ParseState::Complete && Parsed)
    *Parsed = Parser.take();
  if (Remaining)
    *Remaining = Buffer;
  return State;
}

} // namespace

TEST_CASE("a request parsed byte by byte leaves the bytes that follow it") {
  const std::string Text = "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3"
                           "\r\n\r\nxyzGET /next";
  HttpRequestParser Parser({});
  std::string Buffer;
  ParseState State = ParseState::NeedMore;
  std::size_t Read = 0;
  while (State == ParseState::NeedMore) {
    Buffer.push_back(Text[Read++]);
    State = Parser.feed(Buffer);
  }
  CHECK(State == ParseState::Complete);
  CHECK(Text.substr(Read) == "GET /next");
  const HttpRequest Request = Parser.take();
  CHECK(Request.m_Method == "POST");
  CHECK(Request.m_Target == "/a?b");
  CHECK(Request.m_Body == "xyz");
}

TEST_CASE("the chunks of a chunked body are concatenated") {
  HttpRequest Request;
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
             &Request) == ParseState::Complete);
  CHECK(Request.m_Body == "abcde");
}

TEST_CASE("requests with ambiguous framing (request smuggling) are rejected") {
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        ParseState::Malformed);
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
             "Content-Length: 4\r\n\r\n0\r\n\r\n") == ParseState::Malformed);
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
             "Content-Length: 5\r\n\r\nabcd") == ParseState::Malformed);
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd") ==
        ParseState::Malformed);
  CHECK(feed("POST / HTTP/1.1\r\nHost : h\r\n\r\n") == ParseState::Malformed);
  CHECK(feed("\x16\x03\x01 / HTTP/1.1\r\n\r\n") == ParseState::Malformed);
}

TEST_CASE("the limits on the sizes of headers and body are enforced") {
  CHECK(feed("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') +
             "\r\n\r\n") == ParseState::HeadersTooLarge);
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") ==
        ParseState::BodyTooLarge);
}

TEST_CASE("a body was larger than the limit if its head came with a part of "
          "it") {
  CHECK(feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\nabc") ==
        ParseState::BodyTooLarge);
  for (const std::size_t Length : {99, 100, 101}) {
    HttpAnswerParser Parser(
        {.m_MaxBodyBytes = 10, .m_MaxAnnouncedBodyBytes = 100}, false);
    std::string Buffer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Length) +
        "\r\n\r\n" + std::string(Length, 'x');
    CHECK(Parser.feed(Buffer) ==
          (Length > 100 ? ParseState::BodyTooLarge : ParseState::Complete));
  }
}

TEST_CASE("a body without a length has a limit of its own") {
  for (const std::size_t Length : {10, 11}) {
    const std::string Body(Length, 'x');
    for (const std::string &Rest :
         {"\r\n" + Body, "Transfer-Encoding: chunked\r\n\r\na\r\n" +
                             Body.substr(0, 10) + "\r\n" +
                             (Length > 10 ? "1\r\nx\r\n" : "")}) {
      HttpAnswerParser Parser(
          {.m_MaxBodyBytes = 10, .m_MaxAnnouncedBodyBytes = 100}, false);
      std::string Buffer = "HTTP/1.1 200 OK\r\n" + Rest;
      CHECK(Parser.feed(Buffer) ==
            (Length > 10 ? ParseState::BodyTooLarge : ParseState::NeedMore));
    }
  }
}

TEST_CASE("an orderly close completes an answer without a length") {
  HttpAnswerParser Parser({}, false);
  std::string Buffer = "HTTP/1.1 200 OK\r\n\r\npart";
  CHECK(Parser.feed(Buffer) == ParseState::NeedMore);
  CHECK(Parser.finish() == ParseState::Complete);
  CHECK(Parser.take().m_Body == "part");
}

TEST_CASE("a truncated answer is never complete") {
  for (const char *Text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 200"}) {
    HttpAnswerParser Parser({}, false);
    std::string Buffer = Text;
    CHECK(Parser.feed(Buffer) == ParseState::NeedMore);
    CHECK(Parser.finish() == ParseState::Malformed);
  }
}

TEST_CASE("hop-by-hop headers and those named by Connection are removed") {
  HttpHeaders Headers;
  Headers.add("connection", "close, X-Private");
  Headers.add("X-Private", "1");
  Headers.add("Keep-Alive", "timeout=5");
  Headers.add("Transfer-Encoding", "chunked");
  Headers.add("Content-Length", "5");
  Headers.add("X-Kept", "yes");
  Headers.removeHopByHop();
  REQUIRE(Headers.all().size() == 1);
  CHECK(Headers.get("x-kept") == "yes");
}

namespace {

/// Feeds \p Head and then \p Repeated without end, as a connection delivers it.
///
/// \returns the bytes that the parser took or kept before it gave up; none if
/// it had not after a mebibyte.
std::optional<std::size_t> bytesUntilRejected(const std::string &Head,
                                              const std::string &Repeated) {
  HttpAnswerParser Parser({.m_MaxHeaderBytes = 4096, .m_MaxBodyBytes = 65536},
                          false);
  std::string Buffer = Head;
  std::size_t Fed = Head.size();
  while (Fed < (std::size_t{1} << 20)) {
    if (Parser.feed(Buffer) != ParseState::NeedMore)
      return Fed;
    Buffer += Repeated;
    Fed += Repeated.size();
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("an answer without end is rejected at the limits") {
  const std::string Filler(512, 'a');
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  struct Case {
    const char *m_Name;
    std::string m_Head;
    std::string m_Repeated;
  };
  const std::vector<Case> Cases{
      {"status line", "HTTP/1.1 200 ", Filler},
      {"no HTTP at all", "", std::string(512, '\0')},
      {"header value", Ok + "X: ", Filler},
      {"headers", Ok, "X-A: " + Filler + "\r\n"},
      {"body without a length", Ok + "\r\n", Filler},
      {"chunks", Chunked, "200\r\n" + Filler + "\r\n"},
      {"chunk size", Chunked, std::string(512, '0')},
      {"chunk extension", Chunked + "5;x=", Filler},
      {"trailer", Chunked + "0\r\n", "X-A: " + Filler + "\r\n"},
      {"trailer value", Chunked + "0\r\nX: ", Filler},
  };
  for (const Case &Each : Cases) {
    INFO(std::string(Each.m_Name));
    const auto Bytes = bytesUntilRejected(Each.m_Head, Each.m_Repeated);
    CHECK(Bytes.has_value());
    CHECK(Bytes.value_or(0) <= 65536 + 4096 + 8192);
  }
}

TEST_CASE("the end of the input before the first byte is no answer") {
  HttpAnswerParser Parser({}, false);
  CHECK(Parser.finish() == ParseState::Malformed);
}
