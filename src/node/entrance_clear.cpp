// Implements the clearing of retries: before a later attempt of a
// non-idempotent request may run, every daemon that may have run an earlier one
// is asked.
#include "balsamwheel/detail/node/entrance.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <string>

namespace balsamwheel {

namespace {

/// The clocks of two daemons may differ in rate by up to 1/16: a memory age
/// that another daemon reports is reduced by this fraction.
constexpr int DriftDivisor = 16;

} // namespace

std::uint64_t
Entrance::digestSessions(const std::vector<Destination> &Sessions) {
  std::vector<std::string> Names;
  Names.reserve(Sessions.size());
  for (const Destination &Each : Sessions)
    Names.push_back(std::to_string(Each.m_Session.value()));
  std::ranges::sort(Names);
  std::string All;
  for (const std::string &Name : Names)
    All += Name + ',';
  return hashKey(All).value();
}

bool Entrance::memoryCovers(const Request &Pending, Duration MemoryAge,
                            TimePoint Now) const {
  const Duration GuaranteedAge = MemoryAge - MemoryAge / DriftDivisor;
  return GuaranteedAge >= Now - Pending.m_EarliestFirstSend;
}

void Entrance::sendClearingQuery(RequestHandle Handle, Request &Pending,
                                 const Destination &Receiver, TimePoint Now) {
  const PeerExchange &Opened = openExchange(
      Handle, Pending, ExchangeKind::RetryClearance, Receiver, Now);
  OutcomeQuery Query;
  Query.m_Stream = Opened.m_Stream;
  Query.m_Meta = Pending.m_Incoming.m_Meta;
  Query.m_To = Receiver.m_Session;
  Query.m_AskedSessionsDigest = Pending.m_AskedSessionsDigest;
  m_Context.send(Receiver.m_Peer, std::move(Query));
}

void Entrance::clearKeyed(RequestHandle Handle, Request &Pending,
                          const Destination &Receiver, TimePoint Now) {
  Pending.m_Cleared = false;
  Pending.m_Clearances.clear();
  sendClearingQuery(Handle, Pending, Receiver, Now);
  reschedule(Handle, Pending);
}

void Entrance::clearUnkeyed(RequestHandle Handle, Request &Pending,
                            TimePoint Now) {
  Pending.m_Clearances.clear();
  m_History.update(m_Context.coordinator().members(), Now);
  if (!m_History.completeSince(Pending.m_Incoming.m_Meta.m_Service,
                               Pending.m_EarliestFirstSend)) {
    finishUncleared(Handle, Pending, Now);
    return;
  }
  std::vector<Destination> ServiceMembers;
  for (const Member &Each : m_Context.coordinator().members())
    if (Each.m_Service == Pending.m_Incoming.m_Meta.m_Service)
      ServiceMembers.push_back({Each.m_Session, Each.m_Peer, Epoch()});
  Pending.m_AskedSessionsDigest = digestSessions(ServiceMembers);
  for (const Destination &Receiver : ServiceMembers)
    sendClearingQuery(Handle, Pending, Receiver, Now);
  if (Pending.m_Exchanges.empty())
    retryRouting(Handle, Pending, {Outcome::Wait, Reason::NoOwner}, Now);
  else
    reschedule(Handle, Pending);
}

void Entrance::onClearingReply(RequestHandle Handle, Request &Pending,
                               const PeerExchange &Asked,
                               const ForwardReply &Reply, TimePoint Now) {
  const bool Covered = memoryCovers(Pending, Reply.m_MemoryAge, Now);
  if (!Pending.m_Keyed) {
    if (!Covered) {
      finishUncleared(Handle, Pending, Now);
      return;
    }
    Pending.m_Clearances[Asked.m_Session] = {Asked.m_Stream, Epoch()};
    if (!Pending.m_Exchanges.empty()) {
      reschedule(Handle, Pending);
      return;
    }
    Pending.m_Cleared = true;
    dispatch(Handle, Now);
    return;
  }
  const bool AskedFormer = !Pending.m_Clearances.empty();
  if (!AskedFormer && Reply.m_Reason != Reason::None) {
    const Member *Owner = m_Context.coordinator().findMember(Reply.m_Owner);
    if (Owner != nullptr)
      Pending.m_Redirect =
          Destination{Reply.m_Owner, Owner->m_Peer, Reply.m_Epoch};
    retryRouting(Handle, Pending, {Outcome::Wait, Reply.m_Reason}, Now);
    return;
  }
  if (!AskedFormer)
    Pending.m_Clearances[Asked.m_Session] = {Asked.m_Stream, Reply.m_Epoch};
  if (Covered) {
    Pending.m_Cleared = true;
    dispatch(Handle, Now);
    return;
  }
  const Member *Former =
      AskedFormer ? nullptr
                  : m_Context.coordinator().findMember(Reply.m_FormerOwner);
  if (Former == nullptr) {
    finishUncleared(Handle, Pending, Now);
    return;
  }
  sendClearingQuery(Handle, Pending,
                    {Former->m_Session, Former->m_Peer, Epoch()}, Now);
  reschedule(Handle, Pending);
}

void Entrance::finishUncleared(RequestHandle Handle, Request &Pending,
                               TimePoint Now) {
  // All forwards of this attempt are proven not to run; earlier attempts may
  // have run.
  const bool FirstAttempt = Pending.m_Incoming.m_Meta.m_Attempt <= 1;
  if (FirstAttempt)
    finish(Handle,
           {Outcome::Wait, Reason::HandoverPending, UnclearedRetryAfter}, Now);
  else
    finish(Handle, {Outcome::Unknown, Reason::MemoryLost}, Now);
}

} // namespace balsamwheel
