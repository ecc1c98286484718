// Batches heartbeats into commits of the group's row and acknowledges them.
#include "balsamwheel/detail/coordination/group_leader.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// Heartbeats that arrive within this time share a write.
constexpr Duration BatchDelay = std::chrono::milliseconds(60);
/// Minimum time between two writes of the row. Together with the batch delay it
/// is shorter than the time-out after which members try another writer.
constexpr Duration MinFlushInterval = std::chrono::milliseconds(120);
/// Base of the back-off after a failure of the table, and bound of its jitter.
constexpr Duration RetryDelay = std::chrono::milliseconds(200);
/// This many members at the front of the leader order write the row for others.
constexpr std::ptrdiff_t MaxWriters = 4;
/// Bound of the random delay before a write is retried after a conflict.
constexpr Duration ConflictJitter = std::chrono::milliseconds(40);
constexpr Duration ExpulsionCheckPeriod = std::chrono::milliseconds(100);
/// Witnesses extend a lease at most this long past its last commit.
constexpr Duration ExtensionLimit = std::chrono::hours(1);
/// Every n-th poll of the head row also reads the row of the next group.
constexpr std::uint32_t PollsPerWatch = 4;
/// Members beyond the group size that are admitted, since several may join at
/// the same time.
constexpr std::size_t GroupOverflow = 4;

ExpulsionTracker::Options expulsionOptions(const CoordinatorOptions &Options) {
  const CoordinationTiming &Timing = Options.m_Timing;
  return {.m_LeaseWait = Timing.m_Lease + Timing.m_LeaseMargin,
          .m_PromiseLimit =
              ExtensionLimit + Timing.m_Lease + Timing.m_LeaseMargin,
          .m_SuspectAfter = Timing.m_HeartbeatPeriod + Timing.m_AckTimeout,
          .m_UseWitnesses = Options.m_UseWitnesses};
}

} // namespace

GroupLeader::GroupLeader(CoordinationContext &Context, HeadPoller &Poller,
                         AckSender SendAck,
                         PromiseRequestSender SendPromiseRequest)
    : m_Context(&Context), m_Poller(&Poller), m_SendAck(std::move(SendAck)),
      m_SendPromiseRequest(std::move(SendPromiseRequest)),
      m_Expulsion(expulsionOptions(Context.m_Options)) {}

void GroupLeader::setGroup(std::uint32_t Group) {
  m_Group = Group;
  m_Pending.clear();
  m_FlushAt = Never;
  m_LeadershipRenewedAt = TimePoint{};
  m_PollAt = Never;
  m_ExpulsionCheckAt = Never;
}

GroupRow GroupLeader::currentRow(std::uint32_t Group) const {
  if (const GroupRow *Known = m_Context->m_View.findGroup(Group))
    return *Known;
  GroupRow Result;
  Result.m_Group = Group;
  return Result;
}

bool GroupLeader::isLeader(TimePoint Now) const {
  return m_LeadershipRenewedAt != TimePoint{} &&
         Now - m_LeadershipRenewedAt <=
             2 * m_Context->m_Options.m_Timing.m_HeartbeatPeriod;
}

void GroupLeader::onHeartbeat(const Heartbeat &Message, const PeerAddress &From,
                              TimePoint Now) {
  if (Message.m_Group != m_Group)
    return;
  m_Expulsion.observe(Message.m_Session, Message.m_Sequence, Now);
  const auto [Found, New] = m_Pending.try_emplace(Message.m_Session);
  PendingHeartbeat &Stored = Found->second;
  if (New || Message.m_Sequence >= Stored.m_Heartbeat.m_Sequence) {
    std::string Entry = std::move(Stored.m_Heartbeat.m_Entry);
    Stored = {.m_Heartbeat = Message, .m_From = From};
    if (Message.m_Entry.empty())
      Stored.m_Heartbeat.m_Entry = std::move(Entry);
  }
  if (m_FlushAt == Never && isWriterFor(Message.m_Session))
    m_FlushAt = std::max(Now + BatchDelay, m_LastFlush + MinFlushInterval);
}

