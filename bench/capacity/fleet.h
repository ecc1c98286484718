// Many coordinators in one process that share an in-memory table, driven by a
// simulated clock, with the resource usage of each.
#pragma once

#include "balsamwheel/coordination.h"
#include "bench/core/table_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace balsamwheel::capacity {

struct FleetOptions {
  std::uint32_t m_Nodes = 880;
  std::uint32_t m_Shards = 16'384;
  std::uint32_t m_Domains = 4;
  std::uint64_t m_Seed = 1;
  /// One-way delay of a message between nodes.
  Duration m_PeerDelay = std::chrono::milliseconds(1);
  /// Round-trip delay of an operation on the table.
  Duration m_TableDelay = std::chrono::milliseconds(5);
};

/// Resources used by one node since the last reset.
struct NodeUsage {
  std::uint64_t m_PeerBytes = 0;
  std::uint64_t m_PeerMessages = 0;
  std::uint64_t m_TableBytes = 0;
  std::chrono::nanoseconds m_Cpu{0};
};

/// Operations on the table since the last reset.
struct TableUsage {
  std::uint64_t m_Commits = 0;
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_RowsRead = 0;
  std::uint64_t m_RowsWritten = 0;
};

/// Simulates the nodes, their network and their table on one thread.
/// Invariant: events run in the order of their simulated times; events of the
/// same time run in the order in which they were scheduled.
class Fleet {
public:
  explicit Fleet(FleetOptions Options);

  /// Simulated time until the last node has started.
  Duration startTime() const;
  /// Advances simulated time and runs the events that are due.
  void run(Duration Length);
  /// Runs until every shard is served.
  ///
  /// \returns the simulated time it took, at most \p Limit.
  Duration runUntilServed(Duration Limit);
  /// Kills nodes without a shutdown; they do not restart.
  void kill(const std::vector<std::uint32_t> &Nodes);
  /// Writes a configuration to the table.
  void commitConfig(const Config &Next);
  Config makeConfig(std::uint64_t Version) const;
  /// Makes all later operations on the table fail, or succeed again.
  void setTableDown(bool Down) { m_TableDown = Down; }

  /// Returns the number of shards that no live node may serve now.
  std::size_t unserved() const;
  /// Returns the number of live nodes that have not applied a configuration.
  std::size_t nodesBehind(ConfigVersion Version) const;
  bool isLeader(std::uint32_t Node) const;
  bool isAlive(std::uint32_t Node) const { return m_Nodes[Node].m_Alive; }
  std::uint32_t domainOf(std::uint32_t Node) const;
  std::uint32_t size() const { return m_Options.m_Nodes; }

  void resetUsage();
  const NodeUsage &usage(std::uint32_t Node) const {
    return m_Nodes[Node].m_Usage;
  }
  const TableUsage &tableUsage() const { return m_TableUsage; }

private:
  struct Node {
    std::unique_ptr<Coordinator> m_Coordinator;
    PeerAddress m_Address;
    bool m_Alive = true;
    NodeUsage m_Usage;
    /// Time of the earliest scheduled tick.
    TimePoint m_NextTick = TimePoint::max();
  };

  struct Event {
    TimePoint m_At;
    std::uint64_t m_Sequence = 0;
    std::function<void()> m_Run;
    bool operator>(const Event &Other) const {
      return std::tie(m_At, m_Sequence) >
             std::tie(Other.m_At, Other.m_Sequence);
    }
  };

  void addNode(std::uint32_t Index);
  void schedule(Duration Delay, std::function<void()> Run);
  /// Calls a node's coordinator, adds the CPU time to the node's usage and
  /// handles the effects.
  template <typename Call> void callCoordinator(std::uint32_t Index, Call Run);
  void handleEffects(std::uint32_t Index);
  void send(std::uint32_t From, const SendControl &Message);
  void read(std::uint32_t Index, const ReadTable &Request);
  void commit(std::uint32_t Index, const CommitTable &Request);
  void reply(std::uint32_t Index, TableTicket Ticket, TableReply Reply);

  const FleetOptions m_Options;
  bench::TableStore m_Table;
  bool m_TableDown = false;
  TimePoint m_Now{std::chrono::seconds(100)};
  std::uint64_t m_LastSequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::vector<Node> m_Nodes;
  std::unordered_map<PeerAddress, std::uint32_t> m_ByAddress;
  TableUsage m_TableUsage;
};

} // namespace balsamwheel::capacity
