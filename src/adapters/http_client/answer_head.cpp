// Validation of answers' heads by RFC 9110 and RFC 9112.
#include "adapters/http_client/answer_head.h"

#include "core/http_syntax.h"

namespace balsamwheel::http_client {

namespace {

std::string_view withoutLineEnding(std::string_view Line) {
  if (Line.ends_with('\n'))
    Line.remove_suffix(1);
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

} // namespace

bool AnswerHead::addLine(std::string_view Line) {
  m_Bytes += Line.size();
  if (m_Bytes > MaxBytes)
    return false;
  Line = withoutLineEnding(Line);
  if (Line.empty())
    return true;
  if (!Line.starts_with("HTTP/"))
    return addField(Line);
  m_Fields.clear();
  m_MayHaveCoding = Line.starts_with("HTTP/1.1");
  m_HasCoding = false;
  m_Length.reset();
  return isStatusLine(Line);
}

bool AnswerHead::addField(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return false;
  const std::string_view Name = Line.substr(0, Colon);
  const std::string_view Value = trimBlanks(Line.substr(Colon + 1));
  // A folded line begins with a blank, which no name contains.
  if (!isToken(Name) || !isFieldValue(Value))
    return false;
  if (isSameName(Name, "Transfer-Encoding")) {
    if (!m_MayHaveCoding || m_HasCoding || m_Length || !isChunked(Value))
      return false;
    m_HasCoding = true;
  } else if (isSameName(Name, "Content-Length")) {
    const auto Length = parseContentLength(Value);
    if (m_HasCoding || !Length || m_Length.value_or(*Length) != *Length)
      return false;
    m_Length = Length;
  }
  m_Fields.emplace_back(Name, Value);
  return true;
}

} // namespace balsamwheel::http_client
