// Takes part in deciding who owns the keys of the local target's service:
// keeps the authority to grant, reports what was released, and plans when this
// daemon is the one to do so.
//
// Safety rests on conditional commits of one row: whoever plans, a change
// counts only against the version it was made from. A daemon grants only while
// a commit or check that it began less than the authority time ago has found
// the row unchanged, so a revocation binds it after that time.
#pragma once

#include "event_log.h"
#include "router_settings.h"
#include "table_service.h"
#include "target_agent.h"

#include "balsamwheel/detail/keyspace/key_planner.h"

namespace balsamwheel {

/// Row of the key map of a service in the daemons' own table.
RowKey keyMapRow(const ServiceName &Service);

struct KeyCoordinatorOptions {
  /// From the start of a check of the map to the end of the right to grant.
  Duration m_Authority = std::chrono::seconds(3);
  /// Pause between two checks.
  Duration m_CheckInterval = std::chrono::milliseconds(1500);
  Duration m_CheckRetry = std::chrono::milliseconds(300);
  Duration m_PlanInterval = std::chrono::milliseconds(500);
  /// From the start of the daemon to its first plan, so that the others are
  /// known.
  Duration m_Settle = std::chrono::seconds(2);
  KeyPlannerOptions m_Planner;
};

/// What the coordinator asks the router.
struct KeyCoordinatorView {
  /// All targets of the service that are known.
  std::function<std::vector<KeyCandidate>()> m_Candidates;
  std::function<SliceLoads()> m_Loads;
  /// Whether this daemon is the one to plan.
  std::function<bool()> m_IsPlanner;
  /// Rows learned from replies to commits.
  std::function<void(const MirroredRow &)> m_OnRow;
};

class KeyCoordinator {
public:
  KeyCoordinator(EventLoop &Loop, EventLog &Log, TableService &Table,
                 TargetAgent &Agent, ServiceName Service,
                 KeyCoordinatorOptions Options, KeyCoordinatorView View);
  ~KeyCoordinator();

  /// The row has a new version; none: it doesn't exist.
  void mapChanged(std::optional<KeyMap> Map, RowVersion Version);
  /// The table has been read: if there is no row, one may be made.
  void tableRead() { m_TableRead = true; }
  /// Does what is due; called after heartbeats too.
  void step();
  /// Whether grants may be given at \p Now.
  bool mayGrant(TimePoint Now) const { return m_Map && Now < m_AuthorityUntil; }
  const KeyMap *map() const { return m_Map ? &*m_Map : nullptr; }
  std::uint64_t commits() const { return m_Commits; }

private:
  KeyMap desired() const;
  void commit(std::optional<std::string> Value);
  void replied(const TableServiceReply &Reply, TimePoint Began, bool Wrote);
  void tick();

  EventLoop &m_Loop;
  EventLog &m_Log;
  TableService &m_Table;
  TargetAgent &m_Agent;
  ServiceName m_Service;
  KeyCoordinatorOptions m_Options;
  KeyCoordinatorView m_View;
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
