// Parses listening addresses of the form "IPv4:port".
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace balsamwheel::http_server {

/// \returns none unless \p Text is a numeric IPv4 address and a port.
std::optional<sockaddr_in> parseListenAddress(std::string_view Text);

} // namespace balsamwheel::http_server
