// Writes plans into the table.
#include "balsamwheel/detail/coordination/plan_runner.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <set>

namespace balsamwheel {

namespace {

constexpr std::uint64_t PlannerSeed = 0x706c616e;
/// The next member in order waits so long for the one before it.
constexpr Duration RankDelay = std::chrono::milliseconds(300);
/// Paced work alone gives the member in front more time.
constexpr Duration PacedRankDelay = std::chrono::milliseconds(900);
/// Time between two rounds of paced moves.
constexpr Duration RoundPeriod = std::chrono::milliseconds(250);
constexpr Duration RetryDelay = std::chrono::milliseconds(200);
constexpr Duration ConflictJitter = std::chrono::milliseconds(50);
/// Settled shards are gathered for this time into one write.
constexpr Duration SettledDelay = std::chrono::milliseconds(100);
constexpr std::size_t MostRowsPerCommit = 64;
/// Bytes that are pushed to the new owners at most; beyond, they learn it
/// from their leaders.
constexpr std::size_t MostBytesPushed = std::size_t{256} * 1024;

std::uint64_t plannerScore(SessionId Session) {
  return mixHash(PlannerSeed, Session.value());
}

} // namespace

std::size_t PlanRunner::rank() const {
  const std::uint64_t Own = plannerScore(m_Context->m_Session);
  std::size_t Result = 0;
  for (const auto &[Number, Group] : m_Context->m_View.groups())
    for (const GroupMember &Value : Group.m_Members)
      if (plannerScore(Value.m_Member.m_Session) > Own)
        ++Result;
  return Result;
}

std::vector<SessionId> PlanRunner::order() const {
  std::vector<SessionId> Result;
  for (const auto &[Number, Group] : m_Context->m_View.groups())
    for (const GroupMember &Value : Group.m_Members)
      Result.push_back(Value.m_Member.m_Session);
  std::ranges::sort(Result, std::greater<>(), plannerScore);
  return Result;
}

void PlanRunner::onViewChanged(TimePoint Now) {
  dropOldSettled();
  if (!m_Context->m_Changed.m_MapRows.empty())
    m_WorkSince.reset();
  keepEarlier(m_EvaluateAt, Now);
}

void PlanRunner::onSettled(
    const std::vector<std::pair<ShardRef, Epoch>> &Shards, TimePoint Now) {
  for (const auto &[Shard, Settled] : Shards)
    m_Settled[Shard] = Settled;
  dropOldSettled();
  if (!m_Settled.empty())
    keepEarlier(m_EvaluateAt, Now + SettledDelay);
}

void PlanRunner::dropOldSettled() {
  std::erase_if(m_Settled, [this](const auto &Item) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Item.first);
    return !Entry || Entry->m_Epoch > Item.second ||
           (Entry->m_Epoch == Item.second && Entry->m_Former.value() == 0);
  });
}

void PlanRunner::evaluate(TimePoint Now) {
  m_EvaluateAt = Never;
  const ClusterView &View = m_Context->m_View;
  if (m_Writing || !View.complete() || !View.isLive(m_Context->m_Session))
    return;
  PlanRequest Request;
  Request.m_View = &View;
  Request.m_Settled = &m_Settled;
  Request.m_Paced = false;
  Plan Next = planNextStep(Request);
  const bool Urgent = !Next.m_Rows.empty();
  if (Now >= m_PacedAt) {
    Request.m_Paced = true;
    if (m_LoadMoves)
      Request.m_LoadMoves = m_LoadMoves(Now);
    Request.m_Balancing = m_Balancing;
    Next = planNextStep(Request);
    m_Balancing = Next.m_Balancing;
  }
  if (Next.m_MoreLater)
    m_EvaluateAt = std::max(m_PacedAt, Now + RoundPeriod);
  if (Next.m_Rows.empty()) {
    if (!Next.m_MoreLater)
      m_WorkSince.reset();
    return;
  }
  if (!m_WorkSince)
    m_WorkSince = Now;
  const bool First = Urgent && !m_Settled.empty();
  const Duration Delay = Urgent ? RankDelay : PacedRankDelay;
  const TimePoint Turn =
      First ? Now : *m_WorkSince + Delay * static_cast<int>(rank());
  if (Now < Turn) {
    m_EvaluateAt = Turn;
    return;
  }
  if (Request.m_Paced)
    m_PacedAt = Now + RoundPeriod;
  commit(std::move(Next), Now);
}

void PlanRunner::commit(Plan Next, TimePoint Now) {
  if (Next.m_Rows.size() > MostRowsPerCommit)
    Next.m_Rows.resize(MostRowsPerCommit);
  const ClusterView &View = m_Context->m_View;
  Transaction Commit;
  Commit.m_Id = m_Context->newWriteId();
  std::vector<std::pair<RowKey, std::uint64_t>> Counters;
  m_Affected.clear();
  for (MapRow &Row : Next.m_Rows) {
    const RowKey Key = mapRowKey(Row.m_Service, Row.m_Part);
    for (std::uint32_t Index = 0; Index < Row.m_Entries.size(); ++Index) {
      const ShardEntry *Old = View.findEntry(
          {Row.m_Service, ShardIndex(Row.m_Part * ShardsPerRow + Index)});
      if (Old && *Old == Row.m_Entries[Index])
        continue;
      m_Affected.insert(Row.m_Entries[Index].m_Owner);
      m_Affected.insert(Row.m_Entries[Index].m_Former);
    }
    ++Row.m_Counter;
    Commit.m_Conditions.push_back({Key, Row.m_Version});
    Commit.m_Writes.push_back({Key, toValue(Row, Commit.m_Id)});
    Counters.emplace_back(Key, Row.m_Counter);
  }
  appendHeadBump(Commit, View.head(), Counters);
  m_Writing = true;
  m_Context->m_Table.commit(std::move(Commit), Now,
                            [this](CommitResult Result,
                                   const std::vector<Row> &Rows,
                                   TimePoint Later) {
                              m_Writing = false;
                              onCommitted(Result, Rows, Later);
                            });
}

void PlanRunner::onCommitted(CommitResult Result, const std::vector<Row> &Rows,
                             TimePoint Now) {
  if (Result == CommitResult::Unavailable) {
    m_EvaluateAt = Now + RetryDelay + m_Context->jitter(RetryDelay);
    return;
  }
  if (Result == CommitResult::Refused) {
    m_Poller->poll(Now, {}, [this](bool Ok, TimePoint Later) {
      const Duration Delay = Ok ? Duration(0) : RetryDelay;
      keepEarlier(m_EvaluateAt,
                  Later + Delay + m_Context->jitter(ConflictJitter));
    });
    return;
  }
  m_Context->merge(Rows);
  push(Rows);
}

void PlanRunner::push(const std::vector<Row> &Rows) {
  std::size_t Bytes = 0;
  for (const Row &Stored : Rows)
    Bytes += Stored.m_Value.size();
  if (Bytes * m_Affected.size() > MostBytesPushed)
    return;
  Changes Message;
  Message.m_Head = m_Context->m_View.completeHead();
  Message.m_Rows = Rows;
  for (SessionId Session : m_Affected)
    m_Context->sendTo(Session, Message);
}

void PlanRunner::onTick(TimePoint Now) {
  if (Now >= m_EvaluateAt)
    evaluate(Now);
}

TimePoint PlanRunner::nextWake() const { return m_EvaluateAt; }

} // namespace balsamwheel
