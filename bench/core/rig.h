// A running cluster under load, and what an experiment does to it.
#pragma once

#include "bench/core/cluster.h"
#include "bench/core/load_generator.h"
#include "bench/core/measures.h"

#include <functional>

namespace balsamwheel::bench {

/// One run: the cluster, the load, and what the oracle must know of the
/// actions. Use from one thread only.
class Rig {
public:
  Rig(ClusterOptions Options, LoadPlan Plan);

  /// Starts the processes, then the load.
  void start();
  /// Ends the load and collects what was seen.
  Observations finish();

  Cluster &cluster() { return m_Cluster; }
  LoadGenerator &load() { return *m_Load; }
  const LoadPlan &plan() const { return m_Plan; }
  std::size_t indexOf(const std::string &Instance) const {
    return m_Cluster.indexOf(Instance);
  }

  /// Takes a failure domain out; new work there is a violation from 3 s on.
  void takeDomainOut(const std::string &Domain);
  void takeDomainIn(const std::string &Domain);
  /// Sends SIGTERM to a daemon and waits for its exit; cut requests are
  /// violations.
  void shutDownDaemon(std::size_t Index);
  /// Remarks for the report, e.g. an operator's exit code.
  void addNote(std::string Text) { m_Notes.push_back(std::move(Text)); }
  const std::vector<std::string> &notes() const { return m_Notes; }

private:
  Cluster m_Cluster;
  LoadPlan m_Plan;
  std::unique_ptr<LoadGenerator> m_Load;
  std::vector<NoStartWindow> m_NoStartWindows;
  std::vector<ShutdownWindow> m_Shutdowns;
  std::vector<std::string> m_Notes;
};

/// Something an experiment does at a time after the load began.
struct TimedAction {
  Duration m_At;
  std::string m_Label;
  std::function<void(Rig &)> m_Run;
};

/// A kind of run.
struct Scenario {
  std::string m_Name;
  std::string m_Help;
  Duration m_Length = std::chrono::seconds(20);
  std::vector<TimedAction> m_Actions;
  /// Settings of the baseline; empty runs no baseline.
  PolicySettings m_Baseline;
  /// Multiplies the rates of the deployment's mix.
  double m_LoadFactor = 1;
  /// Multiplies the service times of targets.
  double m_TimeScale = 1;
  bool m_ColdTargets = false;
  /// Daemons reach each other through relays.
  bool m_Relays = false;
  /// Changes the mix; may be empty.
  std::function<void(LoadPlan &)> m_AdjustLoad;
  std::string m_Deployment = "valpadana";
};

/// All scenarios but "added-latency", which has its own form.
const std::vector<Scenario> &scenarios();

} // namespace balsamwheel::bench
