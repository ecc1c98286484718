// balsamwheel-capacity: resource usage of coordination at a given number of
// nodes, by role, in steady state and after failures. Time is simulated; CPU
// time is measured.
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

/// Length of the measurements in steady state and without a table.
constexpr seconds SteadyStateLength{30};
/// A measurement of a recovery or a configuration change ends after this time.
constexpr seconds RecoveryLimit{60};
/// Maximum number of nodes in a rack; a smaller fleet has 1/16 of its nodes in
/// one.
constexpr std::uint32_t MaxRackNodes = 20;

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

/// Mean and maximum over the nodes of one role.
struct MeanAndMax {
  double m_Sum = 0;
  double m_Max = 0;
  std::size_t m_Count = 0;

  void add(double Value) {
    m_Sum += Value;
    m_Max = std::max(m_Max, Value);
    ++m_Count;
  }

  Json toJson() const {
    return {{"mean", m_Count == 0 ? 0 : m_Sum / static_cast<double>(m_Count)},
            {"most", m_Max}};
  }
};

struct RoleUsage {
  MeanAndMax m_BytesPerSecond;
  MeanAndMax m_MessagesPerSecond;
  MeanAndMax m_CorePercent;

  Json toJson() const {
    return {{"nodes", m_BytesPerSecond.m_Count},
            {"bytes_per_s", m_BytesPerSecond.toJson()},
            {"messages_per_s", m_MessagesPerSecond.toJson()},
            {"core_percent", m_CorePercent.toJson()}};
  }
};

