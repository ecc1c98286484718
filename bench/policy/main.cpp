// balsamwheel-policy: compares the load policies with baselines in simulated
// time and checks their goals.
#include "policy/experiments.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>

namespace {

using balsamwheel::policy::Comparison;

void printComparison(const Comparison &Entry) {
  std::string Goal = "-";
  if (Entry.m_Goal) {
    std::array<char, 32> Text{};
    std::snprintf(Text.data(), Text.size(), "%.2f %s", *Entry.m_Goal,
                  Entry.meetsGoal() ? "met" : "MISSED");
    Goal = Text.data();
  }
  std::printf("%-17s %-38s %9.3f  %-14s %9.3f  %s\n",
              Entry.m_Experiment.c_str(), Entry.m_Measure.c_str(),
              Entry.m_Policy, Entry.m_BaselineName.c_str(), Entry.m_Baseline,
              Goal.c_str());
}

nlohmann::json toJson(const Comparison &Entry) {
  nlohmann::json Result = {{"experiment", Entry.m_Experiment},
                           {"measure", Entry.m_Measure},
                           {"policy", Entry.m_Policy},
                           {"baseline_name", Entry.m_BaselineName},
                           {"baseline", Entry.m_Baseline},
                           {"met", Entry.meetsGoal()}};
  if (Entry.m_Goal)
    Result["goal"] = *Entry.m_Goal;
  return Result;
}

int run(int Argc, char **Argv) {
  cxxopts::Options Options("balsamwheel-policy",
                           "Compares the load policies with baselines on "
                           "modelled targets in simulated time");
  Options.add_options()("experiment", "Run only this experiment",
                        cxxopts::value<std::string>())(
      "seed", "Seed of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "json", "Write the results to this file as JSON",
      cxxopts::value<std::string>())("help", "Print this help");
  Options.parse_positional({"experiment"});
  const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
  if (Parsed.count("help") > 0) {
    std::cout << Options.help();
    return 0;
  }
  const auto Seed = Parsed["seed"].as<std::uint64_t>();
  std::printf("seed %llu, simulated time\n",
              static_cast<unsigned long long>(Seed));
  std::printf("%-17s %-38s %9s  %-14s %9s  %s\n", "experiment", "measure",
              "policy", "baseline", "value", "goal");
  nlohmann::json Document = {{"seed", Seed},
                             {"lines", nlohmann::json::array()}};
  bool AllMet = true;
  for (const std::string_view Name : balsamwheel::policy::experimentNames()) {
    if (Parsed.count("experiment") > 0 &&
        Parsed["experiment"].as<std::string>() != Name)
      continue;
    for (const Comparison &Entry :
         balsamwheel::policy::runExperiment(Name, Seed)) {
      printComparison(Entry);
      Document["lines"].push_back(toJson(Entry));
      AllMet = AllMet && Entry.meetsGoal();
    }
  }
  if (Parsed.count("json") > 0)
    std::ofstream(Parsed["json"].as<std::string>()) << Document.dump(2) << '\n';
  return AllMet ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    return run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << "balsamwheel-policy: " << Error.what() << '\n';
    return 2;
  }
}
