// Commands that check, compare or change the configuration.
#pragma once

#include "cli/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace balsamwheel::cli {

/// Settings that all commands share.
struct CommonOptions {
  /// "host:port" or URL of the platform.
  std::string m_Platform;
  /// How long to try to reach the table.
  std::chrono::milliseconds m_TableLimit{5000};
  /// How long to wait for a change to be in force; 0 does not wait.
  std::chrono::milliseconds m_InForceLimit{15'000};
  /// Carry a change out although the rest may not bear the load.
  bool m_Force = false;
};

CommandResult checkManifest(const std::string &File);
CommandResult diffManifest(const CommonOptions &Common,
                           const std::string &File);
/// \param Base the version that the operator worked from.
CommandResult commitManifest(const CommonOptions &Common,
                             const std::string &File, std::uint64_t Base);
CommandResult showManifest(const CommonOptions &Common);
CommandResult takeDomainOut(const CommonOptions &Common,
                            const std::string &Name);
CommandResult bringDomainIn(const CommonOptions &Common,
                            const std::string &Name);
/// Tells an instance to leave, or with \p Undo to stay.
CommandResult drainInstance(const CommonOptions &Common,
                            const std::string &Name, bool Undo);

} // namespace balsamwheel::cli
