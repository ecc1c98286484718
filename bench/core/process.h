// Child processes: started by fork and exec, ended and reaped by pid.
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
  /// Receives standard output and standard error, appended.
  std::filesystem::path m_Log;
};

/// A child. It dies with the thread that started it, and with this object.
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
  /// Waits for the end. \returns the wait status, none after the timeout.
  std::optional<int> wait(Duration Timeout);
  /// Ends it with SIGKILL and reaps it.
  void kill();
  /// Processor time used so far, by user and system.
  Duration processorTime() const;
  /// Resident memory, in bytes.
  std::uint64_t residentBytes() const;

private:
  /// 0 when there is none, or it was reaped.
  pid_t m_Pid = 0;
  std::optional<int> m_Status;
};

/// The result of a program that ran to its end.
struct ProgramResult {
  int m_ExitCode = -1;
  std::string m_Output;
};

/// Runs a program to its end; its output goes through \p Log.
ProgramResult runProgram(const ProcessOptions &Options, Duration Timeout);

/// Returns a TCP port on 127.0.0.1 that was free at the time, never the same
/// one twice, outside the range of outgoing connections.
std::uint16_t pickFreePort();

} // namespace balsamwheel::bench
