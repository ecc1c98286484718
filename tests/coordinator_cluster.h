// Several coordinators with an in-memory table and delayed messages, driven by
// a simulated clock.
#pragma once

#include "balsamwheel/coordination.h"
#include "balsamwheel/detail/coordination/head_row.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace balsamwheel::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Versioned rows with conditional transactions.
class MemoryTable {
public:
  TableReply read(const TableRead &Read) const {
    TableReply Reply{TableStatus::Ok, {}};
    for (const RowKey &Key : Read.m_Keys)
      Reply.m_Rows.push_back(get(Key));
    for (const std::string &Prefix : Read.m_Prefixes)
      for (const auto &[Key, Stored] : m_Rows)
        if (Key.starts_with(Prefix))
          Reply.m_Rows.push_back(Stored);
    return Reply;
  }

  TableReply commit(const Transaction &Commit) {
    TableReply Reply{TableStatus::Ok, {}};
    for (const RowCondition &Condition : Commit.m_Conditions)
      if (get(Condition.m_Key).m_Version != Condition.m_Version)
        return {TableStatus::Conflict, {get(Condition.m_Key)}};
    for (const RowWrite &Write : Commit.m_Writes) {
      Row &Stored = m_Rows[Write.m_Key.value()];
      const RowVersion Next(++m_LastVersion);
      Stored = {Write.m_Key, Next, Write.m_Value.value_or("")};
      Reply.m_Rows.push_back({Write.m_Key, Next, ""});
      if (!Write.m_Value)
        m_Rows.erase(Write.m_Key.value());
    }
    ++m_Writes;
    return Reply;
  }

  Row get(const RowKey &Key) const {
    const auto Found = m_Rows.find(Key.value());
    return Found == m_Rows.end() ? Row{Key, RowVersion(), ""} : Found->second;
  }

  std::map<std::string, Row> m_Rows;
  std::uint64_t m_LastVersion = 0;
  std::size_t m_Writes = 0;
};

/// A configuration with one service that is divided by key into shards.
inline Config makeKeyedConfig(std::uint64_t Version, std::uint32_t Shards) {
  Config Result;
  Result.m_Version = ConfigVersion(Version);
  Result.m_Manifest.m_Deployment = "test";
  for (const char *Name : {"a", "b", "c"})
    Result.m_Manifest.m_Domains.push_back({DomainName(Name), RegionName("r")});
  Service Keyed;
  Keyed.m_Name = ServiceName("orders");
  Keyed.m_DividedByKey = true;
  Keyed.m_Shards = Shards;
  Keyed.m_Classes.resize(1);
  Keyed.m_Classes[0].m_Name = ClassName("place");
  Result.m_Manifest.m_Services = {Keyed};
  return Result;
}

class Cluster {
public:
  struct Daemon {
    std::unique_ptr<Coordinator> m_Coordinator;
    PeerAddress m_Peer;
    DomainName m_Domain;
    /// Number of the current run; replies to an earlier one are dropped.
    std::uint64_t m_Run = 0;
    bool m_Paused = false;
    bool m_Dead = false;
    /// This daemon can't reach the table.
    bool m_TableUnreachable = false;
    /// This daemon can't exchange messages with others.
    bool m_PeersUnreachable = false;
    std::vector<std::function<void()>> m_Inbox;
  };

  explicit Cluster(std::uint32_t Shards) {
    const Config First = makeKeyedConfig(1, Shards);
    commitConfig(First);
  }

  void commitConfig(const Config &Next) {
    const Row Current = m_Table.get(ConfigHeadRowKey);
    const Config Base = configFromRow(Current).value_or(Config{});
    Transaction Commit =
        makeConfigCommit(Current, Base, Next, WriteId(m_Table.m_LastVersion));
    appendHeadUpdate(Commit, *parseHeadRow(m_Table.get(HeadRowKey)),
                     {{ConfigHeadRowKey, Next.m_Version.value()}});
    m_Table.commit(Commit);
  }

