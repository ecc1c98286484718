// Errors of the peer transport.
#pragma once

#include <system_error>

namespace balsamwheel::peer_tcp {

enum class TransportError {
  /// The listening address is not "IPv4:port".
  BadAddress = 1,
  /// The listening socket could not be opened.
  ListenFailed,
  /// A frame is longer than MaxFrameBytes.
  FrameTooLarge,
  /// A frame failed verification.
  MalformedFrame,
  /// A field of a message is out of range.
  InvalidField,
};

const std::error_category &transportCategory();
std::error_code make_error_code(TransportError Value);

} // namespace balsamwheel::peer_tcp

template <>
struct std::is_error_code_enum<balsamwheel::peer_tcp::TransportError>
    : std::true_type {};
