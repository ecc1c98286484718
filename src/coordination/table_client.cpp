// Matches replies with requests and resolves commits whose reply was lost.
#include "balsamwheel/detail/coordination/table_client.h"

#include "balsamwheel/detail/coordination/head_row.h"
#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// A request without a reply for this long is treated as lost.
constexpr Duration ReplyTimeout = std::chrono::seconds(5);

const Row *findRow(const std::vector<Row> &Rows, const RowKey &Key) {
  const auto Found = std::ranges::find(Rows, Key, &Row::m_Key);
  return Found == Rows.end() ? nullptr : &*Found;
}

/// The rows that a commit wrote, with the versions that the table assigned.
std::vector<Row> writtenRows(const Transaction &Commit,
                             const std::vector<Row> &Versions) {
  std::vector<Row> Result;
  for (const RowWrite &Write : Commit.m_Writes) {
    const Row *Version = findRow(Versions, Write.m_Key);
    if (Version && Write.m_Value)
      Result.push_back({Write.m_Key, Version->m_Version, *Write.m_Value});
  }
  return Result;
}

} // namespace

void TableClient::read(TableRead Read, TimePoint Now, ReadDone Done) {
  const TableTicket Ticket(++m_LastTicket);
  m_Reads[Ticket] = {.m_Done = std::move(Done), .m_Sent = Now};
  m_Effects->push_back(ReadTable{Ticket, std::move(Read)});
}

void TableClient::commit(Transaction Commit, TimePoint Now, CommitDone Done) {
  const TableTicket Ticket(++m_LastTicket);
  m_Effects->push_back(CommitTable{Ticket, Commit});
  m_Commits[Ticket] = {
      .m_Commit = std::move(Commit), .m_Done = std::move(Done), .m_Sent = Now};
}

void TableClient::onReply(TableTicket Ticket, const TableReply &Reply,
                          TimePoint Now) {
  if (auto Read = m_Reads.extract(Ticket)) {
    const bool Ok = Reply.m_Status == TableStatus::Ok;
    Read.mapped().m_Done(Ok ? &Reply.m_Rows : nullptr, Now);
  } else if (auto Commit = m_Commits.extract(Ticket)) {
    finishCommit(std::move(Commit.mapped()), Reply, Now);
  }
}

void TableClient::finishCommit(PendingCommit Pending, const TableReply &Reply,
                               TimePoint Now) {
  switch (Reply.m_Status) {
  case TableStatus::Ok:
    Pending.m_Done(CommitResult::Applied,
                   writtenRows(Pending.m_Commit, Reply.m_Rows), Now);
    return;
  case TableStatus::Conflict:
    Pending.m_Done(CommitResult::Refused, {}, Now);
    return;
  case TableStatus::Unavailable:
    Pending.m_Done(CommitResult::Unavailable, {}, Now);
    return;
  case TableStatus::Ambiguous:
    resolveAmbiguous(std::move(Pending), Now);
    return;
  }
}

void TableClient::resolveAmbiguous(PendingCommit Pending, TimePoint Now) {
  if (!enforced<Rule::WriteIdConfirmation>()) {
    std::vector<Row> AssumedVersions;
    AssumedVersions.reserve(Pending.m_Commit.m_Conditions.size());
    for (const RowCondition &Condition : Pending.m_Commit.m_Conditions)
      AssumedVersions.push_back(
          {Condition.m_Key, RowVersion(Condition.m_Version.value() + 1), ""});
    Pending.m_Done(CommitResult::Applied,
                   writtenRows(Pending.m_Commit, AssumedVersions), Now);
    return;
  }
  TableRead ReRead;
  for (const RowWrite &Write : Pending.m_Commit.m_Writes)
    ReRead.m_Keys.push_back(Write.m_Key);
  read(std::move(ReRead), Now,
       [Pending = std::move(Pending)](const std::vector<Row> *Rows,
                                      TimePoint Later) {
         if (!Rows) {
           Pending.m_Done(CommitResult::Unavailable, {}, Later);
           return;
         }
         const bool Applied =
             std::ranges::any_of(*Rows, [&Pending](const Row &Found) {
               return writeIdOf(Found.m_Value) == Pending.m_Commit.m_Id;
             });
         if (!Applied)
           Pending.m_Done(CommitResult::Refused, {}, Later);
         else
           Pending.m_Done(CommitResult::Applied, *Rows, Later);
       });
}

void TableClient::expire(TimePoint Now) {
  const auto HasTimedOut = [Now](const auto &Item) {
    return Now - Item.second.m_Sent > ReplyTimeout;
  };
  for (auto TimedOut = std::ranges::find_if(m_Reads, HasTimedOut);
       TimedOut != m_Reads.end();
       TimedOut = std::ranges::find_if(m_Reads, HasTimedOut))
    m_Reads.extract(TimedOut).mapped().m_Done(nullptr, Now);
  for (auto TimedOut = std::ranges::find_if(m_Commits, HasTimedOut);
       TimedOut != m_Commits.end();
       TimedOut = std::ranges::find_if(m_Commits, HasTimedOut))
    resolveAmbiguous(std::move(m_Commits.extract(TimedOut).mapped()), Now);
}

} // namespace balsamwheel
