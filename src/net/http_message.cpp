// Serialisation of HTTP messages; the parsers are Boost.Beast's.
#include "http_message.h"

#include "core/http_syntax.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsamwheel {

namespace http = boost::beast::http;

namespace {

std::string_view toStringView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

template <typename FieldsT> HttpHeaders copyHeaders(const FieldsT &Fields) {
  HttpHeaders Result;
  for (const auto &Field : Fields)
    Result.add(toStringView(Field.name_string()), toStringView(Field.value()));
  return Result;
}

/// Overhead that a chunked body may have, per byte of the body.
constexpr std::size_t MaxChunkOverhead = 8;

/// Whether a transfer coding was applied to the body that isn't decoded:
/// Boost.Beast ignores all but a last one of chunked.
template <typename HeadT> bool hasUnknownCoding(const HeadT &Head) {
  const auto [First, Last] = Head.equal_range(http::field::transfer_encoding);
  return First != Last && (Head.version() < 11 || std::next(First) != Last ||
                           !isChunked(toStringView(First->value())));
}

bool isReadable(const http::request_header<> &Head) {
  return !hasUnknownCoding(Head);
}

bool isReadable(const http::response_header<> &Head) {
  return isAnswerStatus(Head.result_int()) && !hasUnknownCoding(Head);
}

/// A parser of Boost.Beast, and what it doesn't check itself: the sizes of
/// chunk headers and trailers, statuses, transfer codings and folded lines.
template <typename ParserT> class StrictParser {
public:
  explicit StrictParser(ParseLimits Limits) : m_Limits(Limits) {
    // The head is checked before the body is read.
    m_Parser.eager(false);
    m_Parser.header_limit(static_cast<std::uint32_t>(Limits.m_MaxHeaderBytes));
    m_Parser.body_limit(std::max(Limits.m_MaxBodyBytes,
                                 Limits.m_MaxAnnouncedBodyBytes.value_or(0)));
  }

  ParseState feed(std::string &Buffer) {
    std::size_t Consumed = 0;
    while (!m_Parser.is_done() && Consumed < Buffer.size()) {
      const bool InHead = !m_Parser.is_header_done();
      boost::system::error_code Error;
      const std::size_t Taken =
          m_Parser.put(boost::asio::buffer(Buffer.data() + Consumed,
                                           Buffer.size() - Consumed),
                       Error);
      if (InHead &&
          hasFoldedLine(std::string_view(Buffer).substr(Consumed, Taken)))
        return ParseState::Malformed;
      Consumed += Taken;
      if (Error == http::error::need_more) {
        if (Taken == 0)
          break;
        continue;
      }
      if (Error == http::error::header_limit)
        return ParseState::HeadersTooLarge;
      if (Error == http::error::body_limit)
        return ParseState::BodyTooLarge;
      if (Error)
        return ParseState::Malformed;
      if (InHead && m_Parser.is_header_done() &&
          !isReadable(m_Parser.get().base()))
        return ParseState::Malformed;
    }
    if (m_Parser.is_header_done() &&
        m_Parser.get().body().size() > maxBodyBytes())
      return ParseState::BodyTooLarge;
    Buffer.erase(0, Consumed);
    m_Consumed += Consumed;
    if (m_Parser.is_done())
      return ParseState::Complete;
    // What isn't consumed is one incomplete line.
    const std::size_t BodySize = m_Parser.get().body().size();
    const bool TooLarge =
        Buffer.size() > m_Limits.m_MaxHeaderBytes ||
        m_Consumed - BodySize >
            2 * m_Limits.m_MaxHeaderBytes + MaxChunkOverhead * BodySize;
    return TooLarge ? ParseState::HeadersTooLarge : ParseState::NeedMore;
  }

  /// The announced size of the body, or its maximum if none is announced.
  std::size_t maxBodyBytes() const {
    const auto Announced =
        m_Parser.is_header_done() ? m_Parser.content_length() : boost::none;
    return Announced ? static_cast<std::size_t>(*Announced)
                     : m_Limits.m_MaxBodyBytes;
  }

  ParserT m_Parser;

private:
  ParseLimits m_Limits;
  /// Bytes of the message so far.
  std::size_t m_Consumed = 0;
};

} // namespace

std::string_view HttpHeaders::get(std::string_view Name) const {
  for (const HttpHeader &Header : m_All)
    if (isSameName(Header.m_Name, Name))
      return Header.m_Value;
  return {};
}

bool HttpHeaders::has(std::string_view Name) const {
  return std::any_of(m_All.begin(), m_All.end(), [&](const HttpHeader &Header) {
    return isSameName(Header.m_Name, Name);
  });
}

void HttpHeaders::add(std::string_view Name, std::string_view Value) {
  m_All.push_back({std::string(Name), std::string(Value)});
}

void HttpHeaders::set(std::string_view Name, std::string_view Value) {
  remove(Name);
  add(Name, Value);
}

void HttpHeaders::remove(std::string_view Name) {
  std::erase_if(m_All, [&](const HttpHeader &Header) {
    return isSameName(Header.m_Name, Name);
  });
}

