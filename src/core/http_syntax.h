// Syntax of HTTP/1.1 heads (RFC 9110, RFC 9112) that the libraries which read
// them don't check, or check less strictly.
#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace balsamwheel {

/// Whether an answer may have this status. 101 (Switching Protocols) is only
/// sent to those that have asked for it, which nothing here does.
constexpr bool isAnswerStatus(unsigned Status) {
  return Status >= 100 && Status <= 599 && Status != 101;
}

/// Whether \p Line, without its line ending, is a status line of HTTP/1.0 or
/// HTTP/1.1 with a status that an answer may have.
inline bool isStatusLine(std::string_view Line) {
  constexpr std::size_t VersionSize = std::string_view("HTTP/1.1 ").size();
  constexpr std::size_t StatusEnd = VersionSize + 3;
  if (!Line.starts_with("HTTP/1.1 ") && !Line.starts_with("HTTP/1.0 "))
    return false;
  const std::string_view Digits = Line.substr(VersionSize, 3);
  unsigned Status = 0;
  const auto [End, Error] =
      std::from_chars(Digits.begin(), Digits.end(), Status);
  return Digits.size() == 3 && Error == std::errc() && End == Digits.end() &&
         isAnswerStatus(Status) &&
         (Line.size() == StatusEnd || Line[StatusEnd] == ' ');
}

/// Removes the blanks around a field's value.
inline std::string_view trimBlanks(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// Whether \p Text is a token, i.e. valid as the name of a field.
inline bool isToken(std::string_view Text) {
  static constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'A' && C <= 'Z') ||
           (C >= 'a' && C <= 'z') || Symbols.find(C) != std::string_view::npos;
  });
}

/// Whether \p Text has no control character except tabs.
inline bool isFieldValue(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), [](unsigned char C) {
    return (C < ' ' && C != '\t') || C == 0x7f;
  });
}

/// Compares the names of fields or codings, without regard to case.
inline bool isSameName(std::string_view Left, std::string_view Right) {
  const auto Lower = [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [Lower](char First, char Second) {
                      return Lower(First) == Lower(Second);
                    });
}

/// Whether \p Coding is "chunked", the one transfer coding that is decoded.
inline bool isChunked(std::string_view Coding) {
  return isSameName(Coding, "chunked");
}

/// Parses the value of a Content-Length field.
///
/// \returns none if it isn't one number from 0 to INT64_MAX without a sign.
inline std::optional<std::uint64_t> parseContentLength(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Error] = std::from_chars(Text.begin(), Text.end(), Value);
  if (Text.empty() || Error != std::errc() || End != Text.end() ||
      Value > INT64_MAX)
    return std::nullopt;
  return Value;
}

/// Whether a line of \p Head continues the one before it (obsolete folding).
inline bool hasFoldedLine(std::string_view Head) {
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

} // namespace balsamwheel