bool GroupLeader::isWriterFor(SessionId Session) const {
  if (Session == m_Context->m_Session)
    return true;
  const std::vector<SessionId> Order = leaderOrder(currentRow(m_Group));
  const auto Self = std::ranges::find(Order, m_Context->m_Session);
  return std::distance(Order.begin(), Self) < MaxWriters;
}

bool GroupLeader::isFirstWriter() const {
  const std::vector<SessionId> Order = leaderOrder(currentRow(m_Group));
  return Order.empty() || Order.front() == m_Context->m_Session;
}

Duration GroupLeader::retryDelay() {
  const Duration Delay =
      RetryDelay * (1U << std::min(m_ConsecutiveFailures, 2U));
  ++m_ConsecutiveFailures;
  return Delay + m_Context->jitter(RetryDelay);
}

void GroupLeader::onPromiseReply(const PromiseReply &Reply) {
  if (Reply.m_Promised)
    m_Expulsion.onPromise(Reply.m_Subject, Reply.m_Sequence, Reply.m_Witness);
}

void GroupLeader::flush(TimePoint Now) {
  m_FlushAt = Never;
  if (m_Writing) {
    m_FlushAt = Now + BatchDelay;
    return;
  }
  const bool Fresh =
      Now - m_Poller->upToDateAt() <= m_Context->m_Options.m_Timing.m_Lease / 2;
  // The first writer commits without a read if its view is recent. Others
  // always read the row: a writer before them may have committed the heartbeats
  // already.
  if (Fresh && isFirstWriter()) {
    flushWithFreshView(Now);
    return;
  }
  m_Writing = true;
  m_Poller->poll(Now, {groupRowKey(m_Group)}, [this](bool Ok, TimePoint Later) {
    m_Writing = false;
    if (Ok)
      flushWithFreshView(Later);
    else
      m_FlushAt = Later + retryDelay();
  });
}

void GroupLeader::flushWithFreshView(TimePoint Now) {
  GroupRow Row = currentRow(m_Group);
  observe(Row, Now);
  acknowledgeCommitted(Now);
  const bool HadPending = !m_Pending.empty() || m_RemoveSelf;
  bool Structural = applyHeartbeats(Row);
  Structural = expelSilentMembers(Row, Now) || Structural;
  if (m_RemoveSelf) {
    Structural = Structural || Row.find(m_Context->m_Session);
    Row.remove(m_Context->m_Session);
  }
  if (HadPending || Structural)
    commitRow(std::move(Row), Structural, Now);
}

bool GroupLeader::applyHeartbeats(GroupRow &Row) {
  bool Structural = false;
  for (auto It = m_Pending.begin(); It != m_Pending.end();) {
    const PendingHeartbeat &Waiting = It->second;
    const SessionId Session = Waiting.m_Heartbeat.m_Session;
    const bool Known = Row.find(Session) != nullptr;
    const bool Admissible =
        !Waiting.m_Heartbeat.m_Entry.empty() && !Row.wasExpelled(Session) &&
        Row.m_Members.size() < m_Context->m_Options.m_GroupSize + GroupOverflow;
    if (!Known && !Admissible) {
      HeartbeatAck Refusal;
      Refusal.m_Group = m_Group;
      Refusal.m_Session = Session;
      Refusal.m_GroupRowVersion = Row.m_Version;
      Refusal.m_Expelled = true;
      m_Refusals.push_back({Waiting.m_From, Refusal});
      It = m_Pending.erase(It);
      continue;
    }
    Structural = applyHeartbeat(Row, Waiting) || Structural;
    ++It;
  }
  return Structural;
}

