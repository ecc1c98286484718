// Loads, faults and goals of the simulated experiments.
#include "policy/experiments.h"

#include "policy/gate_run.h"
#include "policy/picker_run.h"
#include "policy/retry_run.h"
#include "policy/straggler_run.h"

#include <algorithm>
#include <array>
#include <utility>

namespace balsamwheel::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Lines = std::vector<Line>;

constexpr Duration Settled = seconds(20);
constexpr double UrgentP99Goal = 1.5;
constexpr double GoodputGoal = 0.95;
constexpr double SlowedP99Goal = 2;
constexpr double ExtraWorkGoal = 0.03;
constexpr double RetryLoadGoal = 1.1;

/// Offered work of the three classes as shares of the warm capacity.
struct Shares {
  double m_Urgent = 0;
  double m_Interactive = 0;
  double m_Bulk = 0;
};

/// 20% urgent, 50% interactive, 30% bulk.
Shares mixed(double Total) { return {0.2 * Total, 0.5 * Total, 0.3 * Total}; }

std::vector<ClassLoad> makeLoad(const Shares &Offered) {
  return {{.m_Class = Urgency::Urgent,
           .m_Share = Offered.m_Urgent,
           .m_MeanWork = milliseconds(5),
           .m_Deadline = milliseconds(250)},
          {.m_Class = Urgency::Interactive,
           .m_Share = Offered.m_Interactive,
           .m_MeanWork = milliseconds(10),
           .m_Deadline = seconds(1)},
          {.m_Class = Urgency::Bulk,
           .m_Share = Offered.m_Bulk,
           .m_MeanWork = milliseconds(40),
           .m_Deadline = seconds(5)}};
}

struct GatePair {
  GateRunResult m_Policy;
  GateRunResult m_Baseline;
};

/// The same run with the adaptive gate and with a fixed limit.
GatePair runGatePair(GateRunOptions Options) {
  GatePair Result;
  Result.m_Policy = runGate(Options);
  Options.m_Gate.m_Adaptive = false;
  Result.m_Baseline = runGate(Options);
  return Result;
}

void addColdLines(Lines &Into, const std::string &Experiment,
                  const std::string &Fault, const GateRunOptions &Options) {
  const GatePair Runs = runGatePair(Options);
  Into.push_back(
      {.m_Experiment = Experiment,
       .m_Measure = "collapses, " + Fault,
       .m_BaselineName = "fixed limit",
       .m_Policy = static_cast<double>(Runs.m_Policy.m_Collapses),
       .m_Baseline = static_cast<double>(Runs.m_Baseline.m_Collapses),
       .m_Goal = 0});
  Into.push_back({.m_Experiment = Experiment,
                  .m_Measure = "goodput, " + Fault,
                  .m_BaselineName = "fixed limit",
                  .m_Policy = Runs.m_Policy.m_Goodput,
                  .m_Baseline = Runs.m_Baseline.m_Goodput,
                  .m_Better = Better::Higher,
                  .m_Goal = std::nullopt});
}

Lines runColdStart(std::uint64_t Seed) {
  Lines Result;
  GateRunOptions Options;
  Options.m_Target.m_StartsCold = true;
  Options.m_Seed = Seed;
  Options.m_Load = makeLoad(mixed(0.6));
  addColdLines(Result, "cold-start", "load 0.6", Options);
  Options.m_Load = makeLoad(mixed(2));
  addColdLines(Result, "cold-start", "load 2.0", Options);
  return Result;
}

Lines runSilentCold(std::uint64_t Seed) {
  Lines Result;
  GateRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_Load = makeLoad(mixed(0.8));
  Options.m_SilentCold = seconds(30);
  Options.m_WarmUp = Settled;
  addColdLines(Result, "silent-cold", "no error shown", Options);
  Options.m_SilentColdFails = true;
  addColdLines(Result, "silent-cold", "orders fail", Options);
  return Result;
}

double urgentP99(const GateRunResult &Run) {
  return static_cast<double>(
      Run.of(Urgency::Urgent).m_Latency.quantile(0.99).count());
}

