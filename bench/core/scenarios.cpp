// The scenarios: what is done to a cluster under load, and when.
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

/// Service times and rates that keep some six slots of a target busy.
constexpr double HeavyWork = 30;
constexpr double HeavyLoad = 1.3;

/// Index of a server of the keyed service with most servers.
constexpr std::size_t KeyedServer = 1;

TimedAction platform(Duration At, const std::string &Label,
                     nlohmann::json Fault) {
  return {At, Label, [Fault = std::move(Fault)](Rig &Target) {
            Target.cluster().setPlatformFault(Fault);
          }};
}

TimedAction kill(Duration At, std::size_t Index) {
  return {At, "kill a server",
          [Index](Rig &Target) { Target.cluster().killServer(Index); }};
}

TimedAction restart(Duration At, std::size_t Index) {
  return {At, "start the server again", [Index](Rig &Target) {
            Target.cluster().startServer(Index, /*Cold=*/true);
          }};
}

TimedAction freeze(Duration At, std::size_t Index) {
  return {At, "freeze a server", [Index](Rig &Target) {
            Target.cluster().signalServer(Index, SIGSTOP);
          }};
}

TimedAction thaw(Duration At, std::size_t Index) {
  return {At, "let the server go on", [Index](Rig &Target) {
            Target.cluster().signalServer(Index, SIGCONT);
          }};
}

TimedAction domainOut(Duration At, const std::string &Suffix) {
  return {At, "take domain " + Suffix + " out", [Suffix](Rig &Target) {
            Target.takeDomainOut(Target.cluster().domain(Suffix));
          }};
}

TimedAction domainIn(Duration At, const std::string &Suffix) {
  return {At, "take domain " + Suffix + " in", [Suffix](Rig &Target) {
            Target.takeDomainIn(Target.cluster().domain(Suffix));
          }};
}

TimedAction targetFault(Duration At, const std::string &Label,
                        std::vector<std::size_t> Indices,
                        nlohmann::json Fault) {
  return {
      At, Label,
      [Indices = std::move(Indices), Fault = std::move(Fault)](Rig &Target) {
        for (const std::size_t Index : Indices)
          Target.cluster().setTargetFault(Index, Fault);
      }};
}

/// Multiplies the rate of every stream of a service's class.
TimedAction scaleRate(Duration At, const std::string &Label, double Factor,
                      bool OnlyDownloads) {
  return {At, Label, [Factor, OnlyDownloads](Rig &Target) {
            const auto &Streams = Target.plan().m_Streams;
            for (std::size_t Index = 0; Index < Streams.size(); ++Index)
              if (!OnlyDownloads || Streams[Index].m_Class == "download")
                Target.load().setRate(Index, Streams[Index].m_Rate * Factor);
          }};
}

void raceOperators(Rig &Target) {
  std::vector<ChildProcess> Racing;
  for (int Round = 0; Round < 2; ++Round)
    for (const char *Domain : {"a", "b", "c"})
      Racing.push_back(Target.cluster().startOperator(
          {"domain", "out", Target.cluster().domain(Domain)}));
  std::string Codes;
  for (ChildProcess &Each : Racing) {
    const auto Status = Each.wait(seconds(30));
    Codes += " " + (Status ? std::to_string(*Status >> 8) : "none");
  }
  Target.note("exit codes of racing operators:" + Codes);
  if (const auto Version = Target.cluster().readConfig())
    Target.note("configuration version " +
                std::to_string(Version->m_Version.value()) + ", domains out " +
                std::to_string(Version->m_DomainsOut.size()));
  for (const char *Domain : {"a", "b", "c"})
    Target.takeDomainIn(Target.cluster().domain(Domain));
}

Scenario make(const char *Name, const char *Help, Duration Length,
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
  Result.push_back(make(
      "demo", "a server killed, a failure domain out and back", seconds(20),
      {kill(seconds(4), KeyedServer), domainOut(seconds(9), "c"),
       domainIn(seconds(14), "c")},
      {}));
  Result.push_back(
      make("node-loss", "a server lost by SIGKILL, back later", seconds(20),
           {kill(seconds(5), KeyedServer), restart(seconds(13), KeyedServer)}));
  Result.push_back(
      make("node-pause", "daemon and target frozen for 6 s", seconds(20),
           {freeze(seconds(5), KeyedServer), thaw(seconds(11), KeyedServer)}));
  Result.push_back(
      make("table-outage", "the table down for 12 s, a server lost in it",
           seconds(26),
           {platform(seconds(4), "table down", {{"mode", "down"}}),
            kill(seconds(10), KeyedServer),
            platform(seconds(16), "table back", {{"mode", "ok"}})}));
  Result.push_back(make(
      "table-slow", "table answers after 2 s, then lost answers", seconds(24),
      {platform(seconds(4), "table slow",
                {{"mode", "slow"}, {"delay_ms", 2000}}),
       platform(seconds(11), "answers lost", {{"mode", "ambiguous"}}),
       kill(seconds(13), KeyedServer),
       platform(seconds(15), "table back", {{"mode", "ok"}})}));
  Result.push_back(
      make("graceful-shutdown", "SIGTERM to daemons, one after the other",
           seconds(20),
           {{seconds(5), "SIGTERM to a daemon",
             [](Rig &Target) { Target.shutDownDaemon(KeyedServer); }},
            {seconds(11), "SIGTERM to a second daemon",
             [](Rig &Target) { Target.shutDownDaemon(KeyedServer + 2); }}}));
  Result.push_back(make("operator-race", "six operators at the same time",
                        seconds(16),
                        {{seconds(4), "operators race", &raceOperators}}, {}));
  Result.push_back(
      make("domain-out-in", "a failure domain out and back", seconds(24),
           {domainOut(seconds(6), "b"), domainIn(seconds(14), "b")}));
  return Result;
}

