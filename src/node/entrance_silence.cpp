// Implements the recovery from unresponsive connections: probes, resets, and
// queries for the outcome of forwards sent on them.
#include "balsamwheel/detail/node/entrance.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Limit of the reply time-out, which doubles with every recovery.
constexpr Duration MaxReplyTimeout = std::chrono::milliseconds(800);
/// Minimum delay between the loss of a connection and the next check of the
/// exchanges on it.
constexpr Duration ConnectionLossRecheckDelay = std::chrono::milliseconds(10);

} // namespace

void Entrance::checkExchange(RequestHandle Handle, Request &Pending,
                             std::size_t Index, TimePoint Now) {
  PeerExchange &Each = Pending.m_Exchanges[Index];
  const bool SessionEnded =
      m_Context.coordinator().findMember(Each.m_Session) == nullptr;
  if (SessionEnded) {
    // The session has ended permanently, so the outcome can no longer be
    // determined.
    const PeerExchange Lost = closeExchange(Pending, Index);
    ForwardReply Unknown;
    Unknown.m_Reason = Reason::PeerLost;
    if (Lost.m_Kind != ExchangeKind::RetryClearance)
      onUnknown(Handle, Pending, Unknown, Now);
    else if (Pending.m_Keyed)
      retryRouting(Handle, Pending, {Outcome::Wait, Reason::NoOwner}, Now);
    else
      finishUncleared(Handle, Pending, Now);
    return;
  }
  if (Each.m_ProbeNonce == 0) {
    Each.m_ProbeNonce = m_Watch.probe(Each.m_Peer);
    Each.m_CheckAt = Now + Each.m_ReplyTimeout;
    return;
  }
  const bool Alive = m_Watch.answered(Each.m_Peer, Each.m_ProbeNonce);
  Each.m_ProbeNonce = 0;
  if (!Alive)
    m_Watch.reset(Each.m_Peer, Now);
  if (Alive && Each.m_HasReceipt && Pending.m_Incoming.m_Meta.m_Idempotent) {
    Each.m_CheckAt = Now + ReceiptCheckDelay;
    return;
  }
  recoverExchange(Handle, Pending, Index, Now);
}

void Entrance::recoverExchange(RequestHandle Handle, Request &Pending,
                               std::size_t Index, TimePoint Now) {
  const Duration ReplyTimeout =
      std::min(Pending.m_Exchanges[Index].m_ReplyTimeout * 2, MaxReplyTimeout);
  const Destination Receiver{Pending.m_Exchanges[Index].m_Session,
                             Pending.m_Exchanges[Index].m_Peer, Epoch()};
  if (Pending.m_Exchanges[Index].m_Kind == ExchangeKind::RetryClearance) {
    closeExchange(Pending, Index);
    sendClearingQuery(Handle, Pending, Receiver, Now);
    Pending.m_Exchanges.back().m_ReplyTimeout = ReplyTimeout;
    Pending.m_Exchanges.back().m_CheckAt = Now + ReplyTimeout;
    return;
  }
  if (Pending.m_Incoming.m_Meta.m_Idempotent) {
    const PeerExchange Lost = closeExchange(Pending, Index);
    if (!Pending.m_Keyed)
      m_Picker.abandoned(Lost.m_Session, Now - Lost.m_SentAt, Now);
    m_Context.send(Lost.m_Peer, ForwardCancel{.m_Stream = Lost.m_Stream});
    Pending.m_Avoid.push_back(Lost.m_Session);
    ForwardReply Unknown;
    Unknown.m_Reason = Reason::PeerLost;
    onUnknown(Handle, Pending, Unknown, Now);
    return;
  }
  std::uint64_t Forward = Pending.m_Exchanges[Index].m_Stream;
  if (Pending.m_Exchanges[Index].m_Kind == ExchangeKind::ForwardOutcome)
    Forward = closeExchange(Pending, Index).m_ForwardStream;
  else
    Pending.m_Exchanges[Index].m_CheckAt = TimePoint::max();
  PeerExchange &QueryExchange = openExchange(
      Handle, Pending, ExchangeKind::ForwardOutcome, Receiver, Now);
  QueryExchange.m_ForwardStream = Forward;
  QueryExchange.m_ReplyTimeout = ReplyTimeout;
  QueryExchange.m_CheckAt = Now + ReplyTimeout;
  OutcomeQuery Query;
  Query.m_Stream = QueryExchange.m_Stream;
  Query.m_Meta = Pending.m_Incoming.m_Meta;
  Query.m_To = Receiver.m_Session;
  Query.m_ForwardStream = Forward;
  m_Context.send(Receiver.m_Peer, std::move(Query));
}

void Entrance::onPeerLost(const PeerAddress &Peer, TimePoint Now) {
  // Messages may have been lost with the connection: check again soon, on a new
  // connection.
  for (auto &[Handle, Pending] : m_Requests) {
    for (PeerExchange &Each : Pending.m_Exchanges) {
      if (Each.m_Peer != Peer || Each.m_CheckAt == TimePoint::max())
        continue;
      const TimePoint RecheckAt =
          Now + std::max(ConnectionLossRecheckDelay, Each.m_ReplyTimeout / 2);
      Each.m_HasReceipt = false;
      Each.m_CheckAt = std::min(Each.m_CheckAt, RecheckAt);
    }
    reschedule(Handle, Pending);
  }
}

} // namespace balsamwheel
