// Parses announcements.
#include "adapters/target_http/announcement.h"

#include "adapters/http_server/listen_address.h"

#include <nlohmann/json.hpp>

namespace balsamwheel::target_http {

namespace {

using Json = nlohmann::json;

/// Upper bound for slots and connections.
constexpr std::int64_t MaxCount = 100'000;

/// Returns 0 unless the value is an integer from 1 to MaxCount.
std::uint32_t readCount(const Json &Value) {
  const auto Count = Value.get<std::int64_t>();
  return Count > 0 && Count <= MaxCount ? static_cast<std::uint32_t>(Count) : 0;
}

Announcement fromJson(const Json &Value) {
  Announcement Result;
  Result.m_Service = ServiceName(Value.at("service").get<std::string>());
  Result.m_Leaving = Value.value("leaving", false);
  if (Result.m_Leaving)
    return Result;
  Result.m_Address = Value.at("address").get<std::string>();
  Result.m_Slots = readCount(Value.at("slots"));
  Result.m_Connections = readCount(Value.at("connections"));
  Result.m_Cold = Value.value("cold", false);
  Result.m_ChecksFences = Value.value("checks_fences", false);
  return Result;
}

} // namespace

std::variant<Announcement, AnnouncementError>
parseAnnouncement(const std::string &Body) {
  const Json Document = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Document.is_object())
    return AnnouncementError{"the body is no JSON object"};
  try {
    Announcement Result = fromJson(Document);
    if (Result.m_Service.value().empty())
      return AnnouncementError{"service: is empty"};
    if (Result.m_Leaving)
      return Result;
    if (!http_server::parseListenAddress(Result.m_Address))
      return AnnouncementError{"address: is no numeric host:port"};
    if (Result.m_Slots == 0 || Result.m_Connections == 0)
      return AnnouncementError{"slots and connections: must be at least 1"};
    return Result;
  } catch (const Json::exception &Error) {
    return AnnouncementError{Error.what()};
  }
}

} // namespace balsamwheel::target_http
