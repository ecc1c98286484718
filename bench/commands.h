// The subcommands of balsamwheel-bench.
#pragma once

#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Runs a subcommand.
///
/// \param Arguments the name of the subcommand, then its options.
/// \returns the exit code: 0 on success, 1 on violations of an invariant, 2 on
/// wrong usage or failure.
int runCommand(const std::vector<std::string> &Arguments);

} // namespace balsamwheel::bench
