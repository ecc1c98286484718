// Command line of balsamwheel-bench.
#include "bench/commands.h"

#include "bench/core/added_latency.h"
#include "bench/core/experiment.h"
#include "bench/core/platform_stand_in.h"
#include "bench/core/signals.h"
#include "bench/core/target_stand_in.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <thread>

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
  auto Result = Options.parse(static_cast<int>(Raw.size()), Raw.data());
  if (Result.count("help") == 0)
    return Result;
  std::cout << Options.help();
  return std::nullopt;
}

int runPlatform(const Strings &Arguments) {
  cxxopts::Options Options("balsamwheel-bench platform",
                           "Run a stand-in for the platform's table and object "
                           "store");
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
  Signals.waitForTermination();
  return 0;
}

int runTarget(const Strings &Arguments) {
  cxxopts::Options Options("balsamwheel-bench target",
                           "Run a stand-in for a target");
  Options.add_options()("port", "Port on 127.0.0.1, 0 for any",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "service", "Name of the service", cxxopts::value<std::string>())(
      "daemon", "host:port at which its daemon accepts announcements",
      cxxopts::value<std::string>()->default_value(""))(
      "control-port",
      "Port for fault injection and the list of executions, 0 for any",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "seed", "Seed of the service times",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scale", "Factor on the service times",
      cxxopts::value<double>()->default_value("1"))(
      "slots", "Maximum number of requests executed at the same time",
      cxxopts::value<std::uint32_t>()->default_value("10"))(
      "cold", "Start cold")("checks-fences",
                            "Refuse requests with an outdated epoch")(
      "journal", "File that records the executed requests",
      cxxopts::value<std::string>()->default_value(""));
  const auto Parsed = parse(Options, Arguments);
  if (!Parsed)
    return 0;
  const SignalWaiter Signals;
  TargetStandInOptions Target;
  Target.m_Http.m_Port = (*Parsed)["port"].as<std::uint16_t>();
  Target.m_ControlPort = (*Parsed)["control-port"].as<std::uint16_t>();
  Target.m_Service = (*Parsed)["service"].as<std::string>();
  Target.m_Daemon = (*Parsed)["daemon"].as<std::string>();
  Target.m_Seed = (*Parsed)["seed"].as<std::uint64_t>();
  Target.m_ServiceTimeFactor = (*Parsed)["scale"].as<double>();
  Target.m_Model.m_Slots = (*Parsed)["slots"].as<std::uint32_t>();
  Target.m_Model.m_StartsCold = Parsed->count("cold") > 0;
  Target.m_Model.m_ChecksFences = Parsed->count("checks-fences") > 0;
  Target.m_Journal = (*Parsed)["journal"].as<std::string>();
  TargetStandIn StandIn(Target);
  std::cout << "target on 127.0.0.1:" << StandIn.port() << std::endl;
  Signals.waitForTermination();
  return 0;
}

