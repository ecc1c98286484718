// JSON encoding for the platform's table service.
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

/// Decodes {"rows": [...]}. The value of a row is optional.
///
/// \returns none if the text does not have this form.
std::optional<std::vector<Row>> decodeRows(const std::string &Text);

} // namespace balsamwheel::platform_http
