// balsamwheeld: command line and signal handling of the daemon.
#include "daemon/daemon.h"
#include "daemon/logging.h"

#include <curl/curl.h>
#include <cxxopts.hpp>
#include <log4cplus/initializer.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <pthread.h>
#include <thread>

using namespace balsamwheel::daemon;

namespace {

enum ExitCode : int { Success = 0, BadUsage = 2, BadSettings = 3, NoStart = 4 };

struct Arguments {
  std::string m_Settings;
  bool m_Check = false;
};

/// Returns the arguments, or an exit code if the daemon shouldn't run.
std::variant<Arguments, ExitCode> parseArguments(int Count, char **Values) {
  cxxopts::Options Options(
      "balsamwheeld",
      "Routes requests to the owners of their keys. Runs next to one target.\n"
      "Exit codes: 0 success, 2 invalid usage, 3 invalid settings, 4 cannot "
      "start.\n");
  Options.add_options()("s,settings", "Settings file (YAML)",
                        cxxopts::value<std::string>(), "FILE")(
      "check", "Validate the settings and exit")("h,help", "Show this help");
  try {
    const cxxopts::ParseResult Given = Options.parse(Count, Values);
    if (Given.count("help") > 0) {
      std::cout << Options.help();
      return Success;
    }
    if (Given.count("settings") == 0 || !Given.unmatched().empty()) {
      std::cerr << "balsamwheeld: --settings FILE is required; operands "
                   "are not allowed\n";
      return BadUsage;
    }
    return Arguments{.m_Settings = Given["settings"].as<std::string>(),
                     .m_Check = Given.count("check") > 0};
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "balsamwheeld: " << Error.what() << "\n";
    return BadUsage;
  }
}

std::optional<Settings> readSettings(const std::string &File) {
  auto Result = loadSettings(File);
  if (auto *Given = std::get_if<Settings>(&Result))
    return std::move(*Given);
  for (const SettingsError &Error :
       std::get<std::vector<SettingsError>>(Result))
    std::cerr << toString(Error) << "\n";
  return std::nullopt;
}

/// Blocks the signals that request a shutdown, for this thread and all threads
/// that it starts. Ignores SIGPIPE.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/// Requests a shutdown for each signal received. Never returns normally.
void awaitSignals(const sigset_t &Signals, Daemon &Process) {
  int Signal = 0;
  while (sigwait(&Signals, &Signal) == 0)
    Process.shutdown();
}

} // namespace

int main(int Count, char **Values) {
  const auto Parsed = parseArguments(Count, Values);
  if (const auto *Code = std::get_if<ExitCode>(&Parsed))
    return *Code;
  const Arguments &Given = std::get<Arguments>(Parsed);
  std::optional<Settings> Read = readSettings(Given.m_Settings);
  if (!Read)
    return BadSettings;
  if (Given.m_Check) {
    std::cout << Given.m_Settings << ": settings are valid\n";
    return Success;
  }
  const sigset_t Signals = blockSignals();
  const log4cplus::Initializer Logging;
  configureLogging(*Read);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Daemon Process(std::move(*Read));
  if (Process.start())
    return NoStart;
  LOG4CPLUS_INFO(logger(), "started");
  std::thread(awaitSignals, Signals, std::ref(Process)).detach();
  Process.run();
  LOG4CPLUS_INFO(logger(), "stopped");
  // Skips destructors, because the thread that waits for signals never ends.
  std::_Exit(Success);
}
