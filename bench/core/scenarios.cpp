// The scenarios: which actions they take on a cluster under load, and when.
#include "bench/core/rig.h"

#include <algorithm>
#include <csignal>

namespace balsamwheel::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PolicySettings FixedGate{{"gate", "fixed"}};
const PolicySettings RoundRobin{{"picker", "round-robin"}, {"hedge", "false"}};
const PolicySettings PlainBaseline{{"handover", "drain-then-switch"},
                                   {"witnesses", "false"},
                                   {"gate", "fixed"},
                                   {"picker", "round-robin"},
                                   {"hedge", "false"}};

/// Factors on service times and rates that keep about six slots of a target
/// busy.
constexpr double HeavyServiceTimeFactor = 30;
constexpr double HeavyLoadFactor = 1.3;

/// Index of a server of the keyed service with the most servers.
constexpr std::size_t KeyedServerIndex = 1;

TimedAction platformFault(Duration At, const std::string &Label,
                          nlohmann::json Fault) {
  return {At, Label, [Fault = std::move(Fault)](Rig &TestRig) {
            TestRig.cluster().setPlatformFault(Fault);
          }};
}

TimedAction kill(Duration At, std::size_t Index) {
  return {At, "kill a server",
          [Index](Rig &TestRig) { TestRig.cluster().killServer(Index); }};
}

TimedAction restart(Duration At, std::size_t Index) {
  return {At, "start the server again", [Index](Rig &TestRig) {
            TestRig.cluster().startServer(Index, /*Cold=*/true);
          }};
}

TimedAction suspend(Duration At, std::size_t Index) {
  return {At, "freeze a server", [Index](Rig &TestRig) {
            TestRig.cluster().signalServer(Index, SIGSTOP);
          }};
}

TimedAction resume(Duration At, std::size_t Index) {
  return {At, "let the server go on", [Index](Rig &TestRig) {
            TestRig.cluster().signalServer(Index, SIGCONT);
          }};
}

TimedAction domainOut(Duration At, const std::string &Suffix) {
  return {At, "take domain " + Suffix + " out", [Suffix](Rig &TestRig) {
            TestRig.takeDomainOut(TestRig.cluster().domainName(Suffix));
          }};
}

TimedAction domainIn(Duration At, const std::string &Suffix) {
  return {At, "take domain " + Suffix + " in", [Suffix](Rig &TestRig) {
            TestRig.takeDomainIn(TestRig.cluster().domainName(Suffix));
          }};
}

TimedAction targetFault(Duration At, const std::string &Label,
                        std::vector<std::size_t> Indices,
                        nlohmann::json Fault) {
  return {
      At, Label,
      [Indices = std::move(Indices), Fault = std::move(Fault)](Rig &TestRig) {
        for (const std::size_t Index : Indices)
          TestRig.cluster().setTargetFault(Index, Fault);
      }};
}

/// Sets the rates of all streams, or of the downloads only, to a multiple of
/// those planned.
TimedAction scaleRate(Duration At, const std::string &Label, double Factor,
                      bool OnlyDownloads) {
  return {At, Label, [Factor, OnlyDownloads](Rig &TestRig) {
            const auto &Streams = TestRig.plan().m_Streams;
            for (std::size_t Index = 0; Index < Streams.size(); ++Index)
              if (!OnlyDownloads || Streams[Index].m_Class == "download")
                TestRig.load().setRate(Index, Streams[Index].m_Rate * Factor);
          }};
}

void raceOperators(Rig &TestRig) {
  std::vector<ChildProcess> Commands;
  for (int Round = 0; Round < 2; ++Round)
    for (const char *Domain : {"a", "b", "c"})
      Commands.push_back(TestRig.cluster().startOperatorCommand(
          {"domain", "out", TestRig.cluster().domainName(Domain)}));
  std::string Codes;
  for (ChildProcess &Each : Commands) {
    const auto Status = Each.wait(seconds(30));
    Codes += " " + (Status ? std::to_string(*Status >> 8) : "none");
  }
  TestRig.addNote("exit codes of racing operators:" + Codes);
  if (const auto Committed = TestRig.cluster().readConfig())
    TestRig.addNote("configuration version " +
                    std::to_string(Committed->m_Version.value()) +
                    ", domains out " +
                    std::to_string(Committed->m_DomainsOut.size()));
  for (const char *Domain : {"a", "b", "c"})
    TestRig.takeDomainIn(TestRig.cluster().domainName(Domain));
}

