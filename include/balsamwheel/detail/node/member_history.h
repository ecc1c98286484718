// Records which members served a service recently.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamwheel {

/// Used to decide whether every member that may have run a request can still be
/// asked for its outcome.
class MemberHistory {
public:
  /// \param Retention how long a member is remembered after it was last seen.
  explicit MemberHistory(Duration Retention) : m_Retention(Retention) {}

  /// Records the current members. Complexity: linear.
  void update(const std::vector<Member> &Members, TimePoint Now) {
    if (!m_FirstUpdate)
      m_FirstUpdate = Now;
    ++m_Updates;
    for (const Member &Each : Members) {
      if (Each.m_Service.value().empty())
        continue;
      SeenMember &Seen =
          m_Seen.try_emplace(Each.m_Session, Each.m_Service, Now).first->second;
      Seen.m_LastSeen = Now;
      Seen.m_LastSeenIn = m_Updates;
    }
    std::erase_if(m_Seen, [&](const auto &Entry) {
      return Entry.second.m_LastSeen + m_Retention < Now;
    });
    m_LastUpdate = Now;
  }

  /// Whether every member that served a service at or after \p Since is still a
  /// member. False if the history does not reach back that far.
  /// Complexity: linear.
  bool completeSince(const ServiceName &Service, TimePoint Since) const {
    if (!m_FirstUpdate || *m_FirstUpdate > Since ||
        Since + m_Retention < m_LastUpdate)
      return false;
    for (const auto &[Session, Entry] : m_Seen)
      if (Entry.m_Service == Service && Entry.m_LastSeenIn != m_Updates &&
          Entry.m_LastSeen >= Since)
        return false;
    return true;
  }

  /// Returns when a member was first seen; TimePoint::max() if it is unknown.
  /// Complexity: constant on average.
  TimePoint firstSeen(const SessionId &Session) const {
    const auto It = m_Seen.find(Session);
    return It == m_Seen.end() ? TimePoint::max() : It->second.m_FirstSeen;
  }

private:
  struct SeenMember {
    SeenMember(ServiceName Service, TimePoint At)
        : m_Service(std::move(Service)), m_FirstSeen(At), m_LastSeen(At) {}

    ServiceName m_Service;
    TimePoint m_FirstSeen;
    TimePoint m_LastSeen;
    /// Number of the update that saw it last. A time doesn't tell whether it is
    /// a member still: two updates can have the same one.
    std::uint64_t m_LastSeenIn = 0;
  };

  Duration m_Retention;
  std::optional<TimePoint> m_FirstUpdate;
  TimePoint m_LastUpdate;
  std::uint64_t m_Updates = 0;
  std::unordered_map<SessionId, SeenMember> m_Seen;
};

} // namespace balsamwheel