Line bulkFloodLine(std::uint64_t Seed) {
  GateRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_WarmUp = Settled;
  Options.m_Load = makeLoad({.m_Urgent = 0.1, .m_Interactive = 0.2});
  const double Unloaded = urgentP99(runGate(Options));
  Options.m_Load =
      makeLoad({.m_Urgent = 0.1, .m_Interactive = 0.2, .m_Bulk = 2});
  const double Flooded = urgentP99(runGate(Options));
  Options.m_UseClasses = false;
  Options.m_Gate.m_Adaptive = false;
  return {.m_Experiment = "overload-classes",
          .m_Measure = "urgent p99 over unloaded, bulk at 2.0",
          .m_BaselineName = "one class",
          .m_Policy = Flooded / Unloaded,
          .m_Baseline = urgentP99(runGate(Options)) / Unloaded,
          .m_Goal = UrgentP99Goal};
}

double goodputOverPeak(GateRunOptions Options) {
  Options.m_WarmUp = Settled;
  double Peak = 0;
  for (const double Load : {0.8, 0.9, 1.0, 1.1, 1.2}) {
    Options.m_Load = makeLoad(mixed(Load));
    Peak = std::max(Peak, runGate(Options).m_Goodput);
  }
  Options.m_Load = makeLoad(mixed(2));
  return runGate(Options).m_Goodput / Peak;
}

Lines runOverloadClasses(std::uint64_t Seed) {
  GateRunOptions Options;
  Options.m_Seed = Seed;
  GateRunOptions Plain = Options;
  Plain.m_UseClasses = false;
  Plain.m_Gate.m_Adaptive = false;
  return {bulkFloodLine(Seed),
          {.m_Experiment = "overload-classes",
           .m_Measure = "goodput at 2.0 over peak",
           .m_BaselineName = "one class",
           .m_Policy = goodputOverPeak(Options),
           .m_Baseline = goodputOverPeak(Plain),
           .m_Better = Better::Higher,
           .m_Goal = GoodputGoal}};
}

Lines runSlowNeighbour(std::uint64_t Seed) {
  GateRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_WarmUp = seconds(30);
  Options.m_Slow = SlowSpell{.m_From = seconds(30), .m_Until = seconds(60)};
  Options.m_Load = makeLoad(mixed(0.08));
  const GatePair Runs = runGatePair(Options);
  return {{.m_Experiment = "slow-neighbour",
           .m_Measure = "goodput, slowed 10x, load 0.08",
           .m_BaselineName = "fixed limit",
           .m_Policy = Runs.m_Policy.m_Goodput,
           .m_Baseline = Runs.m_Baseline.m_Goodput,
           .m_Better = Better::Higher,
           .m_Goal = std::nullopt}};
}

struct SlowedRun {
  double m_P99Ratio = 0;
  double m_Extra = 0;
};

SlowedRun runSlowed(PickerRunOptions Options) {
  const PickerRunResult Even = runPicker(Options);
  Options.m_Slow = SlowSpell{.m_From = seconds(30), .m_Until = seconds(70)};
  const PickerRunResult Slowed = runPicker(Options);
  const auto EvenP99 =
      static_cast<double>(Even.m_Latency.quantile(0.99).count());
  return {.m_P99Ratio =
              static_cast<double>(Slowed.m_Latency.quantile(0.99).count()) /
              EvenP99,
          .m_Extra = std::max(Even.extraShare(), Slowed.extraShare())};
}

Lines runSlowedTargets(std::uint64_t Seed) {
  constexpr std::array<std::pair<PickPolicy, const char *>, 3> Baselines{
      {{PickPolicy::LeastLoaded, "least loaded"},
       {PickPolicy::RoundRobin, "round robin"},
       {PickPolicy::Random, "random"}}};
  PickerRunOptions Options;
  Options.m_Seed = Seed;
  const SlowedRun Policy = runSlowed(Options);
  Options.m_Picker.m_Hedge = false;
  const SlowedRun NoHedge = runSlowed(Options);
  Lines Result;
  Result.reserve(Baselines.size() + 2);
  const auto Add = [&](const char *Name, double P99Ratio) {
    Result.push_back({.m_Experiment = "slowed-targets",
                      .m_Measure = "p99 with 1 of 3 slowed 10x over none",
                      .m_BaselineName = Name,
                      .m_Policy = Policy.m_P99Ratio,
                      .m_Baseline = P99Ratio,
                      .m_Goal = SlowedP99Goal});
  };
  for (const auto &[Choice, Name] : Baselines) {
    Options.m_Picker.m_Policy = Choice;
    Add(Name, runSlowed(Options).m_P99Ratio);
  }
  Add("no hedges", NoHedge.m_P99Ratio);
  Result.push_back({.m_Experiment = "slowed-targets",
                    .m_Measure = "extra sends per request",
                    .m_BaselineName = "no hedges",
                    .m_Policy = Policy.m_Extra,
                    .m_Baseline = NoHedge.m_Extra,
                    .m_Goal = ExtraWorkGoal});
  return Result;
}

