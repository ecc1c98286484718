// Dispatch of messages from other daemons.
#include "daemon/peer_receiver.h"

#include <utility>

namespace balsamwheel::daemon {

namespace {

/// On the wire, length 0 means unknown.
std::optional<std::uint64_t> lengthFromWire(std::uint64_t Length) {
  if (Length == 0)
    return std::nullopt;
  return Length;
}

} // namespace

bool isIntact(const ForwardReply &Reply) {
  const HttpAnswer &Answer = Reply.m_Http;
  if (Reply.m_Outcome != Outcome::Done || Answer.m_BodyStream != 0)
    return true;
  return Answer.m_Body.size() == Answer.m_BodyLength &&
         runtime::bodyHash(Answer.m_Body) == Answer.m_BodyHash;
}

PeerHandlers PeerReceiver::handlers() {
  return {.m_OnMessage =
              [this](const PeerAddress &Sender, PeerMessage Message) {
                onMessage(Sender, std::move(Message));
              },
          .m_OnLost =
              [this](const PeerAddress &Peer) {
                m_Bodies.onPeerLost(Peer);
                m_Shared.m_Inbox.post(PeerLost{Peer});
              }};
}

void PeerReceiver::onMessage(const PeerAddress &Sender, PeerMessage Message) {
  if (auto *Control = std::get_if<ControlMessage>(&Message))
    postOrDrop(ControlReceived{Sender, std::move(*Control)});
  else if (auto *Request = std::get_if<RequestMessage>(&Message))
    onRequest(Sender, std::move(*Request));
  else
    m_Bodies.onMessage(Sender, std::get<BodyMessage>(std::move(Message)));
}

void PeerReceiver::onRequest(const PeerAddress &Sender,
                             RequestMessage Message) {
  if (auto *Forward = std::get_if<ForwardRequest>(&Message)) {
    HttpRequest &Http = Forward->m_Http;
    if (Http.m_BodyStream != 0)
      Http.m_BodyStream =
          m_Bodies.openRemote(Sender, Http.m_BodyStream, Http.m_Body,
                              lengthFromWire(Http.m_BodyLength));
  } else if (auto *Reply = std::get_if<ForwardReply>(&Message)) {
    if (!isIntact(*Reply)) {
      m_Shared.m_Metrics.damagedAnswers().Increment();
      LOG4CPLUS_ERROR(logger(),
                      "dropped a damaged answer from " << Sender.value());
      return;
    }
    HttpAnswer &Http = Reply->m_Http;
    if (Http.m_BodyStream != 0)
      Http.m_BodyStream =
          m_Bodies.openRemote(Sender, Http.m_BodyStream, Http.m_Body,
                              lengthFromWire(Http.m_BodyLength));
  }
  postOrDrop(PeerRequestReceived{Sender, std::move(Message)});
}

void PeerReceiver::postOrDrop(Event Item) {
  if (!m_Shared.m_Inbox.tryPost(Item))
    m_Shared.m_Metrics.droppedEvents().Increment();
}

} // namespace balsamwheel::daemon
