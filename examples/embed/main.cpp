// Example: runs three coordinators in one process on a shared in-memory table.
// They join a group and divide a service's shards; the program prints the
// number of shards that each one owns.
#include <balsamwheel/coordination.h>
#include <balsamwheel/detail/coordination/head_row.h>

#include <iostream>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace balsamwheel;

/// Minimal in-memory table with conditional commits: either all conditions hold
/// and all writes are applied, or nothing changes.
class MemoryTable {
public:
  TableReply read(const TableRead &Query) const {
    TableReply Reply{.m_Status = TableStatus::Ok, .m_Rows = {}};
    for (const RowKey &Key : Query.m_Keys)
      Reply.m_Rows.push_back(get(Key));
    for (const std::string &Prefix : Query.m_Prefixes)
      for (const auto &[Key, Stored] : m_Rows)
        if (Key.value().starts_with(Prefix))
          Reply.m_Rows.push_back(Stored);
    return Reply;
  }

  TableReply commit(const Transaction &Commit) {
    TableReply Reply{.m_Status = TableStatus::Conflict, .m_Rows = {}};
    for (const RowCondition &Condition : Commit.m_Conditions)
      if (get(Condition.m_Key).m_Version != Condition.m_Version)
        Reply.m_Rows.push_back(get(Condition.m_Key));
    if (!Reply.m_Rows.empty())
      return Reply;
    Reply.m_Status = TableStatus::Ok;
    for (const RowWrite &Write : Commit.m_Writes)
      Reply.m_Rows.push_back(put(Write));
    return Reply;
  }

  Row get(const RowKey &Key) const {
    const auto Found = m_Rows.find(Key);
    return Found == m_Rows.end() ? Row{Key, RowVersion(), ""} : Found->second;
  }

private:
  Row put(const RowWrite &Write) {
    const RowVersion Version(++m_LastVersion);
    if (!Write.m_Value) {
      m_Rows.erase(Write.m_Key);
      return {Write.m_Key, RowVersion(), ""};
    }
    m_Rows[Write.m_Key] = {Write.m_Key, Version, *Write.m_Value};
    return {Write.m_Key, Version, ""};
  }

  std::map<RowKey, Row> m_Rows;
  std::uint64_t m_LastVersion = 0;
};

struct Process {
  PeerAddress m_Address;
  Coordinator m_Coordinator;
};

/// Executes the effects of all coordinators and advances simulated time.
class Simulation {
public:
  explicit Simulation(MemoryTable &Table) : m_Table(Table) {}

  void add(const std::string &Name, std::uint64_t Seed) {
    const PeerAddress Address(Name + ":1");
    CoordinatorOptions Options{.m_Instance = InstanceName(Name),
                               .m_Domain = DomainName("domain-" + Name),
                               .m_Region = RegionName("here"),
                               .m_Peer = Address,
                               .m_CallerAddress = Name + ":80"};
    m_Processes.push_back({Address, Coordinator(std::move(Options), Seed)});
    m_Processes.back().m_Coordinator.start(m_Now);
    m_Processes.back().m_Coordinator.onTargetReady(ServiceName("orders"),
                                                   /*Slots=*/10, m_Now);
  }

  void run(Duration Length) {
    constexpr Duration Step = std::chrono::milliseconds(5);
    for (const TimePoint End = m_Now + Length; m_Now < End; m_Now += Step)
      for (Process &Each : m_Processes) {
        Each.m_Coordinator.onTick(m_Now);
        execute(Each);
      }
  }

  std::vector<Process> m_Processes;

private:
  void execute(Process &Each) {
    for (const Effect &Item : Each.m_Coordinator.takeEffects()) {
      if (const auto *Read = std::get_if<ReadTable>(&Item))
        Each.m_Coordinator.onTableReply(Read->m_Ticket,
                                        m_Table.read(Read->m_Read), m_Now);
      else if (const auto *Commit = std::get_if<CommitTable>(&Item))
        Each.m_Coordinator.onTableReply(
            Commit->m_Ticket, m_Table.commit(Commit->m_Transaction), m_Now);
      else if (const auto *Send = std::get_if<SendControl>(&Item))
        deliver(Each, *Send);
    }
  }

  void deliver(const Process &Sender, const SendControl &Send) {
    for (Process &Each : m_Processes)
      if (Each.m_Address == Send.m_To)
        Each.m_Coordinator.onMessage(Send.m_Message, Sender.m_Address, m_Now);
  }

  MemoryTable &m_Table;
  TimePoint m_Now{std::chrono::seconds(1)};
};

void commitFirstConfig(MemoryTable &Table) {
  Service Orders;
  Orders.m_Name = ServiceName("orders");
  Orders.m_DividedByKey = true;
  Orders.m_Shards = 12;
  Orders.m_Classes = {{.m_Name = ClassName("read")}};
  Config First;
  First.m_Version = ConfigVersion(1);
  First.m_Manifest.m_Services = {Orders};
  Transaction Commit = makeConfigCommit(Table.get(ConfigHeadRowKey), Config{},
                                        First, WriteId(1));
  appendHeadUpdate(Commit, *parseHeadRow(Table.get(HeadRowKey)),
                   {{ConfigHeadRowKey, 1}});
  Table.commit(Commit);
}

} // namespace

int main() {
  MemoryTable Table;
  commitFirstConfig(Table);
  Simulation Cluster(Table);
  Cluster.add("a", 1);
  Cluster.add("b", 2);
  Cluster.add("c", 3);
  Cluster.run(std::chrono::seconds(10));

  std::size_t Owned = 0;
  for (const Process &Each : Cluster.m_Processes) {
    const auto Status =
        Each.m_Coordinator.status(TimePoint(std::chrono::seconds(11)));
    std::cout << Each.m_Address.value() << " owns " << Status.m_ShardsOwned
              << " shards\n";
    Owned += Status.m_ShardsOwned;
  }
  return Owned == 12 ? 0 : 1;
}
