// Random soak test of the node rig: balsamwheel-soak --seed N --steps N.
#include "node_rig.h"

#include <cxxopts.hpp>

#include <algorithm>

#include <iostream>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

/// Maximum number of steps of an episode. Each episode uses a new rig and the
/// next seed.
constexpr std::uint64_t EpisodeSteps = 150;
/// Number of steps after which all faults end and the rig is checked.
constexpr std::uint64_t SettleEvery = 50;

RigAction draw(RandomSource &Random) {
  // Most steps let time pass or send requests.
  const std::uint64_t Percent = Random.below(100);
  if (Percent < 40)
    return RigAction::Run;
  if (Percent < 60)
    return RigAction::Request;
  if (Percent < 65)
    return RigAction::Burst;
  if (Percent < 69)
    return RigAction::Heal;
  const auto First = static_cast<std::uint64_t>(RigAction::Pause);
  const auto Count = static_cast<std::uint64_t>(RigAction::Settle) - First;
  return static_cast<RigAction>(First + Random.below(Count));
}

struct Totals {
  std::uint64_t m_Steps = 0;
  std::size_t m_Requests = 0;
  std::size_t m_Done = 0;
  std::size_t m_NotRun = 0;
  std::size_t m_Unknown = 0;
};

RigOptions optionsFor(std::uint64_t Seed) {
  RigOptions Options;
  Options.m_Seed = Seed;
  Options.m_GroupSize = Seed % 3 == 0 ? 3 : 16;
  Options.m_Handover = Seed % 4 == 3 ? HandoverMode::DrainThenSwitch
                                     : HandoverMode::SwitchThenResolve;
  return Options;
}

void count(Totals &Sum, const NodeRig &Rig) {
  Sum.m_Requests += Rig.requests();
  Sum.m_Done += Rig.oracle().answers(Outcome::Done);
  Sum.m_NotRun += Rig.oracle().answers(Outcome::NotRun) +
                  Rig.oracle().answers(Outcome::Wait);
  Sum.m_Unknown += Rig.oracle().answers(Outcome::Unknown);
}

/// Runs a new rig for a number of steps.
///
/// \returns false if an invariant was violated.
bool runEpisode(std::uint64_t Seed, std::uint64_t Steps, Totals &Sum) {
  RandomSource Random(Seed);
  NodeRig Rig(optionsFor(Seed));
  for (std::uint64_t Step = 1; Step <= Steps && !Rig.failed(); ++Step) {
    const RigAction Kind =
        Step % SettleEvery == 0 ? RigAction::Settle : draw(Random);
    const std::uint64_t First = Random.below(1U << 30U);
    const std::uint64_t Second = Random.below(1U << 30U);
    Rig.perform(Kind, First, Second);
    Rig.run(Random.between(Duration(0), milliseconds(150)));
    ++Sum.m_Steps;
  }
  count(Sum, Rig);
  if (!Rig.failed())
    return true;
  for (const std::string &Line : Rig.oracle().trace())
    std::cout << "  " << Line << '\n';
  std::cout << "violation: " << Rig.oracle().violations().front() << '\n'
            << "reproduce: balsamwheel-soak --seed " << Seed << " --steps "
            << Steps << std::endl;
  return false;
}

} // namespace

int main(int Count, char **Argv) {
  cxxopts::Options Cli("balsamwheel-soak", "Random soak test of several nodes");
  Cli.add_options()("seed", "first seed",
                    cxxopts::value<std::uint64_t>()->default_value("1"))(
      "steps", "total steps of all episodes",
      cxxopts::value<std::uint64_t>()->default_value("1000"))("help", "usage");
  const cxxopts::ParseResult Args = Cli.parse(Count, Argv);
  if (Args.count("help") != 0) {
    std::cout << Cli.help();
    return 0;
  }
  const auto First = Args["seed"].as<std::uint64_t>();
  const auto Steps = Args["steps"].as<std::uint64_t>();
  Totals Sum;
  bool Clean = true;
  for (std::uint64_t Seed = First; Clean && Sum.m_Steps < Steps; ++Seed)
    Clean = runEpisode(Seed, std::min(EpisodeSteps, Steps - Sum.m_Steps), Sum);
  std::cout << Sum.m_Steps << " steps from seed " << First << ", "
            << Sum.m_Requests << " requests: " << Sum.m_Done << " done, "
            << Sum.m_NotRun << " not run, " << Sum.m_Unknown << " unknown; "
            << (Clean ? "no violation" : "VIOLATION") << std::endl;
  return Clean ? 0 : 1;
}
