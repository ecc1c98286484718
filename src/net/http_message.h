// HTTP/1.1 requests and answers: values, serialisation and parsers.
#pragma once

#include "http_body.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamwheel {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

/// Headers in the order in which they are sent. Names are compared without
/// regard to case; the complexity of lookups is linear.
class HttpHeaders {
public:
  /// Returns the first value of the header; empty if it is missing.
  std::string_view get(std::string_view Name) const;
  bool has(std::string_view Name) const;
  /// Appends a header; others of the same name stay.
  void add(std::string_view Name, std::string_view Value);
  /// Replaces all headers of the same name.
  void set(std::string_view Name, std::string_view Value);
  void remove(std::string_view Name);
  /// Removes the hop-by-hop headers, including those that Connection names,
  /// and the headers of the body's framing.
  void removeHopByHop();
  const std::vector<HttpHeader> &all() const { return m_All; }
  /// Appends the headers as lines that end with CRLF.
  void appendTo(std::string &Text) const;

private:
  std::vector<HttpHeader> m_All;
};

struct HttpRequest {
  std::string m_Method;
  std::string m_Target;
  HttpHeaders m_Headers;
  HttpBody m_Body;
  /// The caller keeps the connection open after the answer.
  bool m_KeepAlive = true;

  /// Serialises the request with a Content-Length header, without its body.
  std::string headToText() const;
  /// Serialises the request with a Content-Length header.
  std::string toText() const;
};

struct HttpAnswer {
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// The connection stays open after the answer.
  bool m_KeepAlive = true;

  /// Serialises the answer with a Content-Length header.
  std::string toText() const;
};

/// Result of passing bytes to a parser.
enum class ParseState : std::uint8_t {
  NeedMore,
  Complete,
  HeadersTooLarge,
  BodyTooLarge,
  /// Not HTTP/1.1, or a part of it that isn't supported: a transfer coding
  /// other than chunked, a folded line, a status that no answer has.
  Malformed,
};

struct ParseLimits {
  /// Also the maximum of each line of a chunked body's framing.
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = std::size_t{64} << 20;
  /// For a body whose length is announced; none means m_MaxBodyBytes. May be
  /// larger, since such a body has an end.
  std::optional<std::size_t> m_MaxAnnouncedBodyBytes;
};

/// Parses one request.
class HttpRequestParser {
public:
  explicit HttpRequestParser(ParseLimits Limits);
  ~HttpRequestParser();
  /// Parses and removes bytes from the front of \p Buffer. After Complete, the
  /// bytes that remain belong to the next message.
  ParseState feed(std::string &Buffer);
  bool headersComplete() const;
  /// Returns the size of the body that the headers announce, or what has been
  /// received of it if they don't; 0 before headersComplete().
  std::size_t bodySize() const;
  /// Moves the request out; only after Complete.
  /// \param Reservation for the memory of its body.
  HttpRequest take(BodyReservation Reservation = {});

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Parses one answer.
class HttpAnswerParser {
public:
  /// \param NoBody whether the request's method was HEAD.
  HttpAnswerParser(ParseLimits Limits, bool NoBody);
  ~HttpAnswerParser();
  /// See HttpRequestParser::feed().
  ParseState feed(std::string &Buffer);
  /// Reports that the peer closed the connection in order, which ends a body
  /// without a length. Returns Complete or Malformed.
  ParseState finish();
  /// Returns the size of the body received so far.
  std::size_t receivedBodyBytes() const;
  /// Returns the announced size of the body, or its maximum if none is.
  std::size_t maxBodyBytes() const;
  /// Moves the answer out; only after Complete.
  HttpAnswer take();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
