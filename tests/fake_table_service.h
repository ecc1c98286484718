// In-memory stand-in for the platform's table: watches return on change or when
// their time has passed, and the calls of single routers can be made to fail or
// their replies to be delayed.
#pragma once

#include "net/event_loop.h"
#include "router/table_service.h"

#include <algorithm>
#include <chrono>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace balsamwheel::tests {

/// Rows shared by the tables of all routers under test.
class FakeRows {
public:
  explicit FakeRows(EventLoop &Loop) : m_Loop(Loop) {}

  void put(TableName Table, const std::string &Key,
           std::optional<std::string> Value) {
    m_Rows[{Table, RowKey(Key)}] = {
        .m_Table = Table,
        .m_Key = RowKey(Key),
        .m_Version = {.m_Version = RowVersion(++m_Version)},
        .m_Value = std::move(Value)};
    for (auto Watch = m_Watches.begin(); Watch != m_Watches.end();) {
      if (Watch->m_Table != Table) {
        ++Watch;
        continue;
      }
      m_Loop.post([this, Ended = std::move(*Watch)] { answer(Ended); });
      Watch = m_Watches.erase(Watch);
    }
  }

  TableServiceReply changesAfter(TableName Table, RowVersion After) const {
    TableServiceReply Reply{.m_CallOutcome = TableCallOutcome::Ok,
                            .m_Version = {.m_Version = RowVersion(m_Version)},
                            .m_Time = now()};
    for (const auto &[TableAndKey, Row] : m_Rows)
      if (TableAndKey.first == Table && Row.m_Version.m_Version > After)
        Reply.m_Rows.push_back(Row);
    return Reply;
  }

  /// The store's clock, which shows another time than the daemons'.
  static StoreTime now() {
    return StoreTime(
        (bootNow().time_since_epoch() + std::chrono::seconds(1000)).count());
  }

  struct Watch {
    TableName m_Table;
    RowVersion m_After;
    TableService::OnReply m_Done;
    /// Whether the table has become unreachable for the watcher.
    const bool *m_Unreachable;
    /// How long the watcher's replies are on the way.
    const Duration *m_ReplyDelay;
    std::uint64_t m_Id = 0;
  };

  void addWatch(Watch Added, Duration Wait) {
    Added.m_Id = ++m_LastWatch;
    m_Watches.push_back(std::move(Added));
    m_Loop.after(Wait, [this, Id = m_LastWatch] {
      const auto Found =
          std::find_if(m_Watches.begin(), m_Watches.end(),
                       [&](const Watch &Each) { return Each.m_Id == Id; });
      if (Found == m_Watches.end())
        return;
      const Watch Ended = std::move(*Found);
      m_Watches.erase(Found);
      answer(Ended);
    });
  }

  void answer(const Watch &Ended) {
    TableServiceReply Reply = *Ended.m_Unreachable
                                  ? TableServiceReply{.m_Error = "down"}
                                  : changesAfter(Ended.m_Table, Ended.m_After);
    m_Loop.after(
        *Ended.m_ReplyDelay,
        [Done = Ended.m_Done, Reply = std::move(Reply)] { Done(Reply); });
  }

  EventLoop &m_Loop;
  std::uint64_t m_Version = 0;
  std::map<std::pair<TableName, RowKey>, MirroredRow> m_Rows;
  std::list<Watch> m_Watches;
  std::uint64_t m_LastWatch = 0;
};

/// The table as one router reaches it.
class FakeTableService final : public TableService {
public:
  explicit FakeTableService(FakeRows &Rows) : m_Rows(Rows) {}

  void read(TableName Table, OnReply Done) override {
    m_OperatorsReads += Table == TableName::Operators ? 1 : 0;
    if (m_Unreachable)
      return reply(Done, {.m_Error = "down"});
    TableServiceReply Rows = m_Rows.changesAfter(Table, RowVersion());
    std::erase_if(Rows.m_Rows,
                  [](const MirroredRow &Row) { return !Row.m_Value; });
    reply(Done, std::move(Rows));
  }

  void watch(TableName Table, RowVersion After, Duration Wait,
             OnReply Done) override {
    if (m_Unreachable)
      return reply(Done, {.m_Error = "down"});
    if (std::exchange(m_HistoryLost, false))
      return reply(Done, {.m_CallOutcome = TableCallOutcome::HistoryLost});
    TableServiceReply Changes = m_Rows.changesAfter(Table, After);
    if (!Changes.m_Rows.empty())
      return reply(Done, std::move(Changes));
    m_Rows.addWatch({.m_Table = Table,
                     .m_After = After,
                     .m_Done = std::move(Done),
                     .m_Unreachable = &m_Unreachable,
                     .m_ReplyDelay = &m_ReplyDelay},
                    Wait);
  }

  void commit(OwnRowCommit Commit, OnReply Done) override {
    if (m_Unreachable)
      return reply(Done, {.m_Error = "down"});
    if (m_PerformLate && Commit.m_Value) {
      m_LateCommits.push_back(std::move(Commit));
      return reply(Done, {.m_CallOutcome = TableCallOutcome::Unanswered,
                          .m_Error = "no answer in time"});
    }
    TableServiceReply Reply = perform(std::move(Commit));
    if (m_CommitDelay == Duration::zero())
      return reply(Done, std::move(Reply));
    ++m_CommitsInProgress;
    m_Rows.m_Loop.after(m_CommitDelay, [this, Done = std::move(Done),
                                        Reply = std::move(Reply)] {
      --m_CommitsInProgress;
      Done(Reply);
    });
  }

  /// Performs the commits that were left unanswered, if their conditions still
  /// hold.
  void performLate() {
    for (OwnRowCommit &Each : std::exchange(m_LateCommits, {}))
      perform(std::move(Each));
  }

  bool m_Unreachable = false;
  /// How long the replies to watches are on the way.
  Duration m_ReplyDelay{0};
  /// How long the replies to commits are on the way.
  Duration m_CommitDelay{0};
  /// Commits whose delayed replies are still on the way.
  int m_CommitsInProgress = 0;
  /// The next watch is told that the history it asks for has been dropped.
  bool m_HistoryLost = false;
  int m_OperatorsReads = 0;
  /// While set, commits that write get no answer and aren't performed.
  bool m_PerformLate = false;
  std::vector<OwnRowCommit> m_LateCommits;

private:
  TableServiceReply perform(OwnRowCommit Commit) {
    const auto Found = m_Rows.m_Rows.find({TableName::Own, Commit.m_Key});
    const RowVersion Known = Found == m_Rows.m_Rows.end()
                                 ? RowVersion()
                                 : Found->second.m_Version.m_Version;
    if (Commit.m_Conditional && Known != Commit.m_Expected) {
      TableServiceReply Conflict{.m_CallOutcome = TableCallOutcome::Conflict};
      if (Found != m_Rows.m_Rows.end())
        Conflict.m_Rows.push_back(Found->second);
      return Conflict;
    }
    TableServiceReply Ok{.m_CallOutcome = TableCallOutcome::Ok};
    if (Commit.m_Value) {
      m_Rows.put(TableName::Own, Commit.m_Key.value(), Commit.m_Value);
      Ok.m_Rows.push_back(m_Rows.m_Rows.at({TableName::Own, Commit.m_Key}));
    }
    return Ok;
  }

  void reply(const OnReply &Done, TableServiceReply Reply) {
    m_Rows.m_Loop.post([Done, Reply = std::move(Reply)] { Done(Reply); });
  }

  FakeRows &m_Rows;
};

} // namespace balsamwheel::tests
