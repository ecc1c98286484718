// HTTP/1.1 requests and answers as values, and their text.
#pragma once

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

/// Headers in their order on the wire; names are compared without case.
class HttpHeaders {
public:
  /// The first value of the header; empty when it is missing.
  std::string_view get(std::string_view Name) const;
  bool has(std::string_view Name) const;
  void add(std::string_view Name, std::string_view Value);
  void set(std::string_view Name, std::string_view Value);
  void remove(std::string_view Name);
  /// Removes the headers that concern one connection only, those named by
  /// Connection included, and the framing of the body.
  void removeHopByHop();
  const std::vector<HttpHeader> &all() const { return m_All; }
  void appendTo(std::string &Text) const;

private:
  std::vector<HttpHeader> m_All;
};

struct HttpRequest {
  std::string m_Method;
  std::string m_Target;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// The caller keeps the connection open after the answer.
  bool m_KeepAlive = true;

  /// The text on the wire, framed by a length.
  std::string toText() const;
};

struct HttpAnswer {
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;
  bool m_KeepAlive = true;

  std::string toText() const;
};

enum class ParseState : std::uint8_t {
  NeedMore,
  Complete,
  HeadersTooLarge,
  BodyTooLarge,
  Malformed,
};

struct ParseLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = std::size_t{64} << 20;
};

/// Reads one request; see feed().
class HttpRequestParser {
public:
  explicit HttpRequestParser(ParseLimits Limits);
  ~HttpRequestParser();
  /// Consumes from the front of \p Buffer. After Complete, what is left
  /// belongs to the next message.
  ParseState feed(std::string &Buffer);
  bool headersComplete() const;
  HttpRequest take();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Reads one answer.
class HttpAnswerParser {
public:
  /// \p NoBody: the request was a HEAD.
  HttpAnswerParser(ParseLimits Limits, bool NoBody);
  ~HttpAnswerParser();
  ParseState feed(std::string &Buffer);
  /// The connection was closed in order, which ends a body without length.
  ParseState finish();
  HttpAnswer take();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
