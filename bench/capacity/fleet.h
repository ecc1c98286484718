// Many coordinators in one process over an in-memory table, driven by a
// simulated clock, with a bill for each of them.
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
  Duration m_PeerDelay = std::chrono::milliseconds(1);
  Duration m_TableDelay = std::chrono::milliseconds(5);
};

/// What one node used.
struct Bill {
  std::uint64_t m_PeerBytes = 0;
  std::uint64_t m_PeerMessages = 0;
  std::uint64_t m_TableBytes = 0;
  std::chrono::nanoseconds m_Cpu{0};
};

/// What the table was asked for.
struct TableBill {
  std::uint64_t m_Commits = 0;
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_Reads = 0;
  std::uint64_t m_RowsRead = 0;
  std::uint64_t m_RowsWritten = 0;
};

/// Invariant: events run in the order of their simulated times; events of the
/// same time run in the order in which they were made.
class Fleet {
public:
  explicit Fleet(FleetOptions Options);

  /// Time until the last node has started.
  Duration startTime() const;
  /// Lets simulated time pass.
  void run(Duration Length);
  /// Runs until every shard is served.
  ///
  /// \returns the simulated time it took, at most \p Limit.
  Duration runUntilServed(Duration Limit);
  /// Stops nodes for good, without a word.
  void kill(const std::vector<std::uint32_t> &Nodes);
  void commitConfig(const Config &Next);
  Config makeConfig(std::uint64_t Version) const;
  void setTableDown(bool Down) { m_TableDown = Down; }

  /// Shards that no live node may serve now.
  std::size_t unserved() const;
  /// Live nodes that have not applied a configuration.
  std::size_t lagging(ConfigVersion Version) const;
  bool leads(std::uint32_t Node) const;
  bool isAlive(std::uint32_t Node) const { return m_Nodes[Node].m_Alive; }
  std::uint32_t domainOf(std::uint32_t Node) const;
  std::uint32_t size() const { return m_Options.m_Nodes; }

  void clearBills();
  const Bill &bill(std::uint32_t Node) const { return m_Nodes[Node].m_Bill; }
  const TableBill &tableBill() const { return m_TableBill; }

private:
  struct Node {
    std::unique_ptr<Coordinator> m_Coordinator;
    PeerAddress m_Address;
    bool m_Alive = true;
    Bill m_Bill;
    /// Time of the earliest tick in the queue.
    TimePoint m_TickAt = TimePoint::max();
  };

  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order = 0;
    std::function<void()> m_Run;
    bool operator>(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };

  void addNode(std::uint32_t Index);
  void later(Duration Delay, std::function<void()> Run);
  /// Runs a call into one coordinator and charges its processor time.
  template <typename Call> void charge(std::uint32_t Index, Call Run);
  void afterCall(std::uint32_t Index);
  void send(std::uint32_t From, const SendControl &Message);
  void read(std::uint32_t Index, const ReadTable &Wanted);
  void commit(std::uint32_t Index, const CommitTable &Wanted);
  void reply(std::uint32_t Index, TableTicket Ticket, TableReply Reply);

  const FleetOptions m_Options;
  bench::TableStore m_Table;
  bool m_TableDown = false;
  TimePoint m_Now{std::chrono::seconds(100)};
  std::uint64_t m_LastOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::vector<Node> m_Nodes;
  std::unordered_map<PeerAddress, std::uint32_t> m_ByAddress;
  TableBill m_TableBill;
};

} // namespace balsamwheel::capacity
