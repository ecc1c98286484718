// Errors of the command line, one exit code each.
#pragma once

#include <system_error>

namespace balsamwheel::cli {

/// The numbers are the program's exit codes.
enum class CliError {
  /// The command line itself is wrong.
  Usage = 1,
  /// A file or an argument does not pass its check.
  InvalidInput = 2,
  /// Another operator committed first.
  Conflict = 3,
  /// The table cannot be reached; nothing was changed.
  Unreachable = 4,
  /// No answer came; the change may have been made.
  OutcomeUnknown = 5,
  /// The change is not safe; nothing was changed.
  Refused = 6,
  /// Committed, but not yet in force everywhere.
  NotInForce = 7,
  /// A row of the table has an unknown shape.
  BadRow = 8,
};

const std::error_category &cliCategory();
std::error_code make_error_code(CliError Value);

} // namespace balsamwheel::cli

template <>
struct std::is_error_code_enum<balsamwheel::cli::CliError> : std::true_type {};
