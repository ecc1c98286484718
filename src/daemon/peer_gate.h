// Takes messages of other daemons from the transport's thread to the core.
#pragma once

#include "balsamwheel/detail/wire/peer.h"
#include "daemon/body_streams.h"
#include "daemon/core.h"

namespace balsamwheel::daemon {

/// Bodies bypass the core; names of bodies become local on the way in.
class PeerReceiver {
public:
  PeerReceiver(CoreShared &Shared, BodyStreams &Bodies)
      : m_Shared(Shared), m_Bodies(Bodies) {}

  PeerHandlers handlers();

private:
  void onMessage(const PeerAddress &From, PeerMessage Message);
  void onRequest(const PeerAddress &From, RequestMessage Message);
  void postOrDrop(Event Item);

  CoreShared &m_Shared;
  BodyStreams &m_Bodies;
};

/// Whether an inline body has the length and hash it came with.
bool isIntact(const ForwardReply &Reply);

} // namespace balsamwheel::daemon
