// Which daemons served a service, now and lately.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Tells whether everyone who may have run a request can still be asked.
class MemberHistory {
public:
  explicit MemberHistory(Duration Memory) : m_Memory(Memory) {}

  /// Takes in the members of the moment. Complexity: linear.
  void update(const std::vector<Member> &Members, TimePoint Now) {
    if (!m_Since)
      m_Since = Now;
    for (const Member &Each : Members)
      if (!Each.m_Service.value().empty())
        m_Seen[Each.m_Session] = {Each.m_Service, Now};
    std::erase_if(m_Seen, [&](const auto &Entry) {
      return Entry.second.m_LastSeen + m_Memory < Now;
    });
    m_Updated = Now;
  }

  /// Whether no member of a service was lost since a time.
  bool completeSince(const ServiceName &Service, TimePoint Since) const {
    if (!m_Since || *m_Since > Since || Since + m_Memory < m_Updated)
      return false;
    for (const auto &[Session, Entry] : m_Seen)
      if (Entry.m_Service == Service && Entry.m_LastSeen < m_Updated &&
          Entry.m_LastSeen >= Since)
        return false;
    return true;
  }

private:
  struct Sighting {
    ServiceName m_Service;
    TimePoint m_LastSeen;
  };

  Duration m_Memory;
  std::optional<TimePoint> m_Since;
  TimePoint m_Updated;
  std::unordered_map<SessionId, Sighting> m_Seen;
};

} // namespace balsamwheel
