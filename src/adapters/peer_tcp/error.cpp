// Messages of the peer transport's errors.
#include "adapters/peer_tcp/error.h"

#include <string>

namespace balsamwheel::peer_tcp {

namespace {

class TransportCategory final : public std::error_category {
public:
  const char *name() const noexcept override { return "peer_tcp"; }

  std::string message(int Value) const override {
    switch (static_cast<TransportError>(Value)) {
    case TransportError::BadAddress:
      return "peer address is not IPv4:port";
    case TransportError::ListenFailed:
      return "cannot listen on the peer address";
    case TransportError::FrameTooLarge:
      return "peer frame exceeds the size limit";
    case TransportError::MalformedFrame:
      return "peer frame failed verification";
    case TransportError::InvalidField:
      return "peer message has a field out of range";
    }
    return "unknown peer transport error";
  }
};

} // namespace

const std::error_category &transportCategory() {
  static const TransportCategory Category;
  return Category;
}

std::error_code make_error_code(TransportError Value) {
  return {static_cast<int>(Value), transportCategory()};
}

} // namespace balsamwheel::peer_tcp
