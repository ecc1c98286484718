// JSON documents for operators about the state of a node.
#pragma once

#include "balsamwheel/detail/node/node.h"

#include <nlohmann/json.hpp>

#include <string>

namespace balsamwheel::daemon {

/// Returns the state of the node, its coordinator and the known members.
nlohmann::json statusJson(const Node &Subject, TimePoint Now);

/// Returns where requests for a key are sent, and the reason. The document has
/// an "error" field if the service is unknown.
nlohmann::json routeJson(const Node &Subject, const ServiceName &Service,
                         const std::string &Key);

/// Returns the owner of each shard of a service, or the candidates if it isn't
/// divided by key. Has an "error" field if the service is unknown.
nlohmann::json ownersJson(const Node &Subject, const ServiceName &Service);

} // namespace balsamwheel::daemon
