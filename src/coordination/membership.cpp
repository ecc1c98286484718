// Joining a group, heartbeats and their acknowledgements, leaving.
#include "balsamwheel/detail/coordination/membership.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

constexpr Duration ReadRetryDelay = std::chrono::milliseconds(150);
/// Upper bound of the random delay that keeps the heartbeats of a group from
/// being sent at the same instant.
constexpr Duration HeartbeatJitter = std::chrono::milliseconds(20);
/// Witnesses extend a lease at most this long past its last commit.
constexpr Duration ExtensionLimit = std::chrono::hours(1);
/// Number of other members that are sent a heartbeat before this session writes
/// the row itself.
constexpr std::size_t MaxRemoteWriters = 2;
/// While witnesses extend the lease, this session tries to write the row itself
/// only in every n-th heartbeat.
constexpr std::uint64_t SelfWriteInterval = 8;
/// How long a member comes first in the writer order after it committed
/// heartbeats that the writers before it did not acknowledge.
constexpr Duration WriterPreferenceTime = std::chrono::seconds(5);
/// Consecutive heartbeats without an acknowledgement from the first writer
/// before another writer is preferred.
constexpr std::size_t FailoversBeforePreference = 2;
/// Time-out for removing this session from its group's row.
constexpr Duration LeaveTimeout = std::chrono::seconds(6);
/// The number of a new group is drawn from a range that doubles with each
/// further attempt to join, at most this many times.
constexpr std::size_t MaxGroupDoublings = 6;

} // namespace

Membership::Membership(CoordinationContext &Context)
    : m_Context(&Context), m_Poller(Context),
      m_Leader(
          Context, m_Poller,
          [this](const PeerAddress &Receiver, const HeartbeatAck &Ack,
                 TimePoint Now) {
            if (Receiver == m_Context->m_Options.m_Peer)
              onAck(Ack, Receiver, Now);
            else
              m_Context->send(Receiver, Ack);
          },
          [this](SessionId Witness, const PromiseRequest &Request,
                 TimePoint Now) {
            const Member *Receiver = m_Context->m_View.findMember(Witness);
            if (Receiver && Receiver->m_Peer != m_Self.m_Peer)
              m_Context->send(Receiver->m_Peer, Request);
            else if (Receiver)
              for (const PromiseReply &Reply : answerPromises(Request, Now))
                m_Leader.onPromiseReply(Reply);
          }),
      m_Lease(Context.m_Options.m_Timing.m_Lease, ExtensionLimit),
      m_Witness(grantDuration()) {
  const CoordinatorOptions &Options = Context.m_Options;
  m_Self.m_Session = Context.m_Session;
  m_Self.m_Instance = Options.m_Instance;
  m_Self.m_Domain = Options.m_Domain;
  m_Self.m_Region = Options.m_Region;
  m_Self.m_Peer = Options.m_Peer;
  m_Self.m_CallerAddress = Options.m_CallerAddress;
  m_Self.m_AdminAddress = Options.m_AdminAddress;
  m_Entry = toEntry(m_Self);
}

Duration Membership::grantDuration() const {
  const CoordinationTiming &Timing = m_Context->m_Options.m_Timing;
  return Timing.m_Lease + Timing.m_LeaseMargin;
}

void Membership::start(TimePoint Now) {
  m_StartedAt = Now;
  readTable(Now);
}

void Membership::readTable(TimePoint Now) {
  m_State = State::Reading;
  m_RetryAt = Never;
  m_Poller.readAll(Now, [this](bool Ok, TimePoint Later) {
    if (m_State != State::Reading)
      return;
    if (Ok)
      beginJoin(Later);
    else
      m_RetryAt = Later + ReadRetryDelay + m_Context->jitter(ReadRetryDelay);
  });
}

void Membership::beginJoin(TimePoint Now) {
  m_State = State::Joining;
  m_Group = chooseGroup();
  m_Leader.setGroup(m_Group);
  ++m_JoinRounds;
  startHeartbeat(Now);
}

