// Load, faults and goals of each simulated experiment.
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
using Comparisons = std::vector<Comparison>;

/// Requests that arrive before this time are not measured.
constexpr Duration SettleTime = seconds(20);
/// Maximum p99 latency of urgent requests during an overload of bulk requests,
/// as a multiple of that without bulk requests.
constexpr double UrgentP99Goal = 1.5;
/// Minimum goodput at twice the capacity, as a fraction of the peak goodput.
constexpr double GoodputGoal = 0.95;
/// Maximum p99 latency with one slow target, as a multiple of that without.
constexpr double SlowedP99Goal = 2;
/// Maximum number of hedges and retries per request.
constexpr double ExtraSendsGoal = 0.03;
/// Maximum number of attempts per request while all attempts fail.
constexpr double RetryLoadGoal = 1.1;

/// Offered load of each class as a fraction of the capacity of a warm target.
struct ClassLoadShares {
  double m_Urgent = 0;
  double m_Interactive = 0;
  double m_Bulk = 0;
};

/// Splits a total load into 20% urgent, 50% interactive and 30% bulk.
ClassLoadShares mixedLoad(double Total) {
  return {0.2 * Total, 0.5 * Total, 0.3 * Total};
}

std::vector<ClassLoad> makeLoad(const ClassLoadShares &Offered) {
  return {{.m_Class = Urgency::Urgent,
           .m_OfferedLoad = Offered.m_Urgent,
           .m_MeanServiceTime = milliseconds(5),
           .m_Deadline = milliseconds(250)},
          {.m_Class = Urgency::Interactive,
           .m_OfferedLoad = Offered.m_Interactive,
           .m_MeanServiceTime = milliseconds(10),
           .m_Deadline = seconds(1)},
          {.m_Class = Urgency::Bulk,
           .m_OfferedLoad = Offered.m_Bulk,
           .m_MeanServiceTime = milliseconds(40),
           .m_Deadline = seconds(5)}};
}

struct GatePair {
  GateRunResult m_Policy;
  GateRunResult m_Baseline;
};

/// Runs the same load with the adaptive limit and with a fixed one.
GatePair runGatePair(GateRunOptions Options) {
  GatePair Result;
  Result.m_Policy = runGate(Options);
  Options.m_Gate.m_Adaptive = false;
  Result.m_Baseline = runGate(Options);
  return Result;
}

void addColdStartComparisons(Comparisons &Output, const std::string &Experiment,
                             const std::string &Fault,
                             const GateRunOptions &Options) {
  const GatePair Runs = runGatePair(Options);
  Output.push_back(
      {.m_Experiment = Experiment,
       .m_Measure = "collapses, " + Fault,
       .m_BaselineName = "fixed limit",
       .m_Policy = static_cast<double>(Runs.m_Policy.m_Collapses),
       .m_Baseline = static_cast<double>(Runs.m_Baseline.m_Collapses),
       .m_Goal = 0});
  Output.push_back({.m_Experiment = Experiment,
                    .m_Measure = "goodput, " + Fault,
                    .m_BaselineName = "fixed limit",
                    .m_Policy = Runs.m_Policy.m_Goodput,
                    .m_Baseline = Runs.m_Baseline.m_Goodput,
                    .m_Better = Better::Higher,
                    .m_Goal = std::nullopt});
}

Comparisons runColdStart(std::uint64_t Seed) {
  Comparisons Result;
  GateRunOptions Options;
  Options.m_Target.m_StartsCold = true;
  Options.m_Seed = Seed;
  Options.m_Load = makeLoad(mixedLoad(0.6));
  addColdStartComparisons(Result, "cold-start", "load 0.6", Options);
  Options.m_Load = makeLoad(mixedLoad(2));
  addColdStartComparisons(Result, "cold-start", "load 2.0", Options);
  return Result;
}

Comparisons runSilentCold(std::uint64_t Seed) {
  Comparisons Result;
  GateRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_Load = makeLoad(mixedLoad(0.8));
  Options.m_SilentRestartAt = seconds(30);
  Options.m_MeasureFrom = SettleTime;
  addColdStartComparisons(Result, "silent-cold", "no error shown", Options);
  Options.m_SilentRestartFails = true;
  addColdStartComparisons(Result, "silent-cold", "orders fail", Options);
  return Result;
}

