// Checks and collects the head of an answer, of which libcurl accepts more than
// HTTP/1.1 allows.
#pragma once

#include <cstddef>
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
  /// Maximum number of bytes of all lines together.
  static constexpr std::size_t MaxBytes = 65536;

  /// Adds a line, with its line ending.
  ///
  /// \returns false if the answer can't be passed on: the line or the status is
  /// invalid, the length of the body is ambiguous, its transfer coding isn't
  /// supported, or there are too many bytes.
  bool addLine(std::string_view Line);
  /// Moves the fields out.
  std::vector<std::pair<std::string, std::string>> takeFields() {
    return std::exchange(m_Fields, {});
  }

private:
  bool addField(std::string_view Line);

  std::vector<std::pair<std::string, std::string>> m_Fields;
  std::size_t m_Bytes = 0;
  /// Since the last status line: whether it was one of HTTP/1.1, whether there
  /// was a Transfer-Encoding, and the Content-Length.
  bool m_MayHaveCoding = false;
  bool m_HasCoding = false;
  std::optional<std::uint64_t> m_Length;
};

} // namespace balsamwheel::http_client
