// In-memory table of the platform with injected faults.
#pragma once

#include "fake_events.h"

#include <map>
#include <string>
#include <vector>

namespace balsamwheel::testing {

class FakeTable {
public:
  using ReplyCallback = std::function<void(TableReply)>;

  FakeTable(EventQueue &Queue, std::uint64_t Seed)
      : m_Queue(Queue), m_Random(Seed) {}

  // Injected faults. They apply to all clients unless stated otherwise.
  bool m_Down = false;
  Duration m_Delay = milliseconds(1);
  /// Percentage of commits that are answered with Ambiguous. One third of them
  /// is applied at once, one third after a random delay and the rest never.
  unsigned m_AmbiguousPercent = 0;
  /// By client: whether it can't reach the table.
  std::vector<bool> m_CutOff = std::vector<bool>(16);
  /// Called after each applied transaction.
  std::function<void(const Transaction &)> m_OnCommit;

  void heal() {
    m_Down = false;
    m_Delay = milliseconds(1);
    m_AmbiguousPercent = 0;
    m_CutOff.assign(m_CutOff.size(), false);
  }

  void read(std::size_t Client, const TableRead &Read, ReplyCallback Reply) {
    m_Queue.after(m_Delay, [this, Client, Read, Reply] {
      if (m_Down || m_CutOff[Client])
        respond({TableStatus::Unavailable, {}}, Reply);
      else
        respond(readNow(Read), Reply);
    });
  }

  void commit(std::size_t Client, const Transaction &Commit,
              ReplyCallback Reply) {
    m_Queue.after(m_Delay, [this, Client, Commit, Reply] {
      if (m_Down || m_CutOff[Client])
        respond({TableStatus::Unavailable, {}}, Reply);
      else if (m_Random.chance(m_AmbiguousPercent))
        commitAmbiguously(Commit, Reply);
      else
        respond(commitNow(Commit), Reply);
    });
  }

  TableReply readNow(const TableRead &Read) const {
    TableReply Reply{TableStatus::Ok, {}};
    for (const RowKey &Key : Read.m_Keys)
      Reply.m_Rows.push_back(get(Key));
    for (const std::string &Prefix : Read.m_Prefixes)
      for (const auto &[Key, Stored] : m_Rows)
        if (Key.starts_with(Prefix) && !Stored.m_Value.empty())
          Reply.m_Rows.push_back(Stored);
    return Reply;
  }

  TableReply commitNow(const Transaction &Commit) {
    TableReply Reply{TableStatus::Ok, {}};
    for (const RowCondition &Condition : Commit.m_Conditions)
      if (get(Condition.m_Key).m_Version != Condition.m_Version)
        return {TableStatus::Conflict, {get(Condition.m_Key)}};
    for (const RowWrite &Write : Commit.m_Writes) {
      Row &Stored = m_Rows[Write.m_Key.value()];
      Stored.m_Key = Write.m_Key;
      Stored.m_Version = RowVersion(Stored.m_Version.value() + 1);
      Stored.m_Value = Write.m_Value.value_or("");
      Reply.m_Rows.push_back({Write.m_Key, Stored.m_Version, ""});
    }
    if (m_OnCommit)
      m_OnCommit(Commit);
    return Reply;
  }

  Row get(const RowKey &Key) const {
    const auto Found = m_Rows.find(Key.value());
    if (Found == m_Rows.end() || Found->second.m_Value.empty())
      return {Key, RowVersion(), ""};
    return Found->second;
  }

private:
  void respond(TableReply Reply, const ReplyCallback &OnReply) {
    m_Queue.after(m_Delay,
                  [Reply = std::move(Reply), OnReply] { OnReply(Reply); });
  }

  void commitAmbiguously(const Transaction &Commit,
                         const ReplyCallback &Reply) {
    const std::uint64_t Outcome = m_Random.below(3);
    if (Outcome == 0)
      commitNow(Commit);
    if (Outcome == 1)
      m_Queue.after(m_Random.between(milliseconds(5), seconds(4)),
                    [this, Commit] { commitNow(Commit); });
    m_Queue.after(m_Random.between(milliseconds(50), milliseconds(600)),
                  [Reply] { Reply({TableStatus::Ambiguous, {}}); });
  }

  EventQueue &m_Queue;
  RandomSource m_Random;
  /// A deleted row keeps its version and has an empty value.
  std::map<std::string, Row> m_Rows;
};

} // namespace balsamwheel::testing