bool GroupLeader::applyHeartbeat(GroupRow &Row,
                                 const PendingHeartbeat &Waiting) {
  const Heartbeat &Message = Waiting.m_Heartbeat;
  std::optional<Member> Entry;
  if (!Message.m_Entry.empty())
    Entry = parseEntry(Message.m_Entry);
  GroupMember *Known = Row.find(Message.m_Session);
  bool Structural = false;
  if (!Known) {
    if (!Entry || Entry->m_Session != Message.m_Session)
      return false;
    Row.m_Members.push_back(
        {.m_Member = *Entry, .m_Sequence = 0, .m_Witnesses = {}});
    Known = &Row.m_Members.back();
    Structural = true;
  } else if (Message.m_Sequence <= Known->m_Sequence) {
    return false;
  } else if (Entry && toEntry(*Entry) != toEntry(Known->m_Member)) {
    Entry->m_ConfigApplied = Known->m_Member.m_ConfigApplied;
    Known->m_Member = *Entry;
    Structural = true;
  }
  Known->m_Sequence = Message.m_Sequence;
  Known->m_Member.m_ConfigApplied =
      std::max(Known->m_Member.m_ConfigApplied, Message.m_ConfigApplied);
  return Structural;
}

void GroupLeader::commitRow(GroupRow Next, bool Structural, TimePoint Now) {
  const RowKey Key = groupRowKey(Next.m_Group);
  if (Structural) {
    ++Next.m_Counter;
    assignWitnesses(Next);
  }
  Transaction Commit;
  Commit.m_Id = m_Context->newWriteId();
  Commit.m_Conditions.push_back({Key, Next.m_Version});
  Commit.m_Writes.push_back({Key, toValue(Next, Commit.m_Id)});
  if (Structural)
    appendHeadUpdate(Commit, m_Context->m_View.head(), {{Key, Next.m_Counter}});
  m_Writing = true;
  m_Context->m_Table.commit(std::move(Commit), Now,
                            [this, Structural](CommitResult Result,
                                               const std::vector<Row> &Rows,
                                               TimePoint Later) {
                              m_Writing = false;
                              onCommitted(Result, Rows, Structural, Later);
                            });
}

void GroupLeader::onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                              bool Structural, TimePoint Now) {
  if (Result == CommitResult::Unavailable) {
    m_FlushAt = Now + retryDelay();
    return;
  }
  m_ConsecutiveFailures = 0;
  if (Result == CommitResult::Refused) {
    m_Poller->poll(Now, {groupRowKey(m_Group)}, [this](bool, TimePoint Later) {
      m_FlushAt = Later + m_Context->jitter(ConflictJitter);
    });
    return;
  }
  m_Context->merge(Rows);
  m_LastFlush = Now;
  if (Structural)
    m_Poller->markUpToDate(Now);
  if (!isLeader(Now)) {
    m_PollAt = Now;
    m_ExpulsionCheckAt = Now;
  }
  m_LeadershipRenewedAt = Now;
  observe(currentRow(m_Group), Now);
  // Promises are requested only now that the row is known to be the newest: a
  // promise for a live member would block the extension of its lease.
  requestPromises(currentRow(m_Group), Now);
  acknowledgeAll(Now);
  if (!m_Pending.empty())
    m_FlushAt = Now + MinFlushInterval;
  if (m_RemoveSelf && m_OnRemoved) {
    m_RemoveSelf = false;
    std::exchange(m_OnRemoved, nullptr)(true);
  }
}

void GroupLeader::acknowledge(const GroupRow &Row, const GroupMember &Subject,
                              TimePoint Now) {
  HeartbeatAck Ack;
  Ack.m_Group = m_Group;
  Ack.m_Session = Subject.m_Member.m_Session;
  Ack.m_SequenceCommitted = Subject.m_Sequence;
  Ack.m_GroupRowVersion = Row.m_Version;
  Ack.m_Head = m_Context->m_View.completeHeadVersion();
  if (isFirstWriter())
    Ack.m_NextHeartbeatIn = nextHeartbeatIn(Now);
  m_SendAck(Subject.m_Member.m_Peer, Ack, Now);
}

