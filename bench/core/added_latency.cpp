// Runs one daemon and its target, and a second target for the direct runs.
#include "bench/core/added_latency.h"

#include "bench/core/clock.h"
#include "bench/core/http_client.h"

#include <array>
#include <iomanip>
#include <ostream>
#include <thread>

namespace balsamwheel::bench {

namespace {

/// Requests per second.
constexpr std::array<double, 2> Rates{500, 4500};
constexpr Duration RunLength = std::chrono::seconds(5);
constexpr std::uint32_t KeyCount = 200;

/// A separate target for the direct runs: the daemon may use up the connection
/// limit of its own target.
class StandaloneTarget {
public:
  StandaloneTarget(const std::filesystem::path &Programs,
                   const std::filesystem::path &Folder)
      : m_Port(pickFreePort()),
        m_Process({.m_Command = {Programs / "balsamwheel-bench", "target",
                                 "--port", std::to_string(m_Port), "--service",
                                 "direct", "--scale", "0"},
                   .m_Log = Folder / "direct.log"}) {
    while (getJson("http://" + address() + "/v1/load").is_discarded())
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }

private:
  std::uint16_t m_Port;
  ChildProcess m_Process;
};

LoadPlan makePlan(const Cluster &Servers, const LoadStream &Stream, double Rate,
                  bool Direct, std::uint64_t Seed,
                  const std::string &DirectTarget) {
  LoadPlan Plan;
  Plan.m_Streams = {Stream};
  Plan.m_Streams[0].m_Rate = Rate;
  Plan.m_Streams[0].m_Keys = KeyCount;
  Plan.m_Seed = Seed;
  Plan.m_Direct = Direct;
  Plan.m_BusyWait = true;
  Plan.m_Entrances =
      Direct ? std::vector<std::string>{DirectTarget} : Servers.entrances();
  return Plan;
}

LatencyRun runOnce(Cluster &Servers, const LoadStream &Stream, double Rate,
                   bool Direct, std::uint64_t Seed,
                   const std::string &DirectTarget, std::ostream &Out) {
  const ChildProcess &Daemon = Servers.servers().front().m_Daemon;
  LoadGenerator Load(
      makePlan(Servers, Stream, Rate, Direct, Seed, DirectTarget));
  const Duration Before = Daemon.processorTime();
  const TimePoint Begin = now();
  Load.start();
  std::this_thread::sleep_for(RunLength);
  Observations Observed;
  Observed.m_Requests = Load.finish();
  Observed.m_Streams = {Stream};
  const Duration DaemonTime = Daemon.processorTime() - Before;
  const Measures Result = measure(Observed, {}, Config{});
  for (const auto &[Reason, Count] : Result.m_Refusals)
    Out << "  attempts not done: " << Reason << " " << Count << "\n";
  const ClassMeasures &Class = Result.m_Classes.at(Stream.m_Name);
  return {.m_Rate = Rate,
          .m_Direct = Direct,
          .m_DoneShare = Result.m_DoneShare,
          .m_P50Ms = Class.m_P50Ms,
          .m_P99Ms = Class.m_P99Ms,
          .m_DaemonCores = std::chrono::duration<double>(DaemonTime) /
                           std::chrono::duration<double>(now() - Begin)};
}

void print(const LatencyRun &Run, std::ostream &Out) {
  Out << std::fixed << std::setprecision(3) << "  " << std::setw(6)
      << static_cast<int>(Run.m_Rate) << "/s "
      << (Run.m_Direct ? "direct " : "through") << "  p50 " << Run.m_P50Ms
      << " ms, p99 " << Run.m_P99Ms << " ms, done " << Run.m_DoneShare
      << ", daemon " << Run.m_DaemonCores << " cores" << std::endl;
}

} // namespace

std::vector<LatencyRun> runAddedLatency(const ExperimentOptions &Options,
                                        std::ostream &Out) {
  Deployment Single = *findDeployment(Options.m_Deployment);
  Single.m_Servers.resize(1);
  Single.m_Streams.resize(1);
  Cluster Servers(
      {.m_Deployment = Single,
       .m_Programs = Options.m_Programs,
       .m_Manifest = Options.m_Manifests / (Options.m_Deployment + ".yaml"),
       .m_Policy = {},
       .m_Seed = Options.m_Seed,
       .m_ServiceTimeFactor = 0,
       .m_ColdTargets = false,
       .m_Relays = false});
  Servers.start();
  const StandaloneTarget DirectTarget(Options.m_Programs, Servers.folder());
  std::vector<LatencyRun> Runs;
  std::uint64_t Seed = Options.m_Seed;
  for (const double Rate : Rates)
    for (std::uint32_t Round = 0; Round < 2 * Options.m_Rounds; ++Round)
      for (const bool Direct : {true, false}) {
        Runs.push_back(runOnce(Servers, Single.m_Streams.front(), Rate, Direct,
                               ++Seed, DirectTarget.address(), Out));
        print(Runs.back(), Out);
      }
  return Runs;
}

nlohmann::json toJson(const std::vector<LatencyRun> &Runs) {
  nlohmann::json List = nlohmann::json::array();
  for (const LatencyRun &Run : Runs)
    List.push_back({{"rate", Run.m_Rate},
                    {"way", Run.m_Direct ? "direct" : "through"},
                    {"done_share", Run.m_DoneShare},
                    {"p50_ms", Run.m_P50Ms},
                    {"p99_ms", Run.m_P99Ms},
                    {"daemon_cores", Run.m_DaemonCores}});
  return {{"scenario", "added-latency"}, {"runs", std::move(List)}};
}

} // namespace balsamwheel::bench
