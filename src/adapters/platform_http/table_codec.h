// JSON of the platform's table service.
#pragma once

#include "balsamwheel/detail/platform/table.h"

#include <optional>
#include <string>
#include <vector>

namespace balsamwheel::platform_http {

/// Body of POST /v1/read.
std::string encodeRead(const TableRead &Read);

/// Body of POST /v1/commit.
std::string encodeCommit(const Transaction &Commit);

/// Reads {"rows": [...]}; a row may lack its value.
///
/// \returns none when the text has another shape.
std::optional<std::vector<Row>> decodeRows(const std::string &Text);

} // namespace balsamwheel::platform_http
