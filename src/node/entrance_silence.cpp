// Silent connections: probes, resets, and the fate of what was sent on them.
#include "balsamwheel/detail/node/entrance.h"

#include <algorithm>

namespace balsamwheel {

namespace {

constexpr Duration MaxPatience = std::chrono::milliseconds(800);
constexpr Duration LostDelay = std::chrono::milliseconds(10);

} // namespace

void Entrance::checkLeg(RequestHandle Handle, Request &Value, std::size_t Index,
                        TimePoint Now) {
  Leg &Each = Value.m_Legs[Index];
  const bool Gone =
      m_Context.coordinator().findMember(Each.m_Session) == nullptr;
  if (Gone) {
    // The session has ended for good; nobody can tell any more.
    const Leg Lost = closeLeg(Value, Index);
    ForwardReply Unknown;
    Unknown.m_Reason = Reason::PeerLost;
    if (Lost.m_Kind != LegKind::Clear)
      onUnknown(Handle, Value, Unknown, Now);
    else if (Value.m_Keyed)
      retryRoute(Handle, Value, {Outcome::Wait, Reason::NoOwner}, Now);
    else
      notCleared(Handle, Value, Now);
    return;
  }
  if (Each.m_Probe == 0) {
    Each.m_Probe = m_Watch.probe(Each.m_Peer);
    Each.m_CheckAt = Now + Each.m_Patience;
    return;
  }
  const bool Alive = m_Watch.answered(Each.m_Peer, Each.m_Probe);
  Each.m_Probe = 0;
  if (!Alive)
    m_Watch.reset(Each.m_Peer, Now);
  if (Alive && Each.m_Receipt && Value.m_In.m_Meta.m_Idempotent) {
    Each.m_CheckAt = Now + LongSilence;
    return;
  }
  recover(Handle, Value, Index, Now);
}

void Entrance::recover(RequestHandle Handle, Request &Value, std::size_t Index,
                       TimePoint Now) {
  const Duration Patience =
      std::min(Value.m_Legs[Index].m_Patience * 2, MaxPatience);
  const Destination To{Value.m_Legs[Index].m_Session,
                       Value.m_Legs[Index].m_Peer, Epoch()};
  if (Value.m_Legs[Index].m_Kind == LegKind::Clear) {
    closeLeg(Value, Index);
    sendClear(Handle, Value, To, Now);
    Value.m_Legs.back().m_Patience = Patience;
    Value.m_Legs.back().m_CheckAt = Now + Patience;
    return;
  }
  if (Value.m_In.m_Meta.m_Idempotent) {
    const Leg Lost = closeLeg(Value, Index);
    if (!Value.m_Keyed)
      m_Picker.abandoned(Lost.m_Session, Now - Lost.m_SentAt, Now);
    m_Context.send(Lost.m_Peer, ForwardCancel{.m_Stream = Lost.m_Stream});
    Value.m_Avoid.push_back(Lost.m_Session);
    ForwardReply Unknown;
    Unknown.m_Reason = Reason::PeerLost;
    onUnknown(Handle, Value, Unknown, Now);
    return;
  }
  std::uint64_t Forward = Value.m_Legs[Index].m_Stream;
  if (Value.m_Legs[Index].m_Kind == LegKind::Fate)
    Forward = closeLeg(Value, Index).m_Forward;
  else
    Value.m_Legs[Index].m_CheckAt = TimePoint::max();
  Leg &Asking = openLeg(Handle, Value, LegKind::Fate, To, Now);
  Asking.m_Forward = Forward;
  Asking.m_Patience = Patience;
  Asking.m_CheckAt = Now + Patience;
  OutcomeQuery Query;
  Query.m_Stream = Asking.m_Stream;
  Query.m_Meta = Value.m_In.m_Meta;
  Query.m_To = To.m_Session;
  Query.m_Forward = Forward;
  m_Context.send(To.m_Peer, std::move(Query));
}

void Entrance::onPeerLost(const PeerAddress &Peer, TimePoint Now) {
  // What was sent may be lost with the connection: ask soon, on a new one.
  for (auto &[Handle, Value] : m_Requests) {
    for (Leg &Each : Value.m_Legs) {
      if (Each.m_Peer != Peer || Each.m_CheckAt == TimePoint::max())
        continue;
      const TimePoint Soon = Now + std::max(LostDelay, Each.m_Patience / 2);
      Each.m_Receipt = false;
      Each.m_CheckAt = std::min(Each.m_CheckAt, Soon);
    }
    reschedule(Handle, Value);
  }
}

} // namespace balsamwheel