std::uint32_t Membership::chooseGroup() const {
  const auto &Groups = m_Context->m_View.groups();
  const GroupRow *Best = nullptr;
  std::pair<std::size_t, std::uint32_t> BestScore;
  std::uint32_t Next = 0;
  for (const auto &[Number, Group] : Groups) {
    Next = std::max(Next, Number + 1);
    std::size_t SameDomain = 0;
    for (const GroupMember &Each : Group.m_Members) {
      if (Each.m_Member.m_Peer == m_Self.m_Peer && m_JoinRounds == 0)
        return Number;
      SameDomain += Each.m_Member.m_Domain == m_Self.m_Domain ? 1 : 0;
    }
    const std::pair Score(SameDomain, Number);
    if (Group.m_Members.size() >= m_Context->m_Options.m_GroupSize ||
        (Best && BestScore <= Score))
      continue;
    Best = &Group;
    BestScore = Score;
  }
  if (Best)
    return Best->m_Group;
  const std::size_t Doublings = std::min(m_JoinRounds, MaxGroupDoublings);
  const auto CandidateCount = static_cast<std::uint64_t>(1) << Doublings;
  return Next +
         static_cast<std::uint32_t>(m_Context->m_Random() % CandidateCount);
}

void Membership::rejoinAsNewSession(TimePoint Now) {
  const bool WasJoined = m_State == State::Joined;
  m_Lease = LeaseHolder(m_Context->m_Options.m_Timing.m_Lease, ExtensionLimit);
  m_Witness = Witness(grantDuration());
  // Sessions that ended long ago need no entry, see hasEndedLongAgo(); neither
  // does one that has not joined, since it never held a lease.
  std::erase_if(m_FormerSessions, [this, Now](const auto &Item) {
    return Now - Item.second >= grantDuration();
  });
  if (WasJoined)
    m_FormerSessions[m_Context->m_Session] = Now;
  m_Context->m_Session = m_Context->newSession();
  m_Self.m_Session = m_Context->m_Session;
  m_Entry = toEntry(m_Self);
  m_EntrySequence = 1;
  m_AckedRow = RowVersion();
  m_AckedHead = RowVersion();
  m_DeferredAck.reset();
  m_HeartbeatAt = m_NextAttemptAt = m_ExtendAt = Never;
  if (WasJoined)
    m_JoinRounds = 0;
  if (m_OnNewSession)
    m_OnNewSession();
  readTable(Now);
}

void Membership::startHeartbeat(TimePoint Now) {
  m_Lease.startRenewal(Now);
  ++m_HeartbeatCount;
  m_LastHeartbeat = Now;
  m_HeartbeatAt = Now + m_Context->m_Options.m_Timing.m_HeartbeatPeriod;
  m_Attempt = 0;
  // While the table is unreachable, every member is sent the heartbeat, so that
  // the first one that reaches the table renews the whole group.
  if (m_Lease.extended())
    broadcastHeartbeat();
  sendToNextWriter(Now);
}

std::vector<SessionId> Membership::writerOrder(TimePoint Now) const {
  const SessionId Self = m_Context->m_Session;
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  std::vector<SessionId> Result;
  if (Group) {
    Result = leaderOrder(*Group);
    const auto Preferred = std::ranges::find(Result, m_PreferredWriter);
    if (Now < m_PreferredUntil && Preferred != Result.end())
      std::rotate(Result.begin(), Preferred, std::next(Preferred));
  }
  const bool First = !Result.empty() && Result.front() == Self;
  std::erase(Result, Self);
  if (Result.size() > MaxRemoteWriters)
    Result.resize(MaxRemoteWriters);
  if (First)
    Result.insert(Result.begin(), Self);
  const bool SkipSelf = m_Lease.extended() && !Result.empty() &&
                        m_HeartbeatCount % SelfWriteInterval != 0;
  if (!First && !SkipSelf)
    Result.push_back(Self);
  return Result;
}

