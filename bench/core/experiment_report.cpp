// Prints the results of experiments as tables and writes them as JSON.
#include "bench/core/experiment.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace balsamwheel::bench {

namespace {

constexpr std::size_t MaxPrintedViolations = 10;

void printClasses(const std::map<std::string, ClassMeasures> &Classes,
                  std::ostream &Out) {
  Out << "    " << std::left << std::setw(26) << "class" << std::right
      << std::setw(9) << "requests" << std::setw(8) << "done" << std::setw(9)
      << "not run" << std::setw(9) << "unknown" << std::setw(7) << "wait"
      << std::setw(9) << "broken" << std::setw(10) << "attempts"
      << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << "\n";
  const auto Count = [](const ClassMeasures &Class, Answer Kind) {
    return Class.m_Answers.at(static_cast<std::size_t>(Kind));
  };
  for (const auto &[Name, Class] : Classes)
    Out << "    " << std::left << std::setw(26) << Name << std::right
        << std::setw(9) << Class.m_Requests << std::setw(8)
        << Count(Class, Answer::Done) << std::setw(9)
        << Count(Class, Answer::NotRun) << std::setw(9)
        << Count(Class, Answer::Unknown) << std::setw(7)
        << Count(Class, Answer::Wait) << std::setw(9)
        << Count(Class, Answer::Broken) + Count(Class, Answer::NoConnection) +
               Count(Class, Answer::Malformed)
        << std::setw(10) << Class.m_Attempts << std::setw(10)
        << std::setprecision(2) << Class.m_P50Ms << std::setw(10)
        << Class.m_P99Ms << "\n";
}

void printRun(const RunResult &Run, std::ostream &Out) {
  const Measures &Measured = Run.m_Measures;
  Out << "\n" << Run.m_Policy << "\n" << std::fixed << std::setprecision(3);
  Out << "  done " << Measured.m_DoneShare << " of requests\n"
      << "  unavailable s per shard: p50 "
      << Measured.m_UnavailableSeconds.m_P50 << ", p99 "
      << Measured.m_UnavailableSeconds.m_P99 << ", max "
      << Measured.m_UnavailableSeconds.m_Max << "; " << Measured.m_ShardsHit
      << " of " << Measured.m_Shards << " shards hit, of these p50 "
      << Measured.m_UnavailableSecondsOfHitShards.m_P50 << "\n"
      << "  imbalance " << Measured.m_Imbalance << " (peak to mean)\n"
      << "  churn " << Measured.m_OwnerChanges << " owner changes, "
      << Measured.m_ChurnShare << " per shard\n"
      << "  orders per request " << Measured.m_Amplification << ", collapses "
      << Run.m_Collapses << "\n";
  printClasses(Measured.m_Classes, Out);
  for (const auto &[Name, Classes] : Measured.m_Windows) {
    Out << "  window " << Name << "\n";
    printClasses(Classes, Out);
  }
  Out << "  orders by instance before the first action:";
  for (const auto &[Instance, Orders] : Measured.m_OrdersByInstance)
    Out << " " << Instance << " " << Orders;
  Out << "\n  attempts not done:";
  for (const auto &[Reason, Count] : Measured.m_Refusals)
    Out << " [" << Reason << "] " << Count;
  Out << "\n";
  for (const std::string &Note : Run.m_Notes)
    Out << "  note: " << Note << "\n";
  Out << "  violations: " << Run.m_Violations.size() << "\n";
  for (std::size_t Index = 0;
       Index < std::min(MaxPrintedViolations, Run.m_Violations.size()); ++Index)
    Out << "    " << toString(Run.m_Violations[Index].m_Kind) << ": "
        << Run.m_Violations[Index].m_Detail << "\n";
  if (!Run.m_Violations.empty())
    Out << "  logs in " << Run.m_Folder << "\n";
}

double worstP99(const Measures &Measured) {
  double Worst = 0;
  for (const auto &[Name, Class] : Measured.m_Classes)
    Worst = std::max(Worst, Class.m_P99Ms);
  return Worst;
}

struct Comparison {
  const char *m_Name;
  double (*m_Value)(const RunResult &);
};

constexpr Comparison Comparisons[] = {
    {"done share",
     [](const RunResult &Run) { return Run.m_Measures.m_DoneShare; }},
    {"unavailable s p50",
     [](const RunResult &Run) {
       return Run.m_Measures.m_UnavailableSeconds.m_P50;
     }},
    {"of shards hit, p50",
     [](const RunResult &Run) {
       return Run.m_Measures.m_UnavailableSecondsOfHitShards.m_P50;
     }},
    {"unavailable s p99",
     [](const RunResult &Run) {
       return Run.m_Measures.m_UnavailableSeconds.m_P99;
     }},
    {"unavailable s max",
     [](const RunResult &Run) {
       return Run.m_Measures.m_UnavailableSeconds.m_Max;
     }},
    {"imbalance",
     [](const RunResult &Run) { return Run.m_Measures.m_Imbalance; }},
    {"owner changes",
     [](const RunResult &Run) {
       return static_cast<double>(Run.m_Measures.m_OwnerChanges);
     }},
    {"worst p99 ms",
     [](const RunResult &Run) { return worstP99(Run.m_Measures); }},
    {"orders per request",
     [](const RunResult &Run) { return Run.m_Measures.m_Amplification; }},
    {"collapses",
     [](const RunResult &Run) { return static_cast<double>(Run.m_Collapses); }},
};

double meanOf(const ExperimentResult &Result, const std::string &Policy,
              const Comparison &Each) {
  double Sum = 0;
  std::size_t Count = 0;
  for (const RunResult &Run : Result.m_Runs)
    if (Run.m_Policy == Policy) {
      Sum += Each.m_Value(Run);
      ++Count;
    }
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

bool hasPolicyAndBaseline(const ExperimentResult &Result) {
  const auto Has = [&Result](const char *Policy) {
    return std::ranges::any_of(Result.m_Runs, [Policy](const RunResult &Run) {
      return Run.m_Policy == Policy;
    });
  };
  return Has("policy") && Has("baseline");
}

void printComparison(const ExperimentResult &Result, std::ostream &Out) {
  Out << "\n  " << std::left << std::setw(22) << "mean of runs" << std::right
      << std::setw(12) << "policy" << std::setw(12) << "baseline"
      << std::setw(10) << "ratio" << "\n";
  for (const Comparison &Each : Comparisons) {
    const double Policy = meanOf(Result, "policy", Each);
    const double Baseline = meanOf(Result, "baseline", Each);
    Out << "  " << std::left << std::setw(22) << Each.m_Name << std::right
        << std::setprecision(3) << std::setw(12) << Policy << std::setw(12)
        << Baseline << std::setw(10);
    if (Baseline > 0)
      Out << Policy / Baseline << "\n";
    else
      Out << "-" << "\n";
  }
}

} // namespace

void printResult(const ExperimentResult &Result, std::ostream &Out) {
  Out << std::fixed;
  for (const RunResult &Run : Result.m_Runs)
    printRun(Run, Out);
  if (hasPolicyAndBaseline(Result))
    printComparison(Result, Out);
  Out << "\n"
      << Result.m_Options.m_Scenario << ", seed " << Result.m_Options.m_Seed
      << ": " << (Result.hasNoViolations() ? "no violations" : "VIOLATIONS")
      << std::endl;
}

nlohmann::json toJson(const ExperimentResult &Result) {
  nlohmann::json Runs = nlohmann::json::array();
  for (const RunResult &Run : Result.m_Runs) {
    nlohmann::json Violations = nlohmann::json::array();
    for (const Violation &Each : Run.m_Violations)
      Violations.push_back(
          {{"kind", toString(Each.m_Kind)}, {"detail", Each.m_Detail}});
    Runs.push_back({{"policy", Run.m_Policy},
                    {"measures", toJson(Run.m_Measures)},
                    {"violations", std::move(Violations)},
                    {"notes", Run.m_Notes},
                    {"collapses", Run.m_Collapses},
                    {"platform", Run.m_PlatformCounters}});
  }
  return {{"scenario", Result.m_Options.m_Scenario},
          {"deployment", Result.m_Options.m_Deployment},
          {"seed", Result.m_Options.m_Seed},
          {"runs", std::move(Runs)}};
}

} // namespace balsamwheel::bench
