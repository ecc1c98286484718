// Commands that validate, compare, show or change the configuration.
#pragma once

#include "cli/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace balsamwheel::cli {

/// Options that all commands share.
struct CommonOptions {
  /// "host:port" or URL of the platform.
  std::string m_Platform;
  /// Time limit for reading or committing rows, including retries.
  std::chrono::milliseconds m_TableLimit{5000};
  /// How long to wait until all members have applied a change; 0 doesn't wait.
  std::chrono::milliseconds m_InForceLimit{15'000};
  /// Proceed even if the remaining targets may lack capacity for the load.
  bool m_Force = false;
};

CommandResult checkManifest(const std::string &File);
CommandResult diffManifest(const CommonOptions &Common,
                           const std::string &File);
/// Commits a manifest.
///
/// \param Base the version that the change is based on. If another version is
/// current, nothing is committed.
CommandResult commitManifest(const CommonOptions &Common,
                             const std::string &File, std::uint64_t Base);
CommandResult showManifest(const CommonOptions &Common);
CommandResult takeDomainOut(const CommonOptions &Common,
                            const std::string &Name);
CommandResult bringDomainIn(const CommonOptions &Common,
                            const std::string &Name);
/// Asks an instance to drain; with \p Undo, withdraws that request.
CommandResult drainInstance(const CommonOptions &Common,
                            const std::string &Name, bool Undo);

} // namespace balsamwheel::cli
