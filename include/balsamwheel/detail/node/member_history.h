// Which daemons served a service, now and lately.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <optional>
#include <unordered_map>
#include <utility>
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
        m_Seen.try_emplace(Each.m_Session, Each.m_Service, Now)
            .first->second.m_LastSeen = Now;
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

  /// When a member was first seen; the latest time for an unknown one.
  /// Complexity: constant on average.
  TimePoint firstSeen(const SessionId &Session) const {
    const auto It = m_Seen.find(Session);
    return It == m_Seen.end() ? TimePoint::max() : It->second.m_FirstSeen;
  }

private:
  struct Sighting {
    Sighting(ServiceName Service, TimePoint At)
        : m_Service(std::move(Service)), m_FirstSeen(At), m_LastSeen(At) {}

    ServiceName m_Service;
    TimePoint m_FirstSeen;
    TimePoint m_LastSeen;
  };

  Duration m_Memory;
  std::optional<TimePoint> m_Since;
  TimePoint m_Updated;
  std::unordered_map<SessionId, Sighting> m_Seen;
};

} // namespace balsamwheel