Scenario makeScenario(const char *Name, const char *Help, Duration Length,
                      std::vector<TimedAction> Actions,
                      PolicySettings Baseline = PlainBaseline) {
  Scenario Result;
  Result.m_Name = Name;
  Result.m_Help = Help;
  Result.m_Length = Length;
  Result.m_Actions = std::move(Actions);
  Result.m_Baseline = std::move(Baseline);
  return Result;
}

std::vector<Scenario> faultScenarios() {
  std::vector<Scenario> Result;
  Result.push_back(makeScenario(
      "demo", "one server killed, one failure domain taken out and back in",
      seconds(20),
      {kill(seconds(4), KeyedServerIndex), domainOut(seconds(9), "c"),
       domainIn(seconds(14), "c")},
      {}));
  Result.push_back(makeScenario(
      "node-loss", "a server killed with SIGKILL and started again",
      seconds(20),
      {kill(seconds(5), KeyedServerIndex),
       restart(seconds(13), KeyedServerIndex)}));
  Result.push_back(makeScenario(
      "node-pause", "a daemon and its target suspended for 6 s", seconds(20),
      {suspend(seconds(5), KeyedServerIndex),
       resume(seconds(11), KeyedServerIndex)}));
  Result.push_back(makeScenario(
      "table-outage", "the table down for 12 s, a server killed meanwhile",
      seconds(26),
      {platformFault(seconds(4), "table down", {{"mode", "down"}}),
       kill(seconds(10), KeyedServerIndex),
       platformFault(seconds(16), "table back", {{"mode", "ok"}})}));
  Result.push_back(makeScenario(
      "table-slow", "the table answers after 2 s, then its answers are lost",
      seconds(24),
      {platformFault(seconds(4), "table slow",
                     {{"mode", "slow"}, {"delay_ms", 2000}}),
       platformFault(seconds(11), "answers lost", {{"mode", "ambiguous"}}),
       kill(seconds(13), KeyedServerIndex),
       platformFault(seconds(15), "table back", {{"mode", "ok"}})}));
  Result.push_back(makeScenario(
      "graceful-shutdown", "SIGTERM to two daemons, one after the other",
      seconds(20),
      {{seconds(5), "SIGTERM to a daemon",
        [](Rig &TestRig) { TestRig.shutDownDaemon(KeyedServerIndex); }},
       {seconds(11), "SIGTERM to a second daemon",
        [](Rig &TestRig) { TestRig.shutDownDaemon(KeyedServerIndex + 2); }}}));
  Result.push_back(makeScenario(
      "operator-race", "six operator commands at the same time", seconds(16),
      {{seconds(4), "operators race", &raceOperators}}, {}));
  Result.push_back(makeScenario(
      "domain-out-in", "a failure domain taken out and back in", seconds(24),
      {domainOut(seconds(6), "b"), domainIn(seconds(14), "b")}));
  return Result;
}

std::vector<Scenario> networkScenarios() {
  Scenario Partition = makeScenario(
      "partition", "a server, then a failure domain, partitioned", seconds(28),
      {{seconds(4), "cut a server off from all daemons",
        [](Rig &TestRig) {
          TestRig.cluster().isolate({KeyedServerIndex}, false);
        }},
       {seconds(10), "heal",
        [](Rig &TestRig) { TestRig.cluster().healPartition(); }},
       {seconds(14), "cut a domain off from daemons and table",
        [](Rig &TestRig) {
          Cluster &Servers = TestRig.cluster();
          Servers.isolate(Servers.indicesOf(Servers.domainName("b")), true);
        }},
       {seconds(21), "heal",
        [](Rig &TestRig) { TestRig.cluster().healPartition(); }}});
  Partition.m_Relays = true;
  Scenario Silent = makeScenario(
      "silent-connections",
      "open peer connections stop delivering, new ones work", seconds(20),
      {{seconds(5), "connections go silent",
        [](Rig &TestRig) {
          TestRig.cluster().relays().silenceOpenConnections();
        }},
       {seconds(12), "connections go silent again", [](Rig &TestRig) {
          TestRig.cluster().relays().silenceOpenConnections();
        }}});
  Silent.m_Relays = true;
  return {std::move(Partition), std::move(Silent)};
}