void HttpHeaders::removeHopByHop() {
  std::string Value(get("Connection"));
  std::string_view Rest = Value;
  while (!Rest.empty()) {
    const std::size_t Comma = Rest.find(',');
    const std::string_view Token = trimBlanks(Rest.substr(0, Comma));
    if (!Token.empty())
      remove(Token);
    Rest = Comma == std::string_view::npos ? std::string_view()
                                           : Rest.substr(Comma + 1);
  }
  for (const char *Name :
       {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
        "TE", "Trailer", "Upgrade", "Content-Length", "Expect"})
    remove(Name);
}

void HttpHeaders::appendTo(std::string &Text) const {
  for (const HttpHeader &Header : m_All)
    Text.append(Header.m_Name)
        .append(": ")
        .append(Header.m_Value)
        .append("\r\n");
}

std::string HttpRequest::headToText() const {
  std::string Text;
  Text.reserve(256 + m_Target.size());
  Text.append(m_Method).append(" ").append(m_Target).append(" HTTP/1.1\r\n");
  m_Headers.appendTo(Text);
  if (!m_Body.empty() || (m_Method != "GET" && m_Method != "HEAD"))
    Text.append("Content-Length: ")
        .append(std::to_string(m_Body.size()))
        .append("\r\n");
  Text.append("\r\n");
  return Text;
}

std::string HttpRequest::toText() const {
  return headToText().append(std::string_view(m_Body));
}

std::string HttpAnswer::toText() const {
  std::string Text;
  Text.reserve(256 + m_Body.size());
  const boost::beast::string_view Reason =
      http::obsolete_reason(static_cast<http::status>(m_Status));
  Text.append("HTTP/1.1 ").append(std::to_string(m_Status)).append(" ");
  Text.append(Reason.data(), Reason.size()).append("\r\n");
  m_Headers.appendTo(Text);
  if (m_Status != 204 && m_Status != 304)
    Text.append("Content-Length: ")
        .append(std::to_string(m_Body.size()))
        .append("\r\n");
  if (!m_KeepAlive)
    Text.append("Connection: close\r\n");
  Text.append("\r\n").append(m_Body);
  return Text;
}

class HttpRequestParser::Impl
    : public StrictParser<http::request_parser<http::string_body>> {
public:
  using StrictParser::StrictParser;
};

HttpRequestParser::HttpRequestParser(ParseLimits Limits)
    : m_Impl(std::make_unique<Impl>(Limits)) {}

HttpRequestParser::~HttpRequestParser() = default;

ParseState HttpRequestParser::feed(std::string &Buffer) {
  return m_Impl->feed(Buffer);
}

bool HttpRequestParser::headersComplete() const {
  return m_Impl->m_Parser.is_header_done();
}

std::size_t HttpRequestParser::bodySize() const {
  if (!headersComplete())
    return 0;
  const auto Announced = m_Impl->m_Parser.content_length();
  return Announced ? static_cast<std::size_t>(*Announced)
                   : m_Impl->m_Parser.get().body().size();
}

HttpRequest HttpRequestParser::take(BodyReservation Reservation) {
  const bool KeepAlive = m_Impl->m_Parser.keep_alive();
  auto Message = m_Impl->m_Parser.release();
  HttpRequest Result{
      .m_Method = std::string(toStringView(Message.method_string())),
      .m_Target = std::string(toStringView(Message.target())),
      .m_Headers = copyHeaders(Message),
      .m_Body = HttpBody(std::move(Message.body()), std::move(Reservation)),
      .m_KeepAlive = KeepAlive};
  return Result;
}

class HttpAnswerParser::Impl
    : public StrictParser<http::response_parser<http::string_body>> {
public:
  using StrictParser::StrictParser;
};

HttpAnswerParser::HttpAnswerParser(ParseLimits Limits, bool NoBody)
    : m_Impl(std::make_unique<Impl>(Limits)) {
  m_Impl->m_Parser.skip(NoBody);
}

HttpAnswerParser::~HttpAnswerParser() = default;

ParseState HttpAnswerParser::feed(std::string &Buffer) {
  return m_Impl->feed(Buffer);
}

ParseState HttpAnswerParser::finish() {
  // The parser takes the end of the input before its first byte for the end of
  // an empty message.
  if (!m_Impl->m_Parser.is_header_done())
    return ParseState::Malformed;
  boost::system::error_code Error;
  m_Impl->m_Parser.put_eof(Error);
  return !Error && m_Impl->m_Parser.is_done() ? ParseState::Complete
                                              : ParseState::Malformed;
}

std::size_t HttpAnswerParser::receivedBodyBytes() const {
  return m_Impl->m_Parser.get().body().size();
}

std::size_t HttpAnswerParser::maxBodyBytes() const {
  return m_Impl->maxBodyBytes();
}

HttpAnswer HttpAnswerParser::take() {
  const bool KeepAlive = m_Impl->m_Parser.keep_alive();
  auto Message = m_Impl->m_Parser.release();
  return {.m_Status = Message.result_int(),
          .m_Headers = copyHeaders(Message),
          .m_Body = std::move(Message.body()),
          .m_KeepAlive = KeepAlive};
}

} // namespace balsamwheel
