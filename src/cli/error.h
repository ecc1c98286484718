// Errors of the command-line tool, each with its own exit code.
#pragma once

#include <system_error>

namespace balsamwheel::cli {

/// The values are the exit codes of the program.
enum class CliError {
  /// The command line is invalid.
  Usage = 1,
  /// A file or an argument is invalid; nothing was changed.
  InvalidInput = 2,
  /// Another operator committed first; nothing was changed.
  Conflict = 3,
  /// The table cannot be reached; nothing was changed.
  Unreachable = 4,
  /// The table did not answer; the change may have been made.
  OutcomeUnknown = 5,
  /// The change is not safe; nothing was changed.
  Refused = 6,
  /// Committed, but some members have not applied the change yet.
  NotInForce = 7,
  /// A row of the table has an unknown format.
  BadRow = 8,
};

const std::error_category &cliCategory();
std::error_code make_error_code(CliError Value);

} // namespace balsamwheel::cli

template <>
struct std::is_error_code_enum<balsamwheel::cli::CliError> : std::true_type {};
