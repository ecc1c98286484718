// Parses the command line and runs the selected command.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace balsamwheel::cli {

/// Runs one command.
///
/// \param Arguments the arguments after the program name.
/// \returns the exit code: 0 or the value of a CliError.
int runCommandLine(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

} // namespace balsamwheel::cli