Json reportUsage(const Fleet &TestedFleet, Duration Elapsed) {
  RoleUsage Leaders;
  RoleUsage Members;
  const double Time = asSeconds(Elapsed);
  for (std::uint32_t Node = 0; Node < TestedFleet.size(); ++Node) {
    if (!TestedFleet.isAlive(Node))
      continue;
    RoleUsage &Role = TestedFleet.isLeader(Node) ? Leaders : Members;
    const NodeUsage &Used = TestedFleet.usage(Node);
    Role.m_BytesPerSecond.add(
        static_cast<double>(Used.m_PeerBytes + Used.m_TableBytes) / Time);
    Role.m_MessagesPerSecond.add(static_cast<double>(Used.m_PeerMessages) /
                                 Time);
    Role.m_CorePercent.add(static_cast<double>(Used.m_Cpu.count()) / 1e7 /
                           Time);
  }
  const TableUsage &Table = TestedFleet.tableUsage();
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

Json measureSteadyState(Fleet &TestedFleet) {
  TestedFleet.resetUsage();
  TestedFleet.run(SteadyStateLength);
  return reportUsage(TestedFleet, SteadyStateLength);
}

/// Kills nodes and measures until every shard is served again.
Json measureLoss(Fleet &TestedFleet, const std::vector<std::uint32_t> &Nodes) {
  TestedFleet.resetUsage();
  TestedFleet.kill(Nodes);
  const Duration Elapsed = TestedFleet.runUntilServed(RecoveryLimit);
  Json Result = reportUsage(TestedFleet, Elapsed);
  Result["nodes_lost"] = Nodes.size();
  Result["served_again_s"] = asSeconds(Elapsed);
  Result["unserved_at_end"] = TestedFleet.unserved();
  TestedFleet.run(seconds(20));
  return Result;
}

Json measureConfigChange(Fleet &TestedFleet, std::uint64_t Version) {
  TestedFleet.resetUsage();
  TestedFleet.commitConfig(TestedFleet.makeConfig(Version));
  Duration Elapsed{0};
  constexpr Duration Step = std::chrono::milliseconds(20);
  while (TestedFleet.nodesBehind(ConfigVersion(Version)) > 0 &&
         Elapsed < RecoveryLimit) {
    TestedFleet.run(Step);
    Elapsed += Step;
  }
  Json Result = reportUsage(TestedFleet, std::max(Elapsed, Step));
  Result["in_force_s"] = asSeconds(Elapsed);
  return Result;
}

Json measureTableOutage(Fleet &TestedFleet) {
  TestedFleet.resetUsage();
  TestedFleet.setTableDown(true);
  std::size_t MaxUnserved = 0;
  constexpr Duration Step = std::chrono::milliseconds(500);
  for (Duration Elapsed{0}; Elapsed < SteadyStateLength; Elapsed += Step) {
    TestedFleet.run(Step);
    MaxUnserved = std::max(MaxUnserved, TestedFleet.unserved());
  }
  Json Result = reportUsage(TestedFleet, SteadyStateLength);
  TestedFleet.setTableDown(false);
  Result["most_unserved"] = MaxUnserved;
  TestedFleet.run(seconds(10));
  Result["unserved_afterwards"] = TestedFleet.unserved();
  return Result;
}

std::vector<std::uint32_t> pickNodes(const Fleet &TestedFleet,
                                     std::uint32_t Domain,
                                     std::uint32_t MaxCount) {
  std::vector<std::uint32_t> Result;
  for (std::uint32_t Node = 0; Node < TestedFleet.size(); ++Node)
    if (TestedFleet.isAlive(Node) && TestedFleet.domainOf(Node) == Domain &&
        Result.size() < MaxCount)
      Result.push_back(Node);
  return Result;
}

void printProgress(const char *Step) { std::cerr << "  " << Step << "\n"; }

Json measure(const FleetOptions &Options) {
  Json Result{{"nodes", Options.m_Nodes},
              {"shards", Options.m_Shards},
              {"seed", Options.m_Seed}};
  const std::uint64_t Before = residentBytes();
  Fleet TestedFleet(Options);
  printProgress("forming");
  const Duration Starting = TestedFleet.startTime();
  TestedFleet.run(Starting);
  Result["started_s"] = asSeconds(Starting);
  Result["formed_after_start_s"] =
      asSeconds(TestedFleet.runUntilServed(std::chrono::minutes(5)));
  TestedFleet.run(seconds(60));
  Result["memory_bytes_per_node"] =
      (residentBytes() - Before) / Options.m_Nodes;
  printProgress("quiet");
  Result["quiet"] = measureSteadyState(TestedFleet);
  printProgress("configuration change");
  Result["config_change"] = measureConfigChange(TestedFleet, 2);
  printProgress("table outage");
  Result["table_outage"] = measureTableOutage(TestedFleet);
  printProgress("loss of a node");
  Result["node_loss"] = measureLoss(TestedFleet, pickNodes(TestedFleet, 1, 1));
  const std::uint32_t Rack =
      std::min(MaxRackNodes, std::max(1U, Options.m_Nodes / 16));
  printProgress("loss of a rack");
  Result["rack_loss"] =
      measureLoss(TestedFleet, pickNodes(TestedFleet, 2, Rack));
  printProgress("loss of a failure domain");
  Result["domain_loss"] =
      measureLoss(TestedFleet, pickNodes(TestedFleet, 3, Options.m_Nodes));
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("balsamwheel-capacity",
                           "Measures the resource usage of coordination at a "
                           "given number of nodes.");
  Options.add_options()("nodes", "number of nodes",
                        cxxopts::value<std::uint32_t>()->default_value("880"))(
      "shards", "number of shards of the service",
      cxxopts::value<std::uint32_t>()->default_value("16384"))(
      "seed", "seed of the coordinators' random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                           "print help");
  try {
    const auto Flags = Options.parse(Count, Arguments);
    if (Flags.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    FleetOptions Settings;
    Settings.m_Nodes = Flags["nodes"].as<std::uint32_t>();
    Settings.m_Shards = Flags["shards"].as<std::uint32_t>();
    Settings.m_Seed = Flags["seed"].as<std::uint64_t>();
    std::cerr << "balsamwheel-capacity --nodes " << Settings.m_Nodes
              << " --shards " << Settings.m_Shards << " --seed "
              << Settings.m_Seed << "\n";
    std::cout << measure(Settings).dump(2) << "\n";
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