std::vector<Scenario> networkScenarios() {
  Scenario Partition = make(
      "partition", "a server, then a failure domain, cut off", seconds(28),
      {{seconds(4), "cut a server off from all daemons",
        [](Rig &Target) { Target.cluster().isolate({KeyedServer}, false); }},
       {seconds(10), "heal",
        [](Rig &Target) { Target.cluster().healPartition(); }},
       {seconds(14), "cut a domain off from daemons and table",
        [](Rig &Target) {
          Cluster &Servers = Target.cluster();
          Servers.isolate(Servers.indicesOf(Servers.domain("b")), true);
        }},
       {seconds(21), "heal",
        [](Rig &Target) { Target.cluster().healPartition(); }}});
  Partition.m_Relays = true;
  Scenario Silent =
      make("silent-connections", "open connections go silent, new ones work",
           seconds(20),
           {{seconds(5), "connections go silent",
             [](Rig &Target) {
               Target.cluster().relays().silenceOpenConnections();
             }},
            {seconds(12), "connections go silent again", [](Rig &Target) {
               Target.cluster().relays().silenceOpenConnections();
             }}});
  Silent.m_Relays = true;
  return {std::move(Partition), std::move(Silent)};
}

std::vector<Scenario> loadScenarios() {
  std::vector<Scenario> Result;
  Result.push_back(make("steady", "nothing happens", seconds(15), {}));

  Scenario Cold =
      make("cold-start", "three targets start again, cold", seconds(24),
           {{seconds(5), "targets start again",
             [](Rig &Target) {
               for (const std::size_t Index : {0U, 1U, 2U})
                 Target.cluster().restartTarget(Index, true);
             }}},
           FixedGate);
  Cold.m_TimeScale = HeavyWork;
  Cold.m_LoadFactor = HeavyLoad;
  Result.push_back(std::move(Cold));

  Scenario SilentCold = make(
      "silent-cold", "two targets turn cold without a sign", seconds(20),
      {targetFault(seconds(5), "targets turn cold", {0, 6}, {{"cold", true}})},
      FixedGate);
  SilentCold.m_TimeScale = HeavyWork;
  SilentCold.m_LoadFactor = HeavyLoad;
  Result.push_back(std::move(SilentCold));

  Scenario Overload =
      make("overload-classes", "downloads at twice the capacity", seconds(20),
           {scaleRate(seconds(6), "downloads rise", 9, true)}, FixedGate);
  Overload.m_TimeScale = HeavyWork;
  Result.push_back(std::move(Overload));

  Scenario Slowed =
      make("slowed-targets", "one of three targets of downloads slowed tenfold",
           seconds(24),
           {targetFault(seconds(8), "a target slows down", {13},
                        {{"slow_factor", 10}}),
            targetFault(seconds(18), "the target recovers", {13},
                        {{"slow_factor", 1}})},
           RoundRobin);
  Slowed.m_Deployment = "etna-verde";
  Slowed.m_LoadFactor = 2;
  Result.push_back(std::move(Slowed));

  Scenario Straggler =
      make("straggler-keys", "a target with keys slowed tenfold", seconds(24),
           {targetFault(seconds(8), "a target slows down", {KeyedServer},
                        {{"slow_factor", 10}}),
            targetFault(seconds(18), "the target recovers", {KeyedServer},
                        {{"slow_factor", 1}})});
  Straggler.m_Deployment = "etna-verde";
  Result.push_back(std::move(Straggler));

  Scenario Hot =
      make("hot-keys", "the hottest keys change (Zipf 1.1)", seconds(40),
           {{seconds(15), "hot keys change", [](Rig &Target) {
               const auto &Streams = Target.plan().m_Streams;
               for (std::size_t Index = 0; Index < Streams.size(); ++Index)
                 Target.load().shiftKeys(Index);
             }}});
  Hot.m_AdjustLoad = [](LoadPlan &Plan) {
    for (LoadStream &Stream : Plan.m_Streams)
      Stream.m_Zipf = 1.1;
  };
  Result.push_back(std::move(Hot));

  Scenario Storm =
      make("retry-storm", "a slow target under eager callers", seconds(20),
           {targetFault(seconds(5), "targets slow down", {0, 1, 2, 3, 4, 5},
                        {{"slow_factor", 20}}),
            targetFault(seconds(13), "targets recover", {0, 1, 2, 3, 4, 5},
                        {{"slow_factor", 1}})});
  Storm.m_TimeScale = 5;
  Storm.m_AdjustLoad = [](LoadPlan &Plan) { Plan.m_Patience = seconds(3); };
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
