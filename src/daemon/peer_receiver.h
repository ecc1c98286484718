// Passes messages from other daemons from the transport's thread to the core.
#pragma once

#include "balsamwheel/detail/wire/peer.h"
#include "daemon/body_streams.h"
#include "daemon/core.h"

namespace balsamwheel::daemon {

/// Body messages go directly to BodyStreams. In forwarded requests and replies,
/// stream ids of the sender are replaced by local ones. Damaged replies are
/// dropped.
class PeerReceiver {
public:
  PeerReceiver(CoreShared &Shared, BodyStreams &Bodies)
      : m_Shared(Shared), m_Bodies(Bodies) {}

  PeerHandlers handlers();

private:
  void onMessage(const PeerAddress &Sender, PeerMessage Message);
  void onRequest(const PeerAddress &Sender, RequestMessage Message);
  void postOrDrop(Event Item);

  CoreShared &m_Shared;
  BodyStreams &m_Bodies;
};

/// Whether an inline body matches the length and hash in its message. Also true
/// if there is no inline body to check.
bool isIntact(const ForwardReply &Reply);

} // namespace balsamwheel::daemon
