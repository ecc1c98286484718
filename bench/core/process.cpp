// Child processes with fork, exec, signals and /proc.
#include "bench/core/process.h"

#include "bench/core/clock.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace balsamwheel::bench {

namespace {

/// Range of the ports of pickFreePort(); EndPort is excluded.
constexpr std::uint16_t FirstPort = 20'000;
constexpr std::uint16_t EndPort = 32'000;
constexpr int ExecFailedExitCode = 127;

[[noreturn]] void execChild(const ProcessOptions &Options,
                            std::vector<char *> Arguments) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  sigset_t None;
  sigemptyset(&None);
  sigprocmask(SIG_SETMASK, &None, nullptr);
  const int Log =
      open(Options.m_Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Arguments.front(), Arguments.data());
  _exit(ExecFailedExitCode);
}

bool canBind(std::uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool Free = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address)) == 0;
  close(Socket);
  return Free;
}

std::filesystem::path procFile(pid_t Pid, const char *Name) {
  return std::filesystem::path("/proc") / std::to_string(Pid) / Name;
}

} // namespace

ChildProcess::ChildProcess(const ProcessOptions &Options) {
  std::vector<char *> Arguments;
  Arguments.reserve(Options.m_Command.size() + 1);
  for (const std::string &Argument : Options.m_Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  m_Pid = fork();
  if (m_Pid < 0)
    throw std::system_error(errno, std::generic_category(), "fork");
  if (m_Pid == 0)
    execChild(Options, std::move(Arguments));
}

ChildProcess::~ChildProcess() { kill(); }

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : m_Pid(std::exchange(Other.m_Pid, 0)), m_Status(Other.m_Status) {}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  if (this == &Other)
    return *this;
  kill();
  m_Pid = std::exchange(Other.m_Pid, 0);
  m_Status = Other.m_Status;
  return *this;
}

bool ChildProcess::running() { return m_Pid != 0 && !wait(Duration::zero()); }

void ChildProcess::signal(int Signal) const {
  if (m_Pid != 0)
    ::kill(m_Pid, Signal);
}

std::optional<int> ChildProcess::wait(Duration Timeout) {
  const TimePoint End = now() + Timeout;
  while (m_Pid != 0) {
    int Status = 0;
    if (waitpid(m_Pid, &Status, WNOHANG) == m_Pid) {
      m_Pid = 0;
      m_Status = Status;
      break;
    }
    if (now() >= End)
      return std::nullopt;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return m_Status;
}

void ChildProcess::kill() {
  if (m_Pid == 0)
    return;
  ::kill(m_Pid, SIGKILL);
  int Status = 0;
  waitpid(m_Pid, &Status, 0);
  m_Pid = 0;
  m_Status = Status;
}

Duration ChildProcess::processorTime() const {
  std::ifstream File(procFile(m_Pid, "stat"));
  std::string Text;
  std::getline(File, Text);
  const std::size_t NameEnd = Text.rfind(')');
  if (NameEnd == std::string::npos)
    return Duration::zero();
  std::istringstream Fields(Text.substr(NameEnd + 1));
  std::string Skipped;
  // Fields of /proc/PID/stat between the program name and utime.
  constexpr int FieldsBeforeTimes = 11;
  for (int Field = 0; Field < FieldsBeforeTimes; ++Field)
    Fields >> Skipped;
  std::int64_t User = 0;
  std::int64_t System = 0;
  Fields >> User >> System;
  const std::int64_t TicksPerSecond = sysconf(_SC_CLK_TCK);
  return Duration((User + System) * 1'000'000 / TicksPerSecond);
}

std::uint64_t ChildProcess::residentBytes() const {
  std::ifstream File(procFile(m_Pid, "statm"));
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

ProgramResult runProgram(const ProcessOptions &Options, Duration Timeout) {
  std::error_code Ignored;
  const auto SizeBefore = std::filesystem::file_size(Options.m_Log, Ignored);
  const std::streamoff OutputStart =
      Ignored ? 0 : static_cast<std::streamoff>(SizeBefore);
  ChildProcess Child(Options);
  ProgramResult Result;
  const std::optional<int> Status = Child.wait(Timeout);
  if (Status && WIFEXITED(*Status))
    Result.m_ExitCode = WEXITSTATUS(*Status);
  std::ifstream Log(Options.m_Log);
  Log.seekg(OutputStart);
  Result.m_Output.assign(std::istreambuf_iterator<char>(Log), {});
  return Result;
}

std::uint16_t pickFreePort() {
  static std::set<std::uint16_t> Returned;
  // Spreads the first ports of processes that run at the same time.
  static std::uint32_t Next = static_cast<std::uint32_t>(getpid()) * 37U;
  while (true) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + Next++ % (EndPort - FirstPort));
    if (canBind(Port) && Returned.insert(Port).second)
      return Port;
  }
}

} // namespace balsamwheel::bench
