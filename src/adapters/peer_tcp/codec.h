// FlatBuffers encoding of the messages between daemons.
#pragma once

#include "balsamwheel/detail/wire/peer.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace balsamwheel::peer_tcp {

/// Maximum size of a frame in bytes, without its length prefix.
inline constexpr std::size_t MaxFrameBytes = 8U << 20U;

/// Protocol version stated in Hello.
inline constexpr std::uint16_t ProtocolVersion = 1;

/// First message on each connection; identifies the daemon that opened it.
struct Hello {
  std::uint16_t m_Version = ProtocolVersion;
  /// Address that the sender advertises to its peers.
  PeerAddress m_Listen;
};

using WireMessage = std::variant<Hello, PeerMessage>;

/// Encodes a message as one frame without its length prefix.
///
/// Complexity: linear in the size of the message.
std::vector<std::uint8_t> encode(const WireMessage &Message);

/// Verifies and decodes one frame.
///
/// \param Bytes the frame without its length prefix; untrusted.
/// \param Message receives the result; unchanged if an error is returned.
/// \returns FrameTooLarge, MalformedFrame or InvalidField.
/// Complexity: linear in the size of the frame.
std::error_code decode(std::span<const std::uint8_t> Bytes,
                       WireMessage &Message);

} // namespace balsamwheel::peer_tcp
