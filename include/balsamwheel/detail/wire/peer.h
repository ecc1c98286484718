// The messages that daemons exchange, and the interface of the transport
// between them.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/wire/body.h"
#include "balsamwheel/detail/wire/control.h"
#include "balsamwheel/detail/wire/request.h"

#include <functional>
#include <variant>

namespace balsamwheel {

using PeerMessage = std::variant<ControlMessage, RequestMessage, BodyMessage>;

/// Callbacks of a transport, called on its thread. \c From is the listening
/// address that the sender announced when it connected.
struct PeerHandlers {
  std::function<void(const PeerAddress &From, PeerMessage Message)> m_OnMessage;
  /// The connection to a daemon was closed or could not be opened.
  std::function<void(const PeerAddress &Peer)> m_OnLost;
};

/// Requirements on a transport between daemons. All functions may be called
/// from any thread. Messages may be lost when a connection breaks; delivery is
/// never confirmed.
template <typename T>
concept PeerTransport =
    requires(T Transport, const PeerAddress &Receiver, PeerMessage Message) {
      Transport.send(Receiver, std::move(Message));
      Transport.reset(Receiver);
      Transport.stop();
    };

} // namespace balsamwheel