Duration GroupLeader::nextHeartbeatIn(TimePoint Now) const {
  const Duration Period = m_Context->m_Options.m_Timing.m_HeartbeatPeriod;
  return Period - Now.time_since_epoch() % Period;
}

bool GroupLeader::isHeadRecent(TimePoint Now) const {
  return Now - m_Poller->upToDateAt() <= m_Context->m_Options.m_Timing.m_Lease;
}

void GroupLeader::acknowledgeAll(TimePoint Now) {
  for (auto &[Receiver, Refusal] : std::exchange(m_Refusals, {}))
    m_SendAck(Receiver, Refusal, Now);
  const GroupRow Row = currentRow(m_Group);
  if (isHeadRecent(Now))
    for (const GroupMember &Each : Row.m_Members)
      acknowledge(Row, Each, Now);
  std::erase_if(m_Pending, [&Row](const auto &Item) {
    const GroupMember *Known = Row.find(Item.first);
    return Known && Known->m_Sequence >= Item.second.m_Heartbeat.m_Sequence;
  });
}

void GroupLeader::acknowledgeCommitted(TimePoint Now) {
  const GroupRow Row = currentRow(m_Group);
  for (auto It = m_Pending.begin(); It != m_Pending.end();) {
    const GroupMember *Known = Row.find(It->first);
    if (!Known || Known->m_Sequence < It->second.m_Heartbeat.m_Sequence) {
      ++It;
      continue;
    }
    if (isHeadRecent(Now))
      acknowledge(Row, *Known, Now);
    It = m_Pending.erase(It);
  }
}

void GroupLeader::onViewChanged(TimePoint Now) {
  const RowVersion Complete = m_Context->m_View.completeHeadVersion();
  if (isLeader(Now) && m_PushedHead < Complete)
    pushChanges();
  m_PushedHead = Complete;
  if (m_Context->m_PendingChange.m_Members)
    markReplacedSessions(currentRow(m_Group), Now);
  acknowledgeCommitted(Now);
}

void GroupLeader::pushChanges() {
  Changes Message;
  Message.m_Head = m_Context->m_View.completeHeadVersion();
  Message.m_Rows = m_Context->m_View.rowsSince(m_PushedHead);
  for (const GroupMember &Each : currentRow(m_Group).m_Members)
    m_Context->send(Each.m_Member.m_Peer, Message);
}

void GroupLeader::pollHead(TimePoint Now) {
  m_PollAt = Never;
  if (!isLeader(Now))
    return;
  m_PollAt = Now + m_Context->m_Options.m_Timing.m_HeadPollPeriod;
  if (m_Poller->isBusy())
    return;
  if (++m_PollCount % PollsPerWatch == 0 && nextGroup()) {
    watchNextGroup(Now);
    return;
  }
  m_Poller->poll(Now, {}, [](bool, TimePoint) {});
}

void GroupLeader::removeSelf(TimePoint Now, std::function<void(bool)> Done) {
  m_RemoveSelf = true;
  m_OnRemoved = std::move(Done);
  m_Pending.erase(m_Context->m_Session);
  m_FlushAt = Now;
}

void GroupLeader::onTick(TimePoint Now) {
  if (Now >= m_ExpulsionCheckAt) {
    m_ExpulsionCheckAt = isLeader(Now) ? Now + ExpulsionCheckPeriod : Never;
    GroupRow Row = currentRow(m_Group);
    observe(Row, Now);
    if (m_FlushAt == Never && !m_Writing && expelSilentMembers(Row, Now))
      m_FlushAt = Now;
  }
  if (Now >= m_PollAt)
    pollHead(Now);
  if (Now >= m_FlushAt)
    flush(Now);
}

TimePoint GroupLeader::nextWake() const {
  return std::min({m_FlushAt, m_PollAt, m_ExpulsionCheckAt});
}

} // namespace balsamwheel