double urgentP99(const GateRunResult &Run) {
  return static_cast<double>(
      Run.of(Urgency::Urgent).m_Latency.quantile(0.99).count());
}

Comparison compareBulkOverload(std::uint64_t Seed) {
  GateRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_MeasureFrom = SettleTime;
  Options.m_Load = makeLoad({.m_Urgent = 0.1, .m_Interactive = 0.2});
  const double Unloaded = urgentP99(runGate(Options));
  Options.m_Load =
      makeLoad({.m_Urgent = 0.1, .m_Interactive = 0.2, .m_Bulk = 2});
  const double Overloaded = urgentP99(runGate(Options));
  Options.m_UseClasses = false;
  Options.m_Gate.m_Adaptive = false;
  return {.m_Experiment = "overload-classes",
          .m_Measure = "urgent p99 over unloaded, bulk at 2.0",
          .m_BaselineName = "one class",
          .m_Policy = Overloaded / Unloaded,
          .m_Baseline = urgentP99(runGate(Options)) / Unloaded,
          .m_Goal = UrgentP99Goal};
}

double goodputOverPeak(GateRunOptions Options) {
  Options.m_MeasureFrom = SettleTime;
  double Peak = 0;
  for (const double Load : {0.8, 0.9, 1.0, 1.1, 1.2}) {
    Options.m_Load = makeLoad(mixedLoad(Load));
    Peak = std::max(Peak, runGate(Options).m_Goodput);
  }
  Options.m_Load = makeLoad(mixedLoad(2));
  return runGate(Options).m_Goodput / Peak;
}

Comparisons runOverloadClasses(std::uint64_t Seed) {
  GateRunOptions Options;
  Options.m_Seed = Seed;
  GateRunOptions BaselineOptions = Options;
  BaselineOptions.m_UseClasses = false;
  BaselineOptions.m_Gate.m_Adaptive = false;
  return {compareBulkOverload(Seed),
          {.m_Experiment = "overload-classes",
           .m_Measure = "goodput at 2.0 over peak",
           .m_BaselineName = "one class",
           .m_Policy = goodputOverPeak(Options),
           .m_Baseline = goodputOverPeak(BaselineOptions),
           .m_Better = Better::Higher,
           .m_Goal = GoodputGoal}};
}

Comparisons runSlowNeighbour(std::uint64_t Seed) {
  GateRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_MeasureFrom = seconds(30);
  Options.m_Slow = SlowPeriod{.m_From = seconds(30), .m_Until = seconds(60)};
  Options.m_Load = makeLoad(mixedLoad(0.08));
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
  double m_ExtraSendShare = 0;
};

SlowedRun runSlowed(PickerRunOptions Options) {
  const PickerRunResult WithoutSlowTarget = runPicker(Options);
  Options.m_Slow = SlowPeriod{.m_From = seconds(30), .m_Until = seconds(70)};
  const PickerRunResult WithSlowTarget = runPicker(Options);
  const auto UnslowedP99 =
      static_cast<double>(WithoutSlowTarget.m_Latency.quantile(0.99).count());
  return {.m_P99Ratio = static_cast<double>(
                            WithSlowTarget.m_Latency.quantile(0.99).count()) /
                        UnslowedP99,
          .m_ExtraSendShare = std::max(WithoutSlowTarget.extraShare(),
                                       WithSlowTarget.extraShare())};
}

Comparisons runSlowedTargets(std::uint64_t Seed) {
  constexpr std::array<std::pair<PickPolicy, const char *>, 3> Baselines{
      {{PickPolicy::LeastLoaded, "least loaded"},
       {PickPolicy::RoundRobin, "round robin"},
       {PickPolicy::Random, "random"}}};
  PickerRunOptions Options;
  Options.m_Seed = Seed;
  const SlowedRun Policy = runSlowed(Options);
  Options.m_Picker.m_Hedge = false;
  const SlowedRun NoHedge = runSlowed(Options);
  Comparisons Result;
  Result.reserve(Baselines.size() + 2);
  const auto Add = [&](const char *Name, double P99Ratio) {
    Result.push_back({.m_Experiment = "slowed-targets",
                      .m_Measure = "p99 with 1 of 3 slowed 10x over none",
                      .m_BaselineName = Name,
                      .m_Policy = Policy.m_P99Ratio,
                      .m_Baseline = P99Ratio,
                      .m_Goal = SlowedP99Goal});
  };
  for (const auto &[BaselinePolicy, Name] : Baselines) {
    Options.m_Picker.m_Policy = BaselinePolicy;
    Add(Name, runSlowed(Options).m_P99Ratio);
  }
  Add("no hedges", NoHedge.m_P99Ratio);
  Result.push_back({.m_Experiment = "slowed-targets",
                    .m_Measure = "extra sends per request",
                    .m_BaselineName = "no hedges",
                    .m_Policy = Policy.m_ExtraSendShare,
                    .m_Baseline = NoHedge.m_ExtraSendShare,
                    .m_Goal = ExtraSendsGoal});
  return Result;
}

