// balsamwheel-capacity: what coordination costs at a given size, by role, in
// quiet and after losses. Time is simulated; processor time is real.
#include "bench/capacity/fleet.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace {

using namespace balsamwheel;
using namespace balsamwheel::capacity;
using Json = nlohmann::json;
using std::chrono::seconds;

constexpr seconds QuietTime{30};
constexpr seconds LossLimit{60};
constexpr std::uint32_t RackSize = 20;

double asSeconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

std::uint64_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  Statm >> Total >> Resident;
  constexpr std::uint64_t PageBytes = 4096;
  return Resident * PageBytes;
}

/// Mean and largest of the nodes of one role.
struct Spread {
  double m_Sum = 0;
  double m_Most = 0;
  std::size_t m_Count = 0;

  void add(double Value) {
    m_Sum += Value;
    m_Most = std::max(m_Most, Value);
    ++m_Count;
  }

  Json toJson() const {
    return {{"mean", m_Count == 0 ? 0 : m_Sum / static_cast<double>(m_Count)},
            {"most", m_Most}};
  }
};

struct RoleBill {
  Spread m_BytesPerSecond;
  Spread m_MessagesPerSecond;
  Spread m_CorePercent;

  Json toJson() const {
    return {{"nodes", m_BytesPerSecond.m_Count},
            {"bytes_per_s", m_BytesPerSecond.toJson()},
            {"messages_per_s", m_MessagesPerSecond.toJson()},
            {"core_percent", m_CorePercent.toJson()}};
  }
};

Json bills(const Fleet &Subject, Duration Over) {
  RoleBill Leaders;
  RoleBill Members;
  const double Time = asSeconds(Over);
  for (std::uint32_t Node = 0; Node < Subject.size(); ++Node) {
    if (!Subject.isAlive(Node))
      continue;
    RoleBill &Role = Subject.leads(Node) ? Leaders : Members;
    const Bill &Used = Subject.bill(Node);
    Role.m_BytesPerSecond.add(
        static_cast<double>(Used.m_PeerBytes + Used.m_TableBytes) / Time);
    Role.m_MessagesPerSecond.add(static_cast<double>(Used.m_PeerMessages) /
                                 Time);
    Role.m_CorePercent.add(static_cast<double>(Used.m_Cpu.count()) / 1e7 /
                           Time);
  }
  const TableBill &Table = Subject.tableBill();
  const auto Rate = [Time](std::uint64_t Count) {
    return static_cast<double>(Count) / Time;
  };
  return {{"seconds", Time},
          {"leaders", Leaders.toJson()},
          {"members", Members.toJson()},
          {"table",
           {{"commits_per_s", Rate(Table.m_Commits)},
            {"conflicts_per_s", Rate(Table.m_Conflicts)},
            {"reads_per_s", Rate(Table.m_Reads)},
            {"rows_read_per_s", Rate(Table.m_RowsRead)},
            {"rows_written_per_s", Rate(Table.m_RowsWritten)}}}};
}

Json quiet(Fleet &Subject) {
  Subject.clearBills();
  Subject.run(QuietTime);
  return bills(Subject, QuietTime);
}

/// Kills nodes and lets the fleet recover.
Json loss(Fleet &Subject, const std::vector<std::uint32_t> &Nodes) {
  Subject.clearBills();
  Subject.kill(Nodes);
  const Duration Took = Subject.runUntilServed(LossLimit);
  Json Result = bills(Subject, Took);
  Result["nodes_lost"] = Nodes.size();
  Result["served_again_s"] = asSeconds(Took);
  Result["unserved_at_end"] = Subject.unserved();
  Subject.run(seconds(20));
  return Result;
}

Json configChange(Fleet &Subject, std::uint64_t Version) {
  Subject.clearBills();
  Subject.commitConfig(Subject.makeConfig(Version));
  Duration Took{0};
  constexpr Duration Step = std::chrono::milliseconds(20);
  while (Subject.lagging(ConfigVersion(Version)) > 0 && Took < LossLimit) {
    Subject.run(Step);
    Took += Step;
  }
  Json Result = bills(Subject, std::max(Took, Step));
  Result["in_force_s"] = asSeconds(Took);
  return Result;
}

Json outage(Fleet &Subject) {
  Subject.clearBills();
  Subject.setTableDown(true);
  std::size_t Worst = 0;
  constexpr Duration Step = std::chrono::milliseconds(500);
  for (Duration Past{0}; Past < QuietTime; Past += Step) {
    Subject.run(Step);
    Worst = std::max(Worst, Subject.unserved());
  }
  Json Result = bills(Subject, QuietTime);
  Subject.setTableDown(false);
  Result["most_unserved"] = Worst;
  Subject.run(seconds(10));
  Result["unserved_afterwards"] = Subject.unserved();
  return Result;
}

std::vector<std::uint32_t> pick(const Fleet &Subject, std::uint32_t Domain,
                                std::uint32_t Most) {
  std::vector<std::uint32_t> Result;
  for (std::uint32_t Node = 0; Node < Subject.size(); ++Node)
    if (Subject.isAlive(Node) && Subject.domainOf(Node) == Domain &&
        Result.size() < Most)
      Result.push_back(Node);
  return Result;
}

void progress(const char *Step) { std::cerr << "  " << Step << "\n"; }

Json measure(const FleetOptions &Options) {
  Json Result{{"nodes", Options.m_Nodes},
              {"shards", Options.m_Shards},
              {"seed", Options.m_Seed}};
  const std::uint64_t Before = residentBytes();
  Fleet Subject(Options);
  progress("forming");
  const Duration Starting = Subject.startTime();
  Subject.run(Starting);
  Result["started_s"] = asSeconds(Starting);
  Result["formed_after_start_s"] =
      asSeconds(Subject.runUntilServed(std::chrono::minutes(5)));
  Subject.run(seconds(60));
  Result["memory_bytes_per_node"] =
      (residentBytes() - Before) / Options.m_Nodes;
  progress("quiet");
  Result["quiet"] = quiet(Subject);
  progress("configuration change");
  Result["config_change"] = configChange(Subject, 2);
  progress("table outage");
  Result["table_outage"] = outage(Subject);
  progress("loss of a node");
  Result["node_loss"] = loss(Subject, pick(Subject, 1, 1));
  const std::uint32_t Rack =
      std::min(RackSize, std::max(1U, Options.m_Nodes / 16));
  progress("loss of a rack");
  Result["rack_loss"] = loss(Subject, pick(Subject, 2, Rack));
  progress("loss of a failure domain");
  Result["domain_loss"] = loss(Subject, pick(Subject, 3, Options.m_Nodes));
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("balsamwheel-capacity",
                           "Measures what coordination costs at a size.");
  Options.add_options()("nodes", "number of nodes",
                        cxxopts::value<std::uint32_t>()->default_value("880"))(
      "shards", "shards of the one service",
      cxxopts::value<std::uint32_t>()->default_value("16384"))(
      "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "help", "print help");
  try {
    const auto Flags = Options.parse(Count, Arguments);
    if (Flags.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    FleetOptions Size;
    Size.m_Nodes = Flags["nodes"].as<std::uint32_t>();
    Size.m_Shards = Flags["shards"].as<std::uint32_t>();
    Size.m_Seed = Flags["seed"].as<std::uint64_t>();
    std::cerr << "balsamwheel-capacity --nodes " << Size.m_Nodes << " --shards "
              << Size.m_Shards << " --seed " << Size.m_Seed << "\n";
    std::cout << measure(Size).dump(2) << "\n";
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
