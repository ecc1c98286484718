// A running cluster under load, the actions on it and the scenarios made of
// them.
#pragma once

#include "bench/core/cluster.h"
#include "bench/core/load_generator.h"
#include "bench/core/measures.h"

#include <functional>

namespace balsamwheel::bench {

/// One run: the cluster, the load, and the actions that the oracle must know
/// of. Use from one thread only.
class Rig {
public:
  Rig(ClusterOptions Options, LoadPlan Plan);

  /// Starts the processes, then the load.
  void start();
  /// Stops the load, waits for open requests and collects the observations.
  Observations finish();

  Cluster &cluster() { return m_Cluster; }
  LoadGenerator &load() { return *m_Load; }
  const LoadPlan &plan() const { return m_Plan; }
  std::size_t indexOf(const std::string &Instance) const {
    return m_Cluster.indexOf(Instance);
  }

  /// Takes a failure domain out of service. Orders that start in it more than
  /// 3 s after the start of this call are violations.
  void takeDomainOut(const std::string &Domain);
  /// Takes a failure domain back into service.
  void takeDomainIn(const std::string &Domain);
  /// Sends SIGTERM to a daemon and waits until it exits. Requests broken off in
  /// that time are violations.
  void shutDownDaemon(std::size_t Index);
  /// Adds a remark to the report, e.g. the exit code of an operator command.
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

/// An action on the cluster.
struct TimedAction {
  /// Time since the start of the load.
  Duration m_At;
  /// Printed as progress, and part of the name of a window in the report.
  std::string m_Label;
  std::function<void(Rig &)> m_Run;
};

/// A kind of run: its load, actions and baseline.
struct Scenario {
  std::string m_Name;
  std::string m_Help;
  Duration m_Length = std::chrono::seconds(20);
  std::vector<TimedAction> m_Actions;
  /// Policy settings of the baseline; empty for no baseline.
  PolicySettings m_Baseline;
  /// Factor on the rates of the deployment's request mix.
  double m_LoadFactor = 1;
  /// Factor on the service times of the targets.
  double m_ServiceTimeFactor = 1;
  /// Starts the targets cold.
  bool m_ColdTargets = false;
  /// Connects the daemons to each other through relays.
  bool m_Relays = false;
  /// Changes the load plan; may be empty.
  std::function<void(LoadPlan &)> m_AdjustLoad;
  /// Deployment when none is asked for.
  std::string m_Deployment = "valpadana";
};

/// Returns all scenarios except "added-latency", which doesn't run on a Rig.
const std::vector<Scenario> &scenarios();

} // namespace balsamwheel::bench
