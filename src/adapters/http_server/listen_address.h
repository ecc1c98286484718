// Reads "host:port" with a numeric host.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace balsamwheel::http_server {

/// \returns none unless \p Text is an IPv4 number and a port.
std::optional<sockaddr_in> parseListenAddress(std::string_view Text);

} // namespace balsamwheel::http_server
