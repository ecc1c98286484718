// Syntax of HTTP/1.1 heads (RFC 9110, RFC 9112) that the libraries which read
// them don't check, or check less strictly.
#pragma once

#include <algorithm>
#include <string_view>

namespace balsamwheel {

/// Whether an answer may have this status. 101 (Switching Protocols) is only
/// sent to those that have asked for it, which nothing here does.
constexpr bool isAnswerStatus(unsigned Status) {
  return Status >= 100 && Status <= 599 && Status != 101;
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

/// Whether a line of \p Head continues the one before it (obsolete folding).
inline bool hasFoldedLine(std::string_view Head) {
  return Head.find("\r\n ") != std::string_view::npos ||
         Head.find("\r\n\t") != std::string_view::npos;
}

} // namespace balsamwheel