Heartbeat Membership::makeHeartbeat() const {
  Heartbeat Result;
  Result.m_Group = m_Group;
  Result.m_Session = m_Context->m_Session;
  Result.m_Sequence = m_Lease.sequence();
  Result.m_ConfigApplied = m_Context->m_View.configVersion();
  Result.m_HeadVersionSeen = m_Context->m_View.completeHeadVersion().value();
  if (m_EntrySequence > m_Lease.committed())
    Result.m_Entry = m_Entry;
  return Result;
}

void Membership::broadcastHeartbeat() {
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  if (!Group)
    return;
  for (const GroupMember &Each : Group->m_Members)
    m_Context->send(Each.m_Member.m_Peer, makeHeartbeat());
}

void Membership::sendToNextWriter(TimePoint Now) {
  const std::vector<SessionId> Order = writerOrder(Now);
  m_NextAttemptAt = Never;
  if (m_Attempt >= Order.size())
    return;
  const SessionId Receiver = Order[m_Attempt++];
  const Heartbeat Message = makeHeartbeat();
  if (Receiver == m_Context->m_Session)
    m_Leader.onHeartbeat(Message, m_Context->m_Options.m_Peer, Now);
  else
    m_Context->sendTo(Receiver, Message);
  m_NextAttemptAt = Now + m_Context->m_Options.m_Timing.m_AckTimeout;
}

void Membership::onHeartbeat(const Heartbeat &Message, const PeerAddress &From,
                             TimePoint Now) {
  if (m_State == State::Joined)
    m_Leader.onHeartbeat(Message, From, Now);
}

bool Membership::isUpToDate(RowVersion Head, TimePoint Now) const {
  // While the lease is held, no shard can have been taken from this session, so
  // its view may lag behind by one acknowledgement.
  const RowVersion Needed = m_Lease.holds(Now) ? m_AckedHead : Head;
  return m_Context->m_View.completeHeadVersion() >= Needed;
}

void Membership::onAck(const HeartbeatAck &Message, const PeerAddress &From,
                       TimePoint Now) {
  const bool IsMember = m_State == State::Joining || m_State == State::Joined;
  if (!IsMember || Message.m_Group != m_Group ||
      Message.m_Session != m_Context->m_Session)
    return;
  if (Message.m_Expelled) {
    if (m_State == State::Joining || Message.m_GroupRowVersion > m_AckedRow)
      rejoinAsNewSession(Now);
    return;
  }
  if (Message.m_SequenceCommitted > m_Lease.committed())
    applyAck(Message, From, Now);
  if (Message.m_NextHeartbeatIn > Duration(0))
    alignHeartbeat(Now + Message.m_NextHeartbeatIn);
  if (Message.m_SequenceCommitted >= m_Lease.sequence())
    m_NextAttemptAt = Never;
}

void Membership::alignHeartbeat(TimePoint GroupHeartbeatAt) {
  const Duration Period = m_Context->m_Options.m_Timing.m_HeartbeatPeriod;
  // A heartbeat right after the previous one would hardly prolong the lease:
  // skip to the next period.
  if (GroupHeartbeatAt - m_LastHeartbeat < Period * 2 / 5)
    GroupHeartbeatAt += Period;
  m_HeartbeatAt = GroupHeartbeatAt + m_Context->jitter(HeartbeatJitter);
}

void Membership::applyAck(const HeartbeatAck &Message, const PeerAddress &From,
                          TimePoint Now) {
  m_State = State::Joined;
  m_AckedRow = std::max(m_AckedRow, Message.m_GroupRowVersion);
  m_Failovers = m_Attempt > 1 ? m_Failovers + 1 : 0;
  if (m_Failovers >= FailoversBeforePreference)
    preferWriter(From, Now);
  const bool Behind = m_Context->m_View.completeHeadVersion() < Message.m_Head;
  const bool WasBehind = m_Context->m_View.completeHeadVersion() < m_AckedHead;
  if (isUpToDate(Message.m_Head, Now)) {
    m_Lease.onCommitted(Message.m_SequenceCommitted);
    m_DeferredAck.reset();
  } else {
    m_DeferredAck = Message;
  }
  if (Behind && (WasBehind || m_DeferredAck))
    m_Context->send(From,
                    ChangesRequest{m_Context->m_View.completeHeadVersion()});
  m_AckedHead = std::max(m_AckedHead, Message.m_Head);
  scheduleExtension();
}

