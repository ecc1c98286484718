// Parses the command line and runs the selected command.
#include "cli/command_line.h"

#include "cli/change_commands.h"
#include "cli/view_commands.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>

namespace balsamwheel::cli {

namespace {

/// One command: its name of one or two words, its operands and its function.
struct Command {
  std::vector<std::string> m_Words;
  std::vector<std::string> m_Operands;
  const char *m_Help;
  /// Whether --platform is required.
  bool m_NeedsPlatform;
  std::function<CommandResult(const CommonOptions &,
                              const std::vector<std::string> &,
                              const cxxopts::ParseResult &)>
      m_Run;
};

using Words = std::vector<std::string>;

const std::vector<Command> &commands() {
  using Options = CommonOptions;
  using Parsed = cxxopts::ParseResult;
  static const std::vector<Command> All{
      {{"manifest", "check"},
       {"FILE"},
       "validates a manifest without a platform",
       false,
       [](const Options &, const Words &Given, const Parsed &) {
         return checkManifest(Given[0]);
       }},
      {{"manifest", "diff"},
       {"FILE"},
       "shows the changes that a manifest would make",
       true,
       [](const Options &Common, const Words &Given, const Parsed &) {
         return diffManifest(Common, Given[0]);
       }},
      {{"manifest", "commit"},
       {"FILE"},
       "commits a manifest; requires --base",
       true,
       [](const Options &Common, const Words &Given, const Parsed &Flags) {
         if (Flags.count("base") == 0)
           return failure(CliError::Usage, "--base VERSION is missing");
         return commitManifest(Common, Given[0],
                               Flags["base"].as<std::uint64_t>());
       }},
      {{"manifest", "show"},
       {},
       "shows the configuration in force",
       true,
       [](const Options &Common, const Words &, const Parsed &) {
         return showManifest(Common);
       }},
      {{"domain", "out"},
       {"NAME"},
       "takes a failure domain out of service",
       true,
       [](const Options &Common, const Words &Given, const Parsed &) {
         return takeDomainOut(Common, Given[0]);
       }},
      {{"domain", "in"},
       {"NAME"},
       "brings a failure domain back into service",
       true,
       [](const Options &Common, const Words &Given, const Parsed &) {
         return bringDomainIn(Common, Given[0]);
       }},
      {{"drain"},
       {"INSTANCE"},
       "drains an instance; --undo ends the draining",
       true,
       [](const Options &Common, const Words &Given, const Parsed &Flags) {
         return drainInstance(Common, Given[0], Flags["undo"].as<bool>());
       }},
      {{"status"},
       {},
       "shows instances, failure domains and the version in force",
       true,
       [](const Options &Common, const Words &, const Parsed &) {
         return showStatus(Common);
       }},
      {{"owners"},
       {},
       "counts the shards of each owner; --service selects one service",
       true,
       [](const Options &Common, const Words &, const Parsed &Flags) {
         return showOwners(Common, Flags["service"].as<std::string>());
       }},
      {{"route"},
       {"SERVICE", "KEY"},
       "shows the owner of a key and the reason",
       true,
       [](const Options &Common, const Words &Given, const Parsed &) {
         return showRoute(Common, Given[0], Given[1]);
       }},
  };
  return All;
}

std::string usageOf(const Command &Value) {
  std::string Result = "balsamwheel [OPTION...]";
  for (const std::string &Word : Value.m_Words)
    Result += " " + Word;
  for (const std::string &Operand : Value.m_Operands)
    Result += " " + Operand;
  return Result;
}

cxxopts::Options makeOptions() {
  cxxopts::Options Result("balsamwheel",
                          "Operates a deployment of balsamwheel.");
  auto Add = Result.add_options();
  Add("platform", "address of the platform, host:port",
      cxxopts::value<std::string>()->default_value(""));
  Add("json", "print JSON", cxxopts::value<bool>()->default_value("false"));
  Add("base", "manifest commit: the version that the change is based on",
      cxxopts::value<std::uint64_t>());
  Add("service", "owners: show this service only",
      cxxopts::value<std::string>()->default_value(""));
  Add("undo", "drain: end the draining of the instance",
      cxxopts::value<bool>()->default_value("false"));
  Add("force",
      "domain out: proceed even if the remaining targets may lack capacity",
      cxxopts::value<bool>()->default_value("false"));
  Add("table-timeout", "time limit for access to the table, in ms",
      cxxopts::value<std::uint32_t>()->default_value("5000"));
  Add("wait", "time limit for a change to be in force, in ms; 0 does not wait",
      cxxopts::value<std::uint32_t>()->default_value("15000"));
  Add("help", "print help", cxxopts::value<bool>()->default_value("false"));
  Add("words", "", cxxopts::value<Words>()->default_value(""));
  Result.parse_positional({"words"});
  return Result;
}

bool startsWith(const Words &Given, const Words &Prefix) {
  return Given.size() >= Prefix.size() &&
         std::equal(Prefix.begin(), Prefix.end(), Given.begin());
}

const Command *findCommand(const Words &Given) {
  for (const Command &Candidate : commands())
    if (startsWith(Given, Candidate.m_Words))
      return &Candidate;
  return nullptr;
}

void printHelp(const cxxopts::Options &Options, const Command *Chosen,
               std::ostream &Out) {
  Out << Options.help() << "\nCommands:\n";
  for (const Command &Candidate : commands())
    if (Chosen == nullptr || Chosen == &Candidate)
      Out << "  " << usageOf(Candidate) << "\n      " << Candidate.m_Help
          << "\n";
  Out << "\nExit codes: 0 success";
  for (int Code = 1; Code <= static_cast<int>(CliError::BadRow); ++Code)
    Out << "\n  " << Code << " "
        << std::error_code(Code, cliCategory()).message();
  Out << "\n";
}

int print(const CommandResult &Result, bool AsJson, std::ostream &Out,
          std::ostream &Err) {
  if (AsJson) {
    nlohmann::json Value = Result.m_Json;
    Value["ok"] = !Result.m_Error;
    if (Result.m_Error)
      Value["error"] = Result.m_Error.message();
    Out << Value.dump(2) << "\n";
  } else if (Result.m_Error) {
    Err << "balsamwheel: " << Result.m_Text << "\n";
  } else {
    Out << Result.m_Text << "\n";
  }
  return Result.m_Error.value();
}

CommandResult runParsed(const cxxopts::ParseResult &Flags) {
  const Words Given = Flags["words"].as<Words>();
  const Command *Chosen = findCommand(Given);
  if (Chosen == nullptr)
    return failure(CliError::Usage, "unknown command; see --help");
  const Words Operands(Given.begin() +
                           static_cast<std::ptrdiff_t>(Chosen->m_Words.size()),
                       Given.end());
  if (Operands.size() != Chosen->m_Operands.size())
    return failure(CliError::Usage, usageOf(*Chosen));
  CommonOptions Common;
  Common.m_Platform = Flags["platform"].as<std::string>();
  Common.m_TableLimit =
      std::chrono::milliseconds(Flags["table-timeout"].as<std::uint32_t>());
  Common.m_InForceLimit =
      std::chrono::milliseconds(Flags["wait"].as<std::uint32_t>());
  Common.m_Force = Flags["force"].as<bool>();
  if (Chosen->m_NeedsPlatform && Common.m_Platform.empty())
    return failure(CliError::Usage, "--platform HOST:PORT is missing");
  return Chosen->m_Run(Common, Operands, Flags);
}

} // namespace

int runCommandLine(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err) {
  cxxopts::Options Options = makeOptions();
  std::vector<const char *> Raw{"balsamwheel"};
  for (const std::string &Word : Arguments)
    Raw.push_back(Word.c_str());
  try {
    const auto Flags = Options.parse(static_cast<int>(Raw.size()), Raw.data());
    if (Flags["help"].as<bool>()) {
      printHelp(Options, findCommand(Flags["words"].as<Words>()), Out);
      return 0;
    }
    return print(runParsed(Flags), Flags["json"].as<bool>(), Out, Err);
  } catch (const cxxopts::exceptions::exception &Error) {
    return print(failure(CliError::Usage, Error.what()), false, Out, Err);
  }
}

} // namespace balsamwheel::cli
