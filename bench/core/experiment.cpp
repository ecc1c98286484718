// Executes the runs of an experiment and prints their progress.
#include "bench/core/experiment.h"

#include "bench/core/clock.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <thread>

namespace balsamwheel::bench {

namespace {

constexpr Duration ProgressPeriod = std::chrono::seconds(1);

double secondsSince(TimePoint Start) {
  return std::chrono::duration<double>(now() - Start).count();
}

/// Prints a line every second during a run.
class Progress {
public:
  Progress(Rig &TestRig, TimePoint Start, std::ostream &Out)
      : m_TestRig(TestRig), m_Start(Start), m_Next(Start + ProgressPeriod),
        m_Out(Out) {}

  void sleepUntil(TimePoint Time) {
    while (now() < Time) {
      std::this_thread::sleep_for(
          std::max(Duration::zero(), std::min(Time, m_Next) - now()));
      if (now() >= m_Next)
        printTotals();
    }
  }

  void printEvent(const std::string &Label) {
    m_Out << "  " << std::fixed << std::setprecision(1) << std::setw(5)
          << secondsSince(m_Start) << " s  " << Label << std::endl;
  }

private:
  void printTotals() {
    m_Next = now() + ProgressPeriod;
    const LoadTotals Totals = m_TestRig.load().totals();
    m_Out << "  " << std::fixed << std::setprecision(1) << std::setw(5)
          << secondsSince(m_Start) << " s  sent "
          << Totals.m_Sent - m_Last.m_Sent << ", done "
          << Totals.m_Done - m_Last.m_Done << ", failed "
          << Totals.m_Failed - m_Last.m_Failed << std::endl;
    m_Last = Totals;
  }

  Rig &m_TestRig;
  TimePoint m_Start;
  TimePoint m_Next;
  std::ostream &m_Out;
  LoadTotals m_Last;
};

LoadPlan makePlan(const Scenario &Definition, const Deployment &Layout,
                  const ExperimentOptions &Options) {
  LoadPlan Plan;
  Plan.m_Streams = Layout.m_Streams;
  Plan.m_Seed = Options.m_Seed;
  for (LoadStream &Stream : Plan.m_Streams)
    Stream.m_Rate *= Definition.m_LoadFactor * Options.m_LoadFactor;
  if (Definition.m_AdjustLoad)
    Definition.m_AdjustLoad(Plan);
  return Plan;
}

/// Splits a run at its actions: one window before the first, one after each.
std::vector<TimeWindow> makeWindows(const Scenario &Definition,
                                    const std::vector<TimePoint> &ActionTimes,
                                    TimePoint Start, TimePoint End) {
  std::vector<TimeWindow> Result;
  std::string Name = "0 before";
  TimePoint From = Start;
  for (std::size_t Index = 0; Index < ActionTimes.size(); ++Index) {
    Result.push_back({Name, From, ActionTimes[Index]});
    Name = std::to_string(Index + 1) +
           " after: " + Definition.m_Actions[Index].m_Label;
    From = ActionTimes[Index];
  }
  Result.push_back({Name, From, End});
  return Result;
}

void sumCollapses(Rig &TestRig, RunResult &Result) {
  for (std::size_t Index = 0; Index < TestRig.cluster().servers().size();
       ++Index) {
    const nlohmann::json Report = TestRig.cluster().targetReport(Index);
    if (Report.is_object())
      Result.m_Collapses += Report.value("collapses", std::uint64_t{0});
  }
}

RunResult runOnce(const Scenario &Definition, const ExperimentOptions &Options,
                  const std::string &Policy, std::ostream &Out) {
  const auto Layout = findDeployment(Options.m_Deployment);
  ClusterOptions ClusterSettings{
      .m_Deployment = *Layout,
      .m_Programs = Options.m_Programs,
      .m_Manifest = Options.m_Manifests / (Options.m_Deployment + ".yaml"),
      .m_Policy =
          Policy == "baseline" ? Definition.m_Baseline : PolicySettings{},
      .m_Seed = Options.m_Seed,
      .m_ServiceTimeFactor = Definition.m_ServiceTimeFactor,
      .m_ColdTargets = Definition.m_ColdTargets,
      .m_Relays = Definition.m_Relays};
  Out << Definition.m_Name << ", " << Options.m_Deployment << ", " << Policy
      << ", seed " << Options.m_Seed << ": starting "
      << Layout->m_Servers.size() << " servers" << std::endl;
  Rig TestRig(ClusterSettings, makePlan(Definition, *Layout, Options));
  TestRig.start();

  const TimePoint Start = now();
  Progress Log(TestRig, Start, Out);
  std::vector<TimePoint> ActionTimes;
  for (const TimedAction &Action : Definition.m_Actions) {
    Log.sleepUntil(Start + Action.m_At);
    Log.printEvent(Action.m_Label);
    ActionTimes.push_back(now());
    Action.m_Run(TestRig);
  }
  Log.sleepUntil(Start + Definition.m_Length);
  const TimePoint End = now();

  RunResult Result;
  Result.m_Policy = Policy;
  const Observations Observed = TestRig.finish();
  const auto Committed = TestRig.cluster().readConfig();
  Result.m_Violations = findViolations(Observed);
  Result.m_Measures =
      measure(Observed, makeWindows(Definition, ActionTimes, Start, End),
              Committed.value_or(Config{}));
  Result.m_Notes = TestRig.notes();
  Result.m_PlatformCounters = TestRig.cluster().platformCounters();
  Result.m_Folder = TestRig.cluster().folder().string();
  sumCollapses(TestRig, Result);
  if (Options.m_KeepLogs || !Result.m_Violations.empty())
    TestRig.cluster().keepFolder();
  return Result;
}

} // namespace

bool ExperimentResult::hasNoViolations() const {
  return std::ranges::all_of(m_Runs, [](const RunResult &Each) {
    return Each.m_Policy == "baseline" || Each.m_Violations.empty();
  });
}

const Scenario *findScenario(const std::string &Name) {
  for (const Scenario &Each : scenarios())
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

ExperimentResult runExperiment(const ExperimentOptions &Options,
                               std::ostream &Out) {
  const Scenario &Definition = *findScenario(Options.m_Scenario);
  ExperimentResult Result;
  Result.m_Options = Options;
  for (std::uint32_t Round = 0; Round < Options.m_Rounds; ++Round) {
    if (Options.m_Policy != "baseline")
      Result.m_Runs.push_back(runOnce(Definition, Options, "policy", Out));
    if (Options.m_Policy != "policy" && !Definition.m_Baseline.empty())
      Result.m_Runs.push_back(runOnce(Definition, Options, "baseline", Out));
  }
  return Result;
}

} // namespace balsamwheel::bench
