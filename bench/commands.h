// The subcommands of balsamwheel-bench.
#pragma once

#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Runs a subcommand.
///
/// \param Arguments the subcommand's name and its options.
/// \returns the exit code: 0 success, 1 violations, 2 wrong use or failure.
int runCommand(const std::vector<std::string> &Arguments);

} // namespace balsamwheel::bench
