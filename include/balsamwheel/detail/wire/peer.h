// Everything that daemons send to each other, and the transport that carries
// it.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/wire/body.h"
#include "balsamwheel/detail/wire/control.h"
#include "balsamwheel/detail/wire/request.h"

#include <functional>
#include <variant>

namespace balsamwheel {

using PeerMessage = std::variant<ControlMessage, RequestMessage, BodyMessage>;

/// Called on the transport's thread. \c From is the sender's listening
/// address, as it stated it when it connected.
struct PeerHandlers {
  std::function<void(const PeerAddress &From, PeerMessage Message)> m_OnMessage;
  /// The connection to a daemon closed or could not be opened.
  std::function<void(const PeerAddress &Peer)> m_OnLost;
};

/// What a transport between daemons offers. All calls may come from any
/// thread. Messages may be lost when a connection breaks, and are never
/// reported as delivered.
template <typename T>
concept PeerTransport =
    requires(T Transport, const PeerAddress &To, PeerMessage Message) {
      Transport.send(To, std::move(Message));
      Transport.reset(To);
      Transport.stop();
    };

} // namespace balsamwheel
