// Messages between daemons that carry the rest of long bodies.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace balsamwheel {

/// Bytes of a body that a daemon announced under \c m_Stream. Chunks of one
/// stream are sent in order on one connection; when the connection is lost the
/// stream has failed.
struct BodyChunk {
  std::uint64_t m_Stream = 0;
  /// Position of the first byte in the whole body.
  std::uint64_t m_Offset = 0;
  std::string m_Bytes;
  /// No chunk follows. The body is whole unless m_Failed.
  bool m_Last = false;
  bool m_Failed = false;
  /// XXH3 of the whole body, in the last chunk.
  std::uint64_t m_BodyHash = 0;

  bool operator==(const BodyChunk &) const = default;
};

/// Allows the sender to send this many bytes more. Sent by the receiver; the
/// first credit starts the stream.
struct BodyCredit {
  std::uint64_t m_Stream = 0;
  std::uint64_t m_Bytes = 0;

  bool operator==(const BodyCredit &) const = default;
};

/// The receiver wants no more of the stream.
struct BodyCancel {
  std::uint64_t m_Stream = 0;

  bool operator==(const BodyCancel &) const = default;
};

using BodyMessage = std::variant<BodyChunk, BodyCredit, BodyCancel>;

} // namespace balsamwheel
