// Checks and collects the head of an answer, of which libcurl accepts more than
// HTTP/1.1 allows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamwheel::http_client {

/// The lines of an answer's head, of the interim answers before it, and of its
/// trailers.
///
/// Invariant: the fields are those behind the last status line, and all of them
/// are valid.
class AnswerHead {
public:
  /// Adds a line, with its line ending.
  ///
  /// \returns false if the answer can't be passed on: the line or the status is
  /// invalid, the length of the body is ambiguous, or its transfer coding isn't
  /// supported.
  bool addLine(std::string_view Line);
  /// Moves the fields out.
  std::vector<std::pair<std::string, std::string>> takeFields() {
    return std::exchange(m_Fields, {});
  }

private:
  bool addField(std::string_view Line);

  std::vector<std::pair<std::string, std::string>> m_Fields;
  /// An answer of HTTP/1.0 has no transfer coding.
  bool m_MayHaveCoding = false;
  bool m_HasCoding = false;
  std::optional<std::uint64_t> m_Length;
};

} // namespace balsamwheel::http_client
