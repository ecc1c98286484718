// Messages of the command-line errors.
#include "cli/error.h"

#include <string>

namespace balsamwheel::cli {

namespace {

class CliCategory final : public std::error_category {
public:
  const char *name() const noexcept override { return "cli"; }

  std::string message(int Value) const override {
    switch (static_cast<CliError>(Value)) {
    case CliError::Usage:
      return "wrong usage";
    case CliError::InvalidInput:
      return "invalid input; nothing was changed";
    case CliError::Conflict:
      return "another change was committed first; nothing was changed";
    case CliError::Unreachable:
      return "the platform's table cannot be reached; nothing was changed";
    case CliError::OutcomeUnknown:
      return "no answer from the platform's table; the change may have been "
             "made: check with 'manifest show'";
    case CliError::Refused:
      return "refused; nothing was changed";
    case CliError::NotInForce:
      return "committed, but not yet in force everywhere";
    case CliError::BadRow:
      return "a row of the platform's table has an unknown shape; nothing was "
             "changed";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category &cliCategory() {
  static const CliCategory Category;
  return Category;
}

std::error_code make_error_code(CliError Value) {
  return {static_cast<int>(Value), cliCategory()};
}

} // namespace balsamwheel::cli
