// A node's state as JSON for operators.
#pragma once

#include "balsamwheel/detail/node/node.h"

#include <nlohmann/json.hpp>

#include <string>

namespace balsamwheel::daemon {

/// State of the node, its members and the configuration.
nlohmann::json statusJson(const Node &Subject, TimePoint Now);

/// Where a key's requests go, and why.
nlohmann::json routeJson(const Node &Subject, const ServiceName &Service,
                         const std::string &Key);

/// The owner of each shard of a service.
nlohmann::json ownersJson(const Node &Subject, const ServiceName &Service);

} // namespace balsamwheel::daemon
