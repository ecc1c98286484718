// The actions on a cluster that the oracle must know of.
#include "bench/core/rig.h"

#include "bench/core/clock.h"

#include <csignal>

namespace balsamwheel::bench {

namespace {

/// Time after a domain was taken out from which no order may start in it.
constexpr Duration NoStartGrace = std::chrono::seconds(3);
constexpr Duration ShutdownTimeout = std::chrono::seconds(20);

} // namespace

Rig::Rig(ClusterOptions Options, LoadPlan Plan)
    : m_Cluster(std::move(Options)), m_Plan(std::move(Plan)) {}

void Rig::start() {
  m_Cluster.start();
  m_Plan.m_Entrances = m_Cluster.entrances();
  m_Load = std::make_unique<LoadGenerator>(m_Plan);
  m_Load->start();
}

Observations Rig::finish() {
  Observations Result;
  Result.m_Streams = m_Plan.m_Streams;
  Result.m_Requests = m_Load->finish();
  Result.m_Instances = m_Cluster.readExecutions();
  Result.m_NoStartWindows = m_NoStartWindows;
  Result.m_Shutdowns = m_Shutdowns;
  return Result;
}

void Rig::takeDomainOut(const std::string &Domain) {
  const TimePoint Begin = now();
  const ProgramResult Result =
      m_Cluster.runOperatorCommand({"domain", "out", Domain});
  addNote("domain out " + Domain + ": exit code " +
          std::to_string(Result.m_ExitCode) + " " + Result.m_Output);
  if (Result.m_ExitCode != 0)
    return;
  for (const std::size_t Index : m_Cluster.indicesOf(Domain))
    m_NoStartWindows.push_back(
        {.m_Instance = m_Cluster.servers()[Index].m_Plan.m_Instance,
         .m_From = Begin + NoStartGrace,
         .m_To = TimePoint::max()});
}

void Rig::takeDomainIn(const std::string &Domain) {
  const TimePoint Begin = now();
  for (const std::size_t Index : m_Cluster.indicesOf(Domain))
    for (NoStartWindow &Window : m_NoStartWindows)
      if (Window.m_Instance == m_Cluster.servers()[Index].m_Plan.m_Instance)
        Window.m_To = std::min(Window.m_To, Begin);
  const ProgramResult Result =
      m_Cluster.runOperatorCommand({"domain", "in", Domain});
  addNote("domain in " + Domain + ": exit code " +
          std::to_string(Result.m_ExitCode) + " " + Result.m_Output);
}

void Rig::shutDownDaemon(std::size_t Index) {
  Server &Host = m_Cluster.servers().at(Index);
  const TimePoint Begin = now();
  Host.m_Daemon.signal(SIGTERM);
  const std::optional<int> Status = Host.m_Daemon.wait(ShutdownTimeout);
  m_Shutdowns.push_back({.m_Instance = Host.m_Plan.m_Instance,
                         .m_Entrance = static_cast<std::uint32_t>(Index),
                         .m_From = Begin,
                         .m_To = now() + std::chrono::milliseconds(100)});
  const double Seconds = std::chrono::duration<double>(now() - Begin).count();
  addNote("shutdown of " + Host.m_Plan.m_Instance +
          (Status ? " ended with status " + std::to_string(*Status)
                  : std::string(" did not end")) +
          " after " + std::to_string(Seconds) + " s");
}

} // namespace balsamwheel::bench