std::vector<Scenario> loadScenarios() {
  std::vector<Scenario> Result;
  Result.push_back(
      makeScenario("steady", "constant load, no faults", seconds(15), {}));

  Scenario Cold =
      makeScenario("cold-start", "three targets restart cold", seconds(24),
                   {{seconds(5), "targets start again",
                     [](Rig &TestRig) {
                       for (const std::size_t Index : {0U, 1U, 2U})
                         TestRig.cluster().restartTarget(Index, true);
                     }}},
                   FixedGate);
  Cold.m_ServiceTimeFactor = HeavyServiceTimeFactor;
  Cold.m_LoadFactor = HeavyLoadFactor;
  Result.push_back(std::move(Cold));

  Scenario SilentCold = makeScenario(
      "silent-cold", "two targets turn cold without announcing it", seconds(20),
      {targetFault(seconds(5), "targets turn cold", {0, 6}, {{"cold", true}})},
      FixedGate);
  SilentCold.m_ServiceTimeFactor = HeavyServiceTimeFactor;
  SilentCold.m_LoadFactor = HeavyLoadFactor;
  Result.push_back(std::move(SilentCold));

  Scenario Overload = makeScenario(
      "overload-classes", "downloads at twice the capacity", seconds(20),
      {scaleRate(seconds(6), "downloads rise", 9, true)}, FixedGate);
  Overload.m_ServiceTimeFactor = HeavyServiceTimeFactor;
  Result.push_back(std::move(Overload));

  Scenario Slowed =
      makeScenario("slowed-targets",
                   "one of three download targets slowed tenfold", seconds(24),
                   {targetFault(seconds(8), "a target slows down", {13},
                                {{"slow_factor", 10}}),
                    targetFault(seconds(18), "the target recovers", {13},
                                {{"slow_factor", 1}})},
                   RoundRobin);
  Slowed.m_Deployment = "etna-verde";
  Slowed.m_LoadFactor = 2;
  Result.push_back(std::move(Slowed));

  Scenario Straggler =
      makeScenario("straggler-keys",
                   "a target of a keyed service slowed tenfold", seconds(24),
                   {targetFault(seconds(8), "a target slows down",
                                {KeyedServerIndex}, {{"slow_factor", 10}}),
                    targetFault(seconds(18), "the target recovers",
                                {KeyedServerIndex}, {{"slow_factor", 1}})});
  Straggler.m_Deployment = "etna-verde";
  Result.push_back(std::move(Straggler));

  Scenario Hot = makeScenario(
      "hot-keys", "the hottest keys change (Zipf 1.1)", seconds(40),
      {{seconds(15), "hot keys change", [](Rig &TestRig) {
          const auto &Streams = TestRig.plan().m_Streams;
          for (std::size_t Index = 0; Index < Streams.size(); ++Index)
            TestRig.load().renameKeys(Index);
        }}});
  Hot.m_AdjustLoad = [](LoadPlan &Plan) {
    for (LoadStream &Stream : Plan.m_Streams)
      Stream.m_Zipf = 1.1;
  };
  Result.push_back(std::move(Hot));

  Scenario Storm = makeScenario(
      "retry-storm", "slow targets while callers retry", seconds(20),
      {targetFault(seconds(5), "targets slow down", {0, 1, 2, 3, 4, 5},
                   {{"slow_factor", 20}}),
       targetFault(seconds(13), "targets recover", {0, 1, 2, 3, 4, 5},
                   {{"slow_factor", 1}})});
  Storm.m_ServiceTimeFactor = 5;
  Storm.m_AdjustLoad = [](LoadPlan &Plan) { Plan.m_GiveUpAfter = seconds(3); };
  Result.push_back(std::move(Storm));
  return Result;
}

} // namespace

const std::vector<Scenario> &scenarios() {
  static const std::vector<Scenario> All = [] {
    std::vector<Scenario> Result = faultScenarios();
    std::ranges::move(networkScenarios(), std::back_inserter(Result));
    std::ranges::move(loadScenarios(), std::back_inserter(Result));
    return Result;
  }();
  return All;
}

} // namespace balsamwheel::bench
