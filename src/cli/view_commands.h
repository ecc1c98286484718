// Commands that show the state of the deployment, read from the table.
#pragma once

#include "cli/change_commands.h"
#include "cli/result.h"

#include <string>

namespace balsamwheel::cli {

CommandResult showStatus(const CommonOptions &Common);
/// \param Service the service to show; all services if empty.
CommandResult showOwners(const CommonOptions &Common,
                         const std::string &Service);
CommandResult showRoute(const CommonOptions &Common, const std::string &Service,
                        const std::string &Key);

} // namespace balsamwheel::cli
