// What a target says about itself.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace balsamwheel::target_http {

/// A sign of life, repeated each second.
struct Announcement {
  ServiceName m_Service;
  /// "host:port" where it takes orders.
  std::string m_Address;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 0;
  /// Just started, or lost its warmth.
  bool m_Cold = false;
  bool m_ChecksFences = false;
  /// Wants no more work.
  bool m_Leaving = false;

  bool operator==(const Announcement &) const = default;
};

struct AnnouncementError {
  std::string m_Reason;
};

/// Reads the JSON body of an announcement.
std::variant<Announcement, AnnouncementError>
parseAnnouncement(const std::string &Body);

} // namespace balsamwheel::target_http
