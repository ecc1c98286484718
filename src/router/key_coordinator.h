// Takes part in assigning the keys of the local target's service to owners:
// maintains the authority to grant keys, reports released keys, and plans the
// assignment while this daemon is the planner.
//
// Safety rests on conditional commits of one row: whichever daemon plans, a
// change takes effect only if the row still has the version that the change was
// made from. A daemon grants keys only while a commit or check that it started
// less than the authority duration ago has found the row unchanged, so a
// revocation is binding for it once that time has passed.
#pragma once

#include "event_log.h"
#include "router_settings.h"
#include "table_service.h"
#include "target_agent.h"

#include "balsamwheel/detail/keyspace/key_planner.h"

namespace balsamwheel {

/// Key of the row that holds the key map of a service, in the daemons' own
/// table.
RowKey keyMapRow(const ServiceName &Service);

struct KeyCoordinatorOptions {
  /// How long after the start of a successful check of the map keys may be
  /// granted.
  Duration m_AuthorityDuration = std::chrono::seconds(3);
  /// Interval between two checks of the map.
  Duration m_CheckInterval = std::chrono::milliseconds(1500);
  /// Delay before a failed commit or check is repeated.
  Duration m_CheckRetryDelay = std::chrono::milliseconds(300);
  /// Interval at which update() is called.
  Duration m_PlanInterval = std::chrono::milliseconds(500);
  /// Time after the creation of the coordinator in which it doesn't plan, so
  /// that the daemon learns of the other targets first.
  Duration m_StartupDelay = std::chrono::seconds(2);
  KeyPlannerOptions m_Planner;
};

/// Functions of the router that the coordinator calls.
struct KeyCoordinatorCallbacks {
  /// All known targets of the service.
  std::function<std::vector<KeyCandidate>()> m_Candidates;
  /// Requests per second for each slice of keys, over all targets.
  std::function<SliceLoads()> m_Loads;
  /// Whether this daemon is the planner.
  std::function<bool()> m_IsPlanner;
  /// Called for each row in a reply to a commit.
  std::function<void(const MirroredRow &)> m_OnRow;
};

class KeyCoordinator {
public:
  KeyCoordinator(EventLoop &Loop, EventLog &Log, TableService &Table,
                 TargetAgent &Agent, ServiceName Service,
                 KeyCoordinatorOptions Options,
                 KeyCoordinatorCallbacks Callbacks);
  ~KeyCoordinator();

  /// Reports a new version of the map's row.
  /// \param Map the new map; none when the row doesn't exist.
  void mapChanged(std::optional<KeyMap> Map, RowVersion Version);
  /// Reports that the table has been read: if the row doesn't exist, it may be
  /// created.
  void onTableRead() { m_TableRead = true; }
  /// Commits or checks the map if that is due. Called periodically and after
  /// each heartbeat.
  void update();
  /// Whether keys may be granted at \p Now.
  bool mayGrant(TimePoint Now) const { return m_Map && Now < m_AuthorityUntil; }
  const KeyMap *map() const { return m_Map ? &*m_Map : nullptr; }
  std::uint64_t commits() const { return m_Commits; }

private:
  /// The map with all changes that this daemon has to make.
  KeyMap desired() const;
  /// Commits \p Value; none only checks that the row is unchanged.
  void commit(std::optional<std::string> Value);
  void onCommitReply(const TableServiceReply &Reply, TimePoint StartedAt,
                     bool HadWrite);
  void tick();

  EventLoop &m_Loop;
  EventLog &m_Log;
  TableService &m_Table;
  TargetAgent &m_Agent;
  ServiceName m_Service;
  KeyCoordinatorOptions m_Options;
  KeyCoordinatorCallbacks m_Callbacks;
  KeyPlanner m_Planner;
  TimePoint m_StartedAt;
  std::optional<KeyMap> m_Map;
  RowVersion m_Version;
  TimePoint m_AuthorityUntil;
  TimePoint m_NextCheck;
  bool m_TableRead = false;
  bool m_Committing = false;
  std::uint64_t m_Commits = 0;
  EventLoop::TimerId m_Timer;
};

} // namespace balsamwheel