int runLoad(const Strings &Arguments) {
  cxxopts::Options Options("balsamwheel-bench load",
                           "Send open-loop load to running entrance daemons");
  Options.add_options()("entrance",
                        "host:port of the entrance daemons, comma-separated",
                        cxxopts::value<Strings>())(
      "direct", "The addresses are those of targets, not of daemons")(
      "service", "Name of the service", cxxopts::value<std::string>())(
      "class", "Name of the request class",
      cxxopts::value<std::string>()->default_value(""))(
      "method", "HTTP method",
      cxxopts::value<std::string>()->default_value("GET"))(
      "path", "Path of the requests",
      cxxopts::value<std::string>()->default_value("/bench"))(
      "keys", "Number of distinct keys, 0 for requests without a key",
      cxxopts::value<std::uint32_t>()->default_value("1000"))(
      "rate", "Requests per second",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "Duration of the load",
      cxxopts::value<int>()->default_value("10"))(
      "seed", "Seed of the load",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  const auto Parsed = parse(Options, Arguments);
  if (!Parsed)
    return 0;
  LoadStream Stream;
  Stream.m_Service = (*Parsed)["service"].as<std::string>();
  Stream.m_Class = (*Parsed)["class"].as<std::string>();
  Stream.m_Name = Stream.m_Service + "/" + Stream.m_Class;
  Stream.m_Method = (*Parsed)["method"].as<std::string>();
  Stream.m_Path = (*Parsed)["path"].as<std::string>();
  Stream.m_Keys = (*Parsed)["keys"].as<std::uint32_t>();
  Stream.m_Keyed = Stream.m_Keys > 0;
  Stream.m_Rate = (*Parsed)["rate"].as<double>();
  LoadPlan Plan;
  Plan.m_Streams = {Stream};
  Plan.m_Entrances = (*Parsed)["entrance"].as<Strings>();
  Plan.m_Seed = (*Parsed)["seed"].as<std::uint64_t>();
  Plan.m_Direct = Parsed->count("direct") > 0;
  LoadGenerator Load(Plan);
  Load.start();
  std::this_thread::sleep_for(
      std::chrono::seconds((*Parsed)["seconds"].as<int>()));
  Observations Collected;
  Collected.m_Streams = Plan.m_Streams;
  Collected.m_Requests = Load.finish();
  std::cout << toJson(measure(Collected, {}, Config{})).at("classes").dump(2)
            << "\n";
  return 0;
}

constexpr char AddedLatency[] = "added-latency";

int runList(const Strings &) {
  for (const Scenario &Each : scenarios())
    std::cout << Each.m_Name << "\t" << Each.m_Help << "\n";
  std::cout << AddedLatency << "\tlatency added by one daemon\n";
  return 0;
}

std::filesystem::path programFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

/// Parses the options of "run"; none when help was printed.
std::optional<cxxopts::ParseResult> parseRun(const Strings &Arguments) {
  cxxopts::Options Options("balsamwheel-bench run", "Run an experiment");
  Options.positional_help("NAME");
  Options.add_options()("name", "Experiment, one of those that \"list\" prints",
                        cxxopts::value<std::string>()->default_value("demo"))(
      "seed", "Seed of the load and the targets",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "deployment", "valpadana or etna-verde",
      cxxopts::value<std::string>()->default_value(""))(
      "policy", "Variant to run: policy, baseline or both",
      cxxopts::value<std::string>()->default_value("both"))(
      "rounds", "Number of runs of each variant, alternating",
      cxxopts::value<std::uint32_t>()->default_value("1"))(
      "load", "Factor on the request rates",
      cxxopts::value<double>()->default_value("1"))(
      "manifests", "Folder with the manifests of the deployments",
      cxxopts::value<std::string>()->default_value("examples"))(
      "keep", "Keep logs and journals also of runs without violations")(
      "json", "Write the result to this file as JSON",
      cxxopts::value<std::string>()->default_value(""));
  Options.parse_positional({"name"});
  return parse(Options, Arguments);
}

ExperimentOptions readRunOptions(const cxxopts::ParseResult &Parsed) {
  ExperimentOptions Options;
  Options.m_Scenario = Parsed["name"].as<std::string>();
  Options.m_Deployment = Parsed["deployment"].as<std::string>();
  if (const Scenario *Found = findScenario(Options.m_Scenario);
      Options.m_Deployment.empty() && Found != nullptr)
    Options.m_Deployment = Found->m_Deployment;
  if (Options.m_Deployment.empty())
    Options.m_Deployment = "valpadana";
  if (!findDeployment(Options.m_Deployment))
    throw std::invalid_argument("unknown deployment " + Options.m_Deployment);
  Options.m_Seed = Parsed["seed"].as<std::uint64_t>();
  Options.m_Policy = Parsed["policy"].as<std::string>();
  Options.m_Rounds = Parsed["rounds"].as<std::uint32_t>();
  Options.m_LoadFactor = Parsed["load"].as<double>();
  Options.m_Programs = programFolder();
  Options.m_Manifests = Parsed["manifests"].as<std::string>();
  Options.m_KeepLogs = Parsed.count("keep") > 0;
  return Options;
}

void writeJson(const std::string &File, const nlohmann::json &Value) {
  if (!File.empty())
    std::ofstream(File) << Value.dump(2) << "\n";
}

int runExperimentCommand(const Strings &Arguments) {
  const auto Parsed = parseRun(Arguments);
  if (!Parsed)
    return 0;
  const ExperimentOptions Options = readRunOptions(*Parsed);
  const std::string File = (*Parsed)["json"].as<std::string>();
  if (Options.m_Scenario == AddedLatency) {
    writeJson(File, toJson(runAddedLatency(Options, std::cout)));
    return 0;
  }
  if (findScenario(Options.m_Scenario) == nullptr)
    throw std::invalid_argument("unknown experiment " + Options.m_Scenario);
  const ExperimentResult Result = runExperiment(Options, std::cout);
  printResult(Result, std::cout);
  writeJson(File, toJson(Result));
  return Result.hasNoViolations() ? 0 : 1;
}

struct Command {
  const char *m_Name;
  const char *m_Help;
  int (*m_Run)(const Strings &);
};

constexpr Command Commands[] = {
    {"platform", "run a stand-in for the platform", &runPlatform},
    {"target", "run a stand-in for a target", &runTarget},
    {"load", "send load to running entrance daemons", &runLoad},
    {"list", "list the experiments", &runList},
    {"run", "run an experiment", &runExperimentCommand},
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