void Membership::preferWriter(const PeerAddress &Writer, TimePoint Now) {
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  if (!Group)
    return;
  for (const GroupMember &Each : Group->m_Members)
    if (Each.m_Member.m_Peer == Writer)
      m_PreferredWriter = Each.m_Member.m_Session;
  m_PreferredUntil = Now + WriterPreferenceTime;
}

void Membership::onChangesRequest(const ChangesRequest &Message,
                                  const PeerAddress &From) {
  m_Context->send(From, Changes{m_Context->m_View.completeHeadVersion(),
                                m_Context->m_View.rowsSince(Message.m_Head)});
}

void Membership::onViewChanged(TimePoint Now) {
  m_Leader.onViewChanged(Now);
  if (m_State != State::Joined)
    return;
  const GroupRow *Group = m_Context->m_View.findGroup(m_Group);
  if (Group && Group->m_Version > m_AckedRow &&
      !Group->find(m_Context->m_Session)) {
    rejoinAsNewSession(Now);
    return;
  }
  updateWitnessedSessions(Now);
  if (m_DeferredAck && isUpToDate(m_DeferredAck->m_Head, Now)) {
    m_Lease.onCommitted(m_DeferredAck->m_SequenceCommitted);
    m_DeferredAck.reset();
    scheduleExtension();
  }
}

void Membership::onEntryChanged(TimePoint Now) {
  m_Entry = toEntry(m_Self);
  m_EntrySequence = m_Lease.sequence() + 1;
  if (m_State == State::Joined || m_State == State::Joining)
    startHeartbeat(Now);
}

void Membership::setTarget(const ServiceName &Service, std::uint32_t Slots,
                           TimePoint Now) {
  if (m_Self.m_Service == Service && m_Self.m_Slots == Slots)
    return;
  m_Self.m_Service = Service;
  m_Self.m_Slots = Slots;
  onEntryChanged(Now);
}

void Membership::setLeaving(bool Leaving, TimePoint Now) {
  if (m_Self.m_Leaving == Leaving)
    return;
  m_Self.m_Leaving = Leaving;
  onEntryChanged(Now);
}

void Membership::leave(TimePoint Now) {
  if (m_State == State::Leaving || m_State == State::Left)
    return;
  const bool InRow = m_State == State::Joined || m_State == State::Joining;
  m_Lease.release();
  m_State = InRow ? State::Leaving : State::Left;
  m_HeartbeatAt = m_NextAttemptAt = m_ExtendAt = Never;
  m_RetryAt = Now + LeaveTimeout;
  if (InRow)
    m_Leader.removeSelf(Now, [this](bool) { m_State = State::Left; });
}

void Membership::onTick(TimePoint Now) {
  if (Now >= m_RetryAt) {
    m_RetryAt = Never;
    if (m_State == State::Reading)
      readTable(Now);
    else if (m_State == State::Leaving)
      m_State = State::Left;
  }
  if (Now >= m_HeartbeatAt)
    startHeartbeat(Now);
  if (Now >= m_NextAttemptAt)
    sendToNextWriter(Now);
  if (Now >= m_ExtendAt)
    requestExtension(Now);
  m_Leader.onTick(Now);
}

TimePoint Membership::nextWake() const {
  return std::min({m_RetryAt, m_HeartbeatAt, m_NextAttemptAt, m_ExtendAt,
                   m_Leader.nextWake()});
}

} // namespace balsamwheel
