// The course of one run, with progress.
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

/// Prints a line each second while a run goes on.
class Progress {
public:
  Progress(Rig &Observed, TimePoint Start, std::ostream &Out)
      : m_Observed(Observed), m_Start(Start), m_Next(Start + ProgressPeriod),
        m_Out(Out) {}

  void sleepUntil(TimePoint Time) {
    while (now() < Time) {
      std::this_thread::sleep_for(
          std::max(Duration::zero(), std::min(Time, m_Next) - now()));
      if (now() >= m_Next)
        print();
    }
  }

  void event(const std::string &Label) {
    m_Out << "  " << std::fixed << std::setprecision(1) << std::setw(5)
          << secondsSince(m_Start) << " s  " << Label << std::endl;
  }

private:
  void print() {
    m_Next = now() + ProgressPeriod;
    const LoadTotals Totals = m_Observed.load().totals();
    m_Out << "  " << std::fixed << std::setprecision(1) << std::setw(5)
          << secondsSince(m_Start) << " s  sent "
          << Totals.m_Sent - m_Last.m_Sent << ", done "
          << Totals.m_Done - m_Last.m_Done << ", failed "
          << Totals.m_Failed - m_Last.m_Failed << std::endl;
    m_Last = Totals;
  }

  Rig &m_Observed;
  TimePoint m_Start;
  TimePoint m_Next;
  std::ostream &m_Out;
  LoadTotals m_Last;
};

LoadPlan makePlan(const Scenario &Course, const Deployment &Servers,
                  const ExperimentOptions &Options) {
  LoadPlan Plan;
  Plan.m_Streams = Servers.m_Streams;
  Plan.m_Seed = Options.m_Seed;
  for (LoadStream &Stream : Plan.m_Streams)
    Stream.m_Rate *= Course.m_LoadFactor * Options.m_LoadFactor;
  if (Course.m_AdjustLoad)
    Course.m_AdjustLoad(Plan);
  return Plan;
}

/// The times between actions: before the first, after each.
std::vector<TimeWindow> makeWindows(const Scenario &Course,
                                    const std::vector<TimePoint> &Times,
                                    TimePoint Start, TimePoint End) {
  std::vector<TimeWindow> Result;
  std::string Name = "0 before";
  TimePoint From = Start;
  for (std::size_t Index = 0; Index < Times.size(); ++Index) {
    Result.push_back({Name, From, Times[Index]});
    Name = std::to_string(Index + 1) +
           " after: " + Course.m_Actions[Index].m_Label;
    From = Times[Index];
  }
  Result.push_back({Name, From, End});
  return Result;
}

void collectTargets(Rig &Observed, RunResult &Result) {
  for (std::size_t Index = 0; Index < Observed.cluster().servers().size();
       ++Index) {
    const nlohmann::json Report = Observed.cluster().targetReport(Index);
    if (Report.is_object())
      Result.m_Collapses += Report.value("collapses", std::uint64_t{0});
  }
}

RunResult runOnce(const Scenario &Course, const ExperimentOptions &Options,
                  const std::string &Policy, std::ostream &Out) {
  const auto Servers = findDeployment(Options.m_Deployment);
  ClusterOptions ClusterSettings{
      .m_Deployment = *Servers,
      .m_Programs = Options.m_Programs,
      .m_Manifest = Options.m_Manifests / (Options.m_Deployment + ".yaml"),
      .m_Policy = Policy == "baseline" ? Course.m_Baseline : PolicySettings{},
      .m_Seed = Options.m_Seed,
      .m_TimeScale = Course.m_TimeScale,
      .m_ColdTargets = Course.m_ColdTargets,
      .m_Relays = Course.m_Relays};
  Out << Course.m_Name << ", " << Options.m_Deployment << ", " << Policy
      << ", seed " << Options.m_Seed << ": starting "
      << Servers->m_Servers.size() << " servers" << std::endl;
  Rig Observed(ClusterSettings, makePlan(Course, *Servers, Options));
  Observed.start();

  const TimePoint Start = now();
  Progress Shown(Observed, Start, Out);
  std::vector<TimePoint> Times;
  for (const TimedAction &Action : Course.m_Actions) {
    Shown.sleepUntil(Start + Action.m_At);
    Shown.event(Action.m_Label);
    Times.push_back(now());
    Action.m_Run(Observed);
  }
  Shown.sleepUntil(Start + Course.m_Length);
  const TimePoint End = now();

  RunResult Result;
  Result.m_Policy = Policy;
  const Observations Seen = Observed.finish();
  const auto Version = Observed.cluster().readConfig();
  Result.m_Violations = findViolations(Seen);
  Result.m_Measures = measure(Seen, makeWindows(Course, Times, Start, End),
                              Version.value_or(Config{}));
  Result.m_Notes = Observed.notes();
  Result.m_PlatformCounters = Observed.cluster().platformCounters();
  Result.m_Folder = Observed.cluster().folder().string();
  collectTargets(Observed, Result);
  if (Options.m_Keep || !Result.m_Violations.empty())
    Observed.cluster().keepFolder();
  return Result;
}

} // namespace

bool ExperimentResult::clean() const {
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
  const Scenario &Course = *findScenario(Options.m_Scenario);
  ExperimentResult Result;
  Result.m_Options = Options;
  for (std::uint32_t Round = 0; Round < Options.m_Rounds; ++Round) {
    if (Options.m_Policy != "baseline")
      Result.m_Runs.push_back(runOnce(Course, Options, "policy", Out));
    if (Options.m_Policy != "policy" && !Course.m_Baseline.empty())
      Result.m_Runs.push_back(runOnce(Course, Options, "baseline", Out));
  }
  return Result;
}

} // namespace balsamwheel::bench
