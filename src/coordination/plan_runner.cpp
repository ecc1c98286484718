// Writes plans into the table, in turns, and distributes the written rows.
#include "balsamwheel/detail/coordination/plan_runner.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <set>

namespace balsamwheel {

namespace {

/// Hash seed of the planner order; the same for all members.
constexpr std::uint64_t PlannerSeed = 0x706c616e;
/// A member waits this long for each member before it in the planner order.
constexpr Duration RankDelay = std::chrono::milliseconds(300);
/// The same delay when only paced moves are due.
constexpr Duration PacedRankDelay = std::chrono::milliseconds(900);
/// Shortest time between two rounds of paced moves.
constexpr Duration PacedRoundPeriod = std::chrono::milliseconds(250);
/// Delay after a failed commit or head poll, and the bound of the jitter that
/// is added after a failed commit.
constexpr Duration RetryDelay = std::chrono::milliseconds(200);
/// Bound of the random delay after a conflict with another writer.
constexpr Duration ConflictJitter = std::chrono::milliseconds(50);
/// Reports of settled shards are collected for this time into one write.
constexpr Duration SettledDelay = std::chrono::milliseconds(100);
constexpr std::size_t MaxRowsPerCommit = 64;
/// Maximum number of bytes sent to all affected sessions after a commit. If the
/// rows need more, nothing is sent and the sessions receive the rows from their
/// group leaders.
constexpr std::size_t MaxBytesPushed = std::size_t{256} * 1024;

std::uint64_t plannerScore(SessionId Session) {
  return mixHash(PlannerSeed, Session.value());
}

} // namespace

std::size_t PlanRunner::plannerRank() const {
  const std::uint64_t Own = plannerScore(m_Context->m_Session);
  std::size_t Result = 0;
  for (const auto &[Number, Group] : m_Context->m_View.groups())
    for (const GroupMember &Value : Group.m_Members)
      if (plannerScore(Value.m_Member.m_Session) > Own)
        ++Result;
  return Result;
}

std::vector<SessionId> PlanRunner::plannerOrder() const {
  std::vector<SessionId> Result;
  for (const auto &[Number, Group] : m_Context->m_View.groups())
    for (const GroupMember &Value : Group.m_Members)
      Result.push_back(Value.m_Member.m_Session);
  std::ranges::sort(Result, std::greater<>(), plannerScore);
  return Result;
}

void PlanRunner::onViewChanged(TimePoint Now) {
  dropStaleSettled();
  if (!m_Context->m_PendingChange.m_MapRowKeys.empty())
    m_ChangesDueSince.reset();
  keepEarlier(m_EvaluateAt, Now);
}

void PlanRunner::onSettled(
    const std::vector<std::pair<ShardRef, Epoch>> &Shards, TimePoint Now) {
  for (const auto &[Shard, Settled] : Shards)
    m_Settled[Shard] = Settled;
  dropStaleSettled();
  if (!m_Settled.empty())
    keepEarlier(m_EvaluateAt, Now + SettledDelay);
}

void PlanRunner::dropStaleSettled() {
  std::erase_if(m_Settled, [this](const auto &Item) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Item.first);
    return !Entry || Entry->m_Epoch > Item.second ||
           (Entry->m_Epoch == Item.second && Entry->m_FormerOwner.value() == 0);
  });
}

