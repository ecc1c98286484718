// Command line of balsamwheel-bench.
#include "bench/commands.h"

#include "bench/core/platform_stand_in.h"
#include "bench/core/signals.h"
#include "bench/core/target_stand_in.h"

#include <cxxopts.hpp>
#include <iostream>
#include <optional>

namespace balsamwheel::bench {

namespace {

using Strings = std::vector<std::string>;

/// Parses options; none when help was printed.
std::optional<cxxopts::ParseResult> parse(cxxopts::Options &Options,
                                          const Strings &Arguments) {
  Options.add_options()("h,help", "Print this help");
  std::vector<const char *> Raw{Options.program().c_str()};
  for (const std::string &Argument : Arguments)
    Raw.push_back(Argument.c_str());
  const auto Result = Options.parse(static_cast<int>(Raw.size()), Raw.data());
  if (Result.count("help") == 0)
    return Result;
  std::cout << Options.help();
  return std::nullopt;
}

int runPlatform(const Strings &Arguments) {
  cxxopts::Options Options("balsamwheel-bench platform",
                           "Stand-in for the platform's table and store");
  Options.add_options()("port", "Port on 127.0.0.1, 0 for any",
                        cxxopts::value<std::uint16_t>()->default_value("0"));
  const auto Parsed = parse(Options, Arguments);
  if (!Parsed)
    return 0;
  const SignalWaiter Signals;
  HttpServerOptions Http;
  Http.m_Port = (*Parsed)["port"].as<std::uint16_t>();
  const PlatformStandIn Platform(Http);
  std::cout << "platform on 127.0.0.1:" << Platform.port() << std::endl;
  Signals.waitForEnd();
  return 0;
}

int runTarget(const Strings &Arguments) {
  cxxopts::Options Options("balsamwheel-bench target", "Stand-in for a target");
  Options.add_options()("port", "Port on 127.0.0.1, 0 for any",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "service", "Name of the service", cxxopts::value<std::string>())(
      "daemon", "host:port where its daemon takes announcements",
      cxxopts::value<std::string>()->default_value(""))(
      "seed", "Seed of the service times",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scale", "Multiplies service times",
      cxxopts::value<double>()->default_value("1"))(
      "slots", "Orders run at the same time",
      cxxopts::value<std::uint32_t>()->default_value("10"))(
      "cold", "Start cold")("checks-fences", "Refuse orders of old epochs")(
      "journal", "File that records what ran",
      cxxopts::value<std::string>()->default_value(""));
  const auto Parsed = parse(Options, Arguments);
  if (!Parsed)
    return 0;
  const SignalWaiter Signals;
  TargetStandInOptions Target;
  Target.m_Http.m_Port = (*Parsed)["port"].as<std::uint16_t>();
  Target.m_Service = (*Parsed)["service"].as<std::string>();
  Target.m_Daemon = (*Parsed)["daemon"].as<std::string>();
  Target.m_Seed = (*Parsed)["seed"].as<std::uint64_t>();
  Target.m_TimeScale = (*Parsed)["scale"].as<double>();
  Target.m_Model.m_Slots = (*Parsed)["slots"].as<std::uint32_t>();
  Target.m_Model.m_StartsCold = Parsed->count("cold") > 0;
  Target.m_Model.m_ChecksFences = Parsed->count("checks-fences") > 0;
  Target.m_Journal = (*Parsed)["journal"].as<std::string>();
  TargetStandIn StandIn(Target);
  std::cout << "target on 127.0.0.1:" << StandIn.port() << std::endl;
  Signals.waitForEnd();
  return 0;
}

struct Command {
  const char *m_Name;
  const char *m_Help;
  int (*m_Run)(const Strings &);
};

constexpr Command Commands[] = {
    {"platform", "run the stand-in for the platform", &runPlatform},
    {"target", "run a stand-in for a target", &runTarget},
};

void printUsage(std::ostream &Out) {
  Out << "usage: balsamwheel-bench COMMAND [OPTION...]\n\ncommands:\n";
  for (const Command &Each : Commands)
    Out << "  " << Each.m_Name << "\t" << Each.m_Help << "\n";
}

} // namespace

int runCommand(const Strings &Arguments) {
  if (Arguments.empty()) {
    printUsage(std::cerr);
    return 2;
  }
  if (Arguments.front() == "--help" || Arguments.front() == "-h") {
    printUsage(std::cout);
    return 0;
  }
  for (const Command &Each : Commands)
    if (Arguments.front() == Each.m_Name)
      return Each.m_Run({Arguments.begin() + 1, Arguments.end()});
  printUsage(std::cerr);
  return 2;
}

} // namespace balsamwheel::bench
