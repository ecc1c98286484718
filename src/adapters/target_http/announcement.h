// The announcement that a target sends about itself.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace balsamwheel::target_http {

/// A heartbeat of the target with its current state, repeated every second.
struct Announcement {
  ServiceName m_Service;
  /// "host:port" where the target accepts orders.
  std::string m_Address;
  /// Number of orders that the target runs at the same time.
  std::uint32_t m_Slots = 0;
  /// Maximum number of connections to the target.
  std::uint32_t m_Connections = 0;
  /// The target has just started or has lost its cached state.
  bool m_Cold = false;
  /// The target refuses orders whose epoch is lower than one it has seen.
  bool m_ChecksFences = false;
  /// The target accepts no further orders.
  bool m_Leaving = false;

  bool operator==(const Announcement &) const = default;
};

struct AnnouncementError {
  std::string m_Reason;
};

/// Parses the JSON body of an announcement.
std::variant<Announcement, AnnouncementError>
parseAnnouncement(const std::string &Body);

} // namespace balsamwheel::target_http
