// Clearing of retries: before a later attempt of a non-idempotent request may
// run, every daemon that may have run an earlier one is asked.
#include "balsamwheel/detail/node/entrance.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <string>

namespace balsamwheel {

namespace {

/// Allowance for clocks that run at different rates, as a divisor.
constexpr int DriftDivisor = 16;

} // namespace

std::uint64_t Entrance::digestOf(const std::vector<Destination> &Sessions) {
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

bool Entrance::covers(const Request &Value, Duration MemoryAge,
                      TimePoint Now) const {
  const Duration Sure = MemoryAge - MemoryAge / DriftDivisor;
  return Sure >= Now - Value.m_FirstAt;
}

void Entrance::sendClear(RequestHandle Handle, Request &Value,
                         const Destination &To, TimePoint Now) {
  const Leg &Opened = openLeg(Handle, Value, LegKind::Clear, To, Now);
  OutcomeQuery Query;
  Query.m_Stream = Opened.m_Stream;
  Query.m_Meta = Value.m_In.m_Meta;
  Query.m_To = To.m_Session;
  Query.m_Asked = Value.m_Asked;
  m_Context.send(To.m_Peer, std::move(Query));
}

void Entrance::clearKeyed(RequestHandle Handle, Request &Value,
                          const Destination &To, TimePoint Now) {
  Value.m_Cleared = false;
  Value.m_Clearances.clear();
  sendClear(Handle, Value, To, Now);
  reschedule(Handle, Value);
}

void Entrance::clearAny(RequestHandle Handle, Request &Value, TimePoint Now) {
  Value.m_Clearances.clear();
  m_History.update(m_Context.coordinator().members(), Now);
  if (!m_History.completeSince(Value.m_In.m_Meta.m_Service, Value.m_FirstAt)) {
    notCleared(Handle, Value, Now);
    return;
  }
  std::vector<Destination> Everyone;
  for (const Member &Each : m_Context.coordinator().members())
    if (Each.m_Service == Value.m_In.m_Meta.m_Service)
      Everyone.push_back({Each.m_Session, Each.m_Peer, Epoch()});
  Value.m_Asked = digestOf(Everyone);
  for (const Destination &To : Everyone)
    sendClear(Handle, Value, To, Now);
  if (Value.m_Legs.empty())
    retryRoute(Handle, Value, {Outcome::Wait, Reason::NoOwner}, Now);
  else
    reschedule(Handle, Value);
}

void Entrance::onCleared(RequestHandle Handle, Request &Value, const Leg &Asked,
                         const ForwardReply &Reply, TimePoint Now) {
  const bool Covered = covers(Value, Reply.m_MemoryAge, Now);
  if (!Value.m_Keyed) {
    if (!Covered) {
      notCleared(Handle, Value, Now);
      return;
    }
    Value.m_Clearances[Asked.m_Session] = {Asked.m_Stream, Epoch()};
    if (!Value.m_Legs.empty()) {
      reschedule(Handle, Value);
      return;
    }
    Value.m_Cleared = true;
    dispatch(Handle, Now);
    return;
  }
  const bool AskedFormer = !Value.m_Clearances.empty();
  if (!AskedFormer && Reply.m_Reason != Reason::None) {
    const Member *Owner = m_Context.coordinator().findMember(Reply.m_Owner);
    if (Owner != nullptr)
      Value.m_Redirect =
          Destination{Reply.m_Owner, Owner->m_Peer, Reply.m_Epoch};
    retryRoute(Handle, Value, {Outcome::Wait, Reply.m_Reason}, Now);
    return;
  }
  if (!AskedFormer)
    Value.m_Clearances[Asked.m_Session] = {Asked.m_Stream, Reply.m_Epoch};
  if (Covered) {
    Value.m_Cleared = true;
    dispatch(Handle, Now);
    return;
  }
  const Member *Former =
      AskedFormer ? nullptr
                  : m_Context.coordinator().findMember(Reply.m_Former);
  if (Former == nullptr) {
    notCleared(Handle, Value, Now);
    return;
  }
  sendClear(Handle, Value, {Former->m_Session, Former->m_Peer, Epoch()}, Now);
  reschedule(Handle, Value);
}

void Entrance::notCleared(RequestHandle Handle, Request &Value, TimePoint Now) {
  // What this attempt sent is proven not to run; earlier ones are not.
  const bool FirstAttempt = Value.m_In.m_Meta.m_Attempt <= 1;
  if (FirstAttempt)
    finish(Handle, {Outcome::Wait, Reason::HandoverPending, RouteRetryAfter},
           Now);
  else
    finish(Handle, {Outcome::Unknown, Reason::MemoryLost}, Now);
}

} // namespace balsamwheel
