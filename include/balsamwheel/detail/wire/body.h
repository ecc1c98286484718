// Messages between daemons that stream bodies too long for a single message.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace balsamwheel {

/// A chunk of a body that a daemon announced under the stream id \c m_Stream.
/// Chunks of one stream are sent in order on one connection; the stream fails
/// when the connection is lost.
struct BodyChunk {
  std::uint64_t m_Stream = 0;
  /// Position of the chunk's first byte in the whole body.
  std::uint64_t m_Offset = 0;
  std::string m_Bytes;
  /// No chunk follows. The body is complete unless m_Failed is set.
  bool m_Last = false;
  bool m_Failed = false;
  /// XXH3 of the whole body, in the last chunk.
  std::uint64_t m_BodyHash = 0;

  bool operator==(const BodyChunk &) const = default;
};

/// Flow control: allows the sender to send \c m_Bytes more bytes. Sent by the
/// receiver; the first credit starts the stream.
struct BodyCredit {
  std::uint64_t m_Stream = 0;
  std::uint64_t m_Bytes = 0;

  bool operator==(const BodyCredit &) const = default;
};

/// The receiver discards the rest of the stream; the sender stops.
struct BodyCancel {
  std::uint64_t m_Stream = 0;

  bool operator==(const BodyCancel &) const = default;
};

using BodyMessage = std::variant<BodyChunk, BodyCredit, BodyCancel>;

} // namespace balsamwheel
