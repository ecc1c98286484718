// What a command prints and the code it exits with.
#pragma once

#include "cli/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace balsamwheel::cli {

/// The result of one command.
struct CommandResult {
  /// Unset on success.
  std::error_code m_Error;
  /// For people; ends without a line break.
  std::string m_Text;
  /// For machines.
  nlohmann::json m_Json = nlohmann::json::object();
};

/// A failure with an explanation of what failed and what was not changed.
inline CommandResult failure(CliError Error, const std::string &Detail) {
  const std::error_code Code = Error;
  return {.m_Error = Code,
          .m_Text =
              Detail.empty() ? Code.message() : Code.message() + ": " + Detail,
          .m_Json = {{"detail", Detail}}};
}

/// A failure that a lower part of the command line reported.
///
/// \param Code of cliCategory().
inline CommandResult failure(const std::error_code &Code,
                             const std::string &Detail = "") {
  return failure(static_cast<CliError>(Code.value()), Detail);
}

} // namespace balsamwheel::cli
