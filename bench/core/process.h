// Child processes, started with fork and exec.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace balsamwheel::bench {

struct ProcessOptions {
  /// Program and arguments.
  std::vector<std::string> m_Command;
  /// File to which standard output and standard error are appended.
  std::filesystem::path m_Log;
};

/// A child process. It is killed when this object is destroyed, and by the
/// kernel when the thread that started it ends.
class ChildProcess {
public:
  ChildProcess() = default;
  /// \throws std::system_error when the fork fails.
  explicit ChildProcess(const ProcessOptions &Options);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;

  bool running();
  pid_t pid() const { return m_Pid; }
  void signal(int Signal) const;
  /// Waits until the child ends. \returns the status as of waitpid(), none
  /// after the time-out.
  std::optional<int> wait(Duration Timeout);
  /// Kills the child with SIGKILL and reaps it.
  void kill();
  /// Returns the processor time used so far, in user and kernel mode.
  Duration processorTime() const;
  /// Returns the resident memory in bytes.
  std::uint64_t residentBytes() const;

private:
  /// 0 without a child or once it is reaped.
  pid_t m_Pid = 0;
  std::optional<int> m_Status;
};

/// Exit code and output of a program.
struct ProgramResult {
  /// -1 when the program was killed, by a signal or after the time-out.
  int m_ExitCode = -1;
  std::string m_Output;
};

/// Runs a program until it ends or the time-out kills it. Its output is read
/// back from the log file.
ProgramResult runProgram(const ProcessOptions &Options, Duration Timeout);

/// Returns a TCP port of 127.0.0.1 that is free now. Never returns a port twice
/// in one process. The ports lie outside the range that the system uses for
/// outgoing connections. Not thread-safe.
std::uint16_t pickFreePort();

} // namespace balsamwheel::bench