Lines runRetryStorm(std::uint64_t Seed) {
  RetryRunOptions Options;
  Options.m_Seed = Seed;
  const RetryRunResult Policy = runRetries(Options);
  Options.m_UseBudget = false;
  const RetryRunResult Baseline = runRetries(Options);
  return {{.m_Experiment = "retry-storm",
           .m_Measure = "attempts per request while all fail",
           .m_BaselineName = "3 retries each",
           .m_Policy = Policy.outageLoad(),
           .m_Baseline = Baseline.outageLoad(),
           .m_Goal = RetryLoadGoal},
          {.m_Experiment = "retry-storm",
           .m_Measure = "requests lost to 1% failures",
           .m_BaselineName = "3 retries each",
           .m_Policy = static_cast<double>(Policy.m_LostOutside),
           .m_Baseline = static_cast<double>(Baseline.m_LostOutside),
           .m_Goal = std::nullopt}};
}

// Late enough for a brief slowness to move nothing.
constexpr Duration PatientMove = seconds(5);
constexpr Duration HastyMove = milliseconds(500);

void addStragglerLines(Lines &Into, const std::string &Spell, Duration Length,
                       std::uint64_t Seed) {
  StragglerRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_Slow = {.m_From = seconds(30), .m_Until = seconds(30) + Length};
  const StragglerRunResult Waited = runStraggler(Options);
  Options.m_Response.m_MoveAfter = HastyMove;
  Options.m_Response.m_ReturnAfter = seconds(1);
  const StragglerRunResult Hasty = runStraggler(Options);
  Options.m_Response = {.m_MoveAfter = PatientMove};
  const StragglerRunResult Patient = runStraggler(Options);
  const auto Add = [&](const char *Measure, const char *Name, double Policy,
                       double Baseline, std::optional<double> Goal) {
    Into.push_back({.m_Experiment = "straggler-keys",
                    .m_Measure = Measure + Spell,
                    .m_BaselineName = Name,
                    .m_Policy = Policy,
                    .m_Baseline = Baseline,
                    .m_Goal = Goal});
  };
  const bool Brief = Length < PatientMove;
  Add("requests lost, ", "wait it out", Patient.lostShare(), Waited.lostShare(),
      std::nullopt);
  Add("requests lost, ", "move at once", Patient.lostShare(), Hasty.lostShare(),
      std::nullopt);
  Add("shards moved, ", "move at once", Patient.m_Churn, Hasty.m_Churn,
      Brief ? std::optional<double>(0) : std::nullopt);
}

Lines runStragglerKeys(std::uint64_t Seed) {
  Lines Result;
  addStragglerLines(Result, "slow for 3 s", seconds(3), Seed);
  addStragglerLines(Result, "slow for 60 s", seconds(60), Seed);
  return Result;
}

struct Experiment {
  std::string_view m_Name;
  Lines (*m_Run)(std::uint64_t Seed);
};

constexpr std::array<Experiment, 7> Experiments{
    {{"cold-start", runColdStart},
     {"silent-cold", runSilentCold},
     {"overload-classes", runOverloadClasses},
     {"slow-neighbour", runSlowNeighbour},
     {"slowed-targets", runSlowedTargets},
     {"straggler-keys", runStragglerKeys},
     {"retry-storm", runRetryStorm}}};

} // namespace

bool Line::met() const {
  if (!m_Goal)
    return true;
  return m_Better == Better::Lower ? m_Policy <= *m_Goal : m_Policy >= *m_Goal;
}

std::vector<std::string_view> experimentNames() {
  std::vector<std::string_view> Result;
  Result.reserve(Experiments.size());
  for (const Experiment &Entry : Experiments)
    Result.push_back(Entry.m_Name);
  return Result;
}

std::vector<Line> runExperiment(std::string_view Name, std::uint64_t Seed) {
  for (const Experiment &Entry : Experiments)
    if (Entry.m_Name == Name)
      return Entry.m_Run(Seed);
  return {};
}

} // namespace balsamwheel::policy
