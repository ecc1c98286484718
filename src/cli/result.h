// Output and error code of a command.
#pragma once

#include "cli/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace balsamwheel::cli {

/// The result of one command.
struct CommandResult {
  /// Unset on success.
  std::error_code m_Error;
  /// Human-readable output without a trailing line break.
  std::string m_Text;
  /// Output of the --json flag.
  nlohmann::json m_Json = nlohmann::json::object();
};

/// Makes the result of a failed command: the message of \p Error, followed by
/// \p Detail if given.
inline CommandResult failure(CliError Error, const std::string &Detail) {
  const std::error_code Code = Error;
  return {.m_Error = Code,
          .m_Text =
              Detail.empty() ? Code.message() : Code.message() + ": " + Detail,
          .m_Json = {{"detail", Detail}}};
}

/// Makes the result of a failed command.
///
/// \param Code an error of cliCategory().
inline CommandResult failure(const std::error_code &Code,
                             const std::string &Detail = "") {
  return failure(static_cast<CliError>(Code.value()), Detail);
}

} // namespace balsamwheel::cli