  std::size_t add(const std::string &Domain, CoordinatorOptions Options = {}) {
    const std::size_t Index = m_Daemons.size();
    Daemon &Added = m_Daemons.emplace_back();
    Added.m_Peer = PeerAddress("10.0.0." + std::to_string(Index) + ":1");
    Added.m_Domain = DomainName(Domain);
    restart(Index, std::move(Options));
    return Index;
  }

  /// Replaces a daemon by a new run at the same address.
  void restart(std::size_t Index, CoordinatorOptions Options = {}) {
    Daemon &Restarted = m_Daemons[Index];
    Options.m_Instance = InstanceName("i" + std::to_string(Index));
    Options.m_Domain = Restarted.m_Domain;
    Options.m_Region = RegionName("r");
    Options.m_Peer = Restarted.m_Peer;
    Restarted.m_Inbox.clear();
    Restarted.m_Dead = Restarted.m_Paused = false;
    ++Restarted.m_Run;
    Restarted.m_Coordinator =
        std::make_unique<Coordinator>(Options, m_Seed + ++m_Starts);
    Restarted.m_Coordinator->start(m_Now);
    Restarted.m_Coordinator->onTargetReady(ServiceName("orders"), 10, m_Now);
    collect(Index);
  }

  /// Runs until every shard is served or \p Limit has passed.
  ///
  /// \returns the simulated time that this took.
  Duration runUntilServed(std::uint32_t Shards, Duration Limit) {
    const TimePoint Begin = m_Now;
    while (m_Now - Begin < Limit && servedShards(Shards) < Shards)
      run(milliseconds(10));
    return m_Now - Begin;
  }

  /// Runs for \p Time.
  ///
  /// \returns the time without service, summed over all shards.
  Duration unservedShardTime(std::uint32_t Shards, Duration Time) {
    Duration Result{0};
    for (const TimePoint End = m_Now + Time; m_Now < End;) {
      run(milliseconds(10));
      Result += milliseconds(10) * (Shards - servedShards(Shards));
    }
    return Result;
  }

  void run(Duration Time) {
    const TimePoint End = m_Now + Time;
    while (m_Now < End) {
      m_Now += milliseconds(1);
      step();
    }
  }

  Coordinator &at(std::size_t Index) { return *m_Daemons[Index].m_Coordinator; }

  /// Indexes of the running daemons that may send an order for a key now.
  std::vector<std::size_t> permittedDaemons(KeyHash Key) const {
    std::vector<std::size_t> Result;
    for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index) {
      const Daemon &Each = m_Daemons[Index];
      if (Each.m_Dead || Each.m_Paused)
        continue;
      const Permit Answer =
          Each.m_Coordinator->permit(ServiceName("orders"), Key, m_Now);
      if (Answer.m_Granted)
        Result.push_back(Index);
    }
    return Result;
  }

  /// Number of shards that at least one daemon may serve now.
  std::size_t servedShards(std::uint32_t Shards) const {
    std::size_t Result = 0;
    for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
      Result += permittedDaemons(KeyHash(Shard)).empty() ? 0 : 1;
    return Result;
  }

  std::vector<Daemon> m_Daemons;
  MemoryTable m_Table;
  TimePoint m_Now{seconds(100)};
  std::uint64_t m_Seed = 1;
  std::uint64_t m_Starts = 0;
  Duration m_TableDelay = milliseconds(2);
  bool m_TableDown = false;
  /// Number of commits, counted from now, that are applied but whose reply is
  /// lost.
  std::size_t m_RepliesToLose = 0;
  /// Highest number of daemons that could serve one shard at the same time.
  std::size_t m_MaxOwners = 0;
  /// Number of shards checked for several owners in each step; 0 for none.
  std::uint32_t m_CheckedShards = 0;
  /// Called with the index of the sender for each message sent.
  std::function<void(std::size_t, const SendControl &)> m_OnSend;