void PlanRunner::evaluate(TimePoint Now) {
  m_EvaluateAt = Never;
  const ClusterView &View = m_Context->m_View;
  if (m_CommitPending || !View.isComplete() ||
      !View.isLive(m_Context->m_Session))
    return;
  PlanRequest Request;
  Request.m_View = &View;
  Request.m_Settled = &m_Settled;
  Request.m_IncludePaced = false;
  Plan Next = planNextStep(Request);
  const bool Immediate = !Next.m_Rows.empty();
  if (Now >= m_NextPacedRound) {
    Request.m_IncludePaced = true;
    if (m_TakeLoadMoves)
      Request.m_LoadMoves = m_TakeLoadMoves(Now);
    Request.m_BalancingServices = m_BalancingServices;
    Next = planNextStep(Request);
    m_BalancingServices = Next.m_BalancingServices;
  }
  if (Next.m_MovesRemain)
    m_EvaluateAt = std::max(m_NextPacedRound, Now + PacedRoundPeriod);
  if (Next.m_Rows.empty()) {
    if (!Next.m_MovesRemain)
      m_ChangesDueSince.reset();
    return;
  }
  if (!m_ChangesDueSince)
    m_ChangesDueSince = Now;
  const bool SkipsDelay = Immediate && !m_Settled.empty();
  const Duration Delay = Immediate ? RankDelay : PacedRankDelay;
  const TimePoint CommitAt =
      SkipsDelay ? Now
                 : *m_ChangesDueSince + Delay * static_cast<int>(plannerRank());
  if (Now < CommitAt) {
    m_EvaluateAt = CommitAt;
    return;
  }
  if (Request.m_IncludePaced)
    m_NextPacedRound = Now + PacedRoundPeriod;
  commit(std::move(Next), Now);
}

void PlanRunner::commit(Plan Next, TimePoint Now) {
  if (Next.m_Rows.size() > MaxRowsPerCommit)
    Next.m_Rows.resize(MaxRowsPerCommit);
  const ClusterView &View = m_Context->m_View;
  Transaction Commit;
  Commit.m_Id = m_Context->newWriteId();
  std::vector<std::pair<RowKey, std::uint64_t>> Counters;
  m_AffectedSessions.clear();
  for (MapRow &Row : Next.m_Rows) {
    const RowKey Key = mapRowKey(Row.m_Service, Row.m_Part);
    for (std::uint32_t Index = 0; Index < Row.m_Entries.size(); ++Index) {
      const ShardEntry *Old = View.findEntry(
          {Row.m_Service, ShardIndex(Row.m_Part * ShardsPerRow + Index)});
      if (Old && *Old == Row.m_Entries[Index])
        continue;
      m_AffectedSessions.insert(Row.m_Entries[Index].m_Owner);
      m_AffectedSessions.insert(Row.m_Entries[Index].m_FormerOwner);
    }
    ++Row.m_Counter;
    Commit.m_Conditions.push_back({Key, Row.m_Version});
    Commit.m_Writes.push_back({Key, toValue(Row, Commit.m_Id)});
    Counters.emplace_back(Key, Row.m_Counter);
  }
  appendHeadUpdate(Commit, View.head(), Counters);
  m_CommitPending = true;
  m_Context->m_Table.commit(std::move(Commit), Now,
                            [this](CommitResult Result,
                                   const std::vector<Row> &Rows,
                                   TimePoint RepliedAt) {
                              m_CommitPending = false;
                              onCommitted(Result, Rows, RepliedAt);
                            });
}

void PlanRunner::onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                             TimePoint Now) {
  if (Result == CommitResult::Unavailable) {
    m_EvaluateAt = Now + RetryDelay + m_Context->jitter(RetryDelay);
    return;
  }
  if (Result == CommitResult::Refused) {
    m_Poller->poll(Now, {}, [this](bool Ok, TimePoint PolledAt) {
      const Duration Delay = Ok ? Duration(0) : RetryDelay;
      keepEarlier(m_EvaluateAt,
                  PolledAt + Delay + m_Context->jitter(ConflictJitter));
    });
    return;
  }
  m_Context->merge(Rows);
  pushRows(Rows);
}

void PlanRunner::pushRows(const std::vector<Row> &Rows) {
  std::size_t Bytes = 0;
  for (const Row &Stored : Rows)
    Bytes += Stored.m_Value.size();
  if (Bytes * m_AffectedSessions.size() > MaxBytesPushed)
    return;
  Changes Message;
  Message.m_Head = m_Context->m_View.completeHeadVersion();
  Message.m_Rows = Rows;
  for (SessionId Session : m_AffectedSessions)
    m_Context->sendTo(Session, Message);
}

void PlanRunner::onTick(TimePoint Now) {
  if (Now >= m_EvaluateAt)
    evaluate(Now);
}

TimePoint PlanRunner::nextWake() const { return m_EvaluateAt; }

} // namespace balsamwheel
