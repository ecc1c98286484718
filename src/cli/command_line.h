// Reads the command line and runs the command that it names.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace balsamwheel::cli {

/// Runs one command.
///
/// \param Arguments the words after the program's name.
/// \returns the exit code; the numbers are those of CliError.
int runCommandLine(const std::vector<std::string> &Arguments, std::ostream &Out,
                   std::ostream &Err);

} // namespace balsamwheel::cli
