// Parses listening addresses.
#include "adapters/http_server/listen_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace balsamwheel::http_server {

std::optional<sockaddr_in> parseListenAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string Host(Text.substr(0, Colon));
  const std::string_view Port = Text.substr(Colon + 1);
  std::uint16_t Number = 0;
  const auto [End, Error] = std::from_chars(Port.begin(), Port.end(), Number);
  if (Error != std::errc() || End != Port.end())
    return std::nullopt;
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Number);
  if (inet_pton(AF_INET, Host.c_str(), &Result.sin_addr) != 1)
    return std::nullopt;
  return Result;
}

} // namespace balsamwheel::http_server