private:
  void step() {
    while (!m_Queue.empty() && m_Queue.begin()->first <= m_Now) {
      auto Next = m_Queue.extract(m_Queue.begin());
      Next.mapped()();
    }
    for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index)
      drive(Index);
    for (std::uint32_t Shard = 0; Shard < m_CheckedShards; ++Shard)
      m_MaxOwners =
          std::max(m_MaxOwners, permittedDaemons(KeyHash(Shard)).size());
  }

  void drive(std::size_t Index) {
    Daemon &Current = m_Daemons[Index];
    if (Current.m_Dead || Current.m_Paused)
      return;
    for (const auto &Event : std::exchange(Current.m_Inbox, {}))
      Event();
    if (Current.m_Coordinator->nextWake() <= m_Now)
      Current.m_Coordinator->onTick(m_Now);
    collect(Index);
  }

  void collect(std::size_t Index) {
    for (Effect &Next : m_Daemons[Index].m_Coordinator->takeEffects()) {
      if (auto *Send = std::get_if<SendControl>(&Next))
        deliver(Index, std::move(*Send));
      else if (auto *Read = std::get_if<ReadTable>(&Next))
        answerRead(Index, std::move(*Read));
      else if (auto *Commit = std::get_if<CommitTable>(&Next))
        answerCommit(Index, std::move(*Commit));
    }
  }

  void deliver(std::size_t Sender, SendControl Send) {
    if (m_OnSend)
      m_OnSend(Sender, Send);
    for (std::size_t Receiver = 0; Receiver < m_Daemons.size(); ++Receiver) {
      if (m_Daemons[Receiver].m_Peer != Send.m_To || m_Daemons[Receiver].m_Dead)
        continue;
      later(
          milliseconds(1), [this, Sender, Receiver, Message = Send.m_Message] {
            if (m_Daemons[Sender].m_PeersUnreachable ||
                m_Daemons[Receiver].m_PeersUnreachable)
              return;
            m_Daemons[Receiver].m_Inbox.push_back([this, Sender, Receiver,
                                                   Message] {
              at(Receiver).onMessage(Message, m_Daemons[Sender].m_Peer, m_Now);
            });
          });
    }
  }

  void answerRead(std::size_t Index, ReadTable Read) {
    const std::uint64_t Run = m_Daemons[Index].m_Run;
    later(m_TableDelay / 2, [this, Index, Read, Run] {
      TableReply Reply;
      if (!m_TableDown && !m_Daemons[Index].m_TableUnreachable)
        Reply = m_Table.read(Read.m_Read);
      reply(Index, Run, Read.m_Ticket, std::move(Reply));
    });
  }

  void answerCommit(std::size_t Index, CommitTable Commit) {
    const std::uint64_t Run = m_Daemons[Index].m_Run;
    later(m_TableDelay / 2, [this, Index, Commit, Run] {
      TableReply Reply;
      if (!m_TableDown && !m_Daemons[Index].m_TableUnreachable) {
        Reply = m_Table.commit(Commit.m_Transaction);
        if (m_RepliesToLose > 0) {
          --m_RepliesToLose;
          Reply = {TableStatus::Ambiguous, {}};
        }
      }
      reply(Index, Run, Commit.m_Ticket, std::move(Reply));
    });
  }

  void reply(std::size_t Index, std::uint64_t Run, TableTicket Ticket,
             TableReply Reply) {
    later(m_TableDelay / 2, [this, Index, Ticket, Reply, Run] {
      if (m_Daemons[Index].m_Run != Run)
        return;
      m_Daemons[Index].m_Inbox.push_back([this, Index, Ticket, Reply] {
        at(Index).onTableReply(Ticket, Reply, m_Now);
      });
    });
  }

  void later(Duration Delay, std::function<void()> Event) {
    m_Queue.emplace(m_Now + Delay, std::move(Event));
  }

  std::multimap<TimePoint, std::function<void()>> m_Queue;
};

} // namespace balsamwheel::testing