Comparisons runRetryStorm(std::uint64_t Seed) {
  RetryRunOptions Options;
  Options.m_Seed = Seed;
  const RetryRunResult Policy = runRetries(Options);
  Options.m_UseBudget = false;
  const RetryRunResult Baseline = runRetries(Options);
  return {{.m_Experiment = "retry-storm",
           .m_Measure = "attempts per request while all fail",
           .m_BaselineName = "3 retries each",
           .m_Policy = Policy.outageAmplification(),
           .m_Baseline = Baseline.outageAmplification(),
           .m_Goal = RetryLoadGoal},
          {.m_Experiment = "retry-storm",
           .m_Measure = "requests lost to 1% failures",
           .m_BaselineName = "3 retries each",
           .m_Policy = static_cast<double>(Policy.m_LostOutsideOutage),
           .m_Baseline = static_cast<double>(Baseline.m_LostOutsideOutage),
           .m_Goal = std::nullopt}};
}

/// Times for which a target has to be slow before its shards move. The longer
/// one is chosen so that a slow period of a few seconds moves no shard.
constexpr Duration DelayedMove = seconds(5);
constexpr Duration ImmediateMove = milliseconds(500);

void addStragglerComparisons(Comparisons &Output,
                             const std::string &SlowPeriodName, Duration Length,
                             std::uint64_t Seed) {
  StragglerRunOptions Options;
  Options.m_Seed = Seed;
  Options.m_Slow = {.m_From = seconds(30), .m_Until = seconds(30) + Length};
  const StragglerRunResult WithoutMove = runStraggler(Options);
  Options.m_Response.m_MoveAfter = ImmediateMove;
  Options.m_Response.m_ReturnAfter = seconds(1);
  const StragglerRunResult WithImmediateMove = runStraggler(Options);
  Options.m_Response = {.m_MoveAfter = DelayedMove};
  const StragglerRunResult WithDelayedMove = runStraggler(Options);
  const auto Add = [&](const char *Measure, const char *Name, double Policy,
                       double Baseline, std::optional<double> Goal) {
    Output.push_back({.m_Experiment = "straggler-keys",
                      .m_Measure = Measure + SlowPeriodName,
                      .m_BaselineName = Name,
                      .m_Policy = Policy,
                      .m_Baseline = Baseline,
                      .m_Goal = Goal});
  };
  const bool Brief = Length < DelayedMove;
  Add("requests lost, ", "wait it out", WithDelayedMove.lostShare(),
      WithoutMove.lostShare(), std::nullopt);
  Add("requests lost, ", "move at once", WithDelayedMove.lostShare(),
      WithImmediateMove.lostShare(), std::nullopt);
  Add("shards moved, ", "move at once", WithDelayedMove.m_Churn,
      WithImmediateMove.m_Churn,
      Brief ? std::optional<double>(0) : std::nullopt);
}

Comparisons runStragglerKeys(std::uint64_t Seed) {
  Comparisons Result;
  addStragglerComparisons(Result, "slow for 3 s", seconds(3), Seed);
  addStragglerComparisons(Result, "slow for 60 s", seconds(60), Seed);
  return Result;
}

struct Experiment {
  std::string_view m_Name;
  Comparisons (*m_Run)(std::uint64_t Seed);
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

bool Comparison::meetsGoal() const {
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

std::vector<Comparison> runExperiment(std::string_view Name,
                                      std::uint64_t Seed) {
  for (const Experiment &Entry : Experiments)
    if (Entry.m_Name == Name)
      return Entry.m_Run(Seed);
  return {};
}

} // namespace balsamwheel::policy
