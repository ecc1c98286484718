// Commits and checks of the key map.
#include "key_coordinator.h"

#include <algorithm>

namespace balsamwheel {

RowKey keyMapRow(const ServiceName &Service) {
  return RowKey("keys/" + Service.value());
}

KeyCoordinator::KeyCoordinator(EventLoop &Loop, EventLog &Log,
                               TableService &Table, TargetAgent &Agent,
                               ServiceName Service,
                               KeyCoordinatorOptions Options,
                               KeyCoordinatorCallbacks Callbacks)
    : m_Loop(Loop), m_Log(Log), m_Table(Table), m_Agent(Agent),
      m_Service(std::move(Service)), m_Options(Options),
      m_Callbacks(std::move(Callbacks)), m_Planner(Options.m_Planner),
      m_StartedAt(Loop.now()) {
  tick();
}

KeyCoordinator::~KeyCoordinator() { m_Loop.cancel(m_Timer); }

void KeyCoordinator::tick() {
  m_Timer = m_Loop.after(m_Options.m_PlanInterval, [this] { tick(); });
  update();
}

void KeyCoordinator::mapChanged(std::optional<KeyMap> Map, RowVersion Version) {
  if (Version <= m_Version)
    return;
  m_Version = Version;
  m_Map = std::move(Map);
  if (m_Map)
    m_Planner.observe(*m_Map, m_Loop.now());
  m_Loop.post([this] { update(); });
}

KeyMap KeyCoordinator::desired() const {
  KeyMap Next = m_Map ? *m_Map : KeyMap();
  const TimePoint Now = m_Loop.now();
  if (const auto Self = m_Agent.owner(); Self && m_Map) {
    if (!m_Agent.leaving())
      Next = adoptEarlierIncarnations(Next, *Self);
    if (m_Agent.condition() == TargetCondition::Ended)
      Next = freeOwnedBy(Next, *Self);
    for (const ReleasedSpan &Each : m_Agent.ledger()->completedReleases(Next))
      Next = completeRelease(Next, *Self, Each.m_First, Each.m_Last,
                             Each.m_HandoverToken);
  }
  if (Now - m_StartedAt >= m_Options.m_StartupDelay &&
      m_Callbacks.m_IsPlanner())
    Next = m_Planner.plan(Next, m_Callbacks.m_Candidates(),
                          m_Callbacks.m_Loads(), Now);
  return Next;
}

void KeyCoordinator::update() {
  if (m_Committing || !m_TableRead)
    return;
  const KeyMap Next = desired();
  const bool Changed = m_Map ? Next != *m_Map : Next != KeyMap();
  if (Changed)
    return commit(Next.toText());
  const bool NeedsAuthority = m_Map && m_Agent.owner();
  if (NeedsAuthority && m_Loop.now() >= m_NextCheck)
    commit(std::nullopt);
}

void KeyCoordinator::commit(std::optional<std::string> Value) {
  m_Committing = true;
  ++m_Commits;
  const TimePoint StartedAt = m_Loop.refreshNow();
  const bool HadWrite = Value.has_value();
  m_Table.commit({.m_Key = keyMapRow(m_Service),
                  .m_Expected = m_Map ? m_Version : RowVersion(),
                  .m_Value = std::move(Value)},
                 [this, StartedAt, HadWrite](const TableServiceReply &Reply) {
                   onCommitReply(Reply, StartedAt, HadWrite);
                 });
}

void KeyCoordinator::onCommitReply(const TableServiceReply &Reply,
                                   TimePoint StartedAt, bool HadWrite) {
  m_Committing = false;
  const bool Succeeded = Reply.m_CallOutcome == TableCallOutcome::Ok;
  m_NextCheck = StartedAt + (Succeeded ? m_Options.m_CheckInterval
                                       : m_Options.m_CheckRetryDelay);
  if (Succeeded)
    m_AuthorityUntil =
        std::max(m_AuthorityUntil, StartedAt + m_Options.m_AuthorityDuration);
  if (HadWrite || !Succeeded)
    m_Log.write(
        LogClass::StateChange,
        LogLine(HadWrite ? "key_map_commit" : "key_map_check")
            .add("service", m_Service.value())
            .add("expected", static_cast<std::int64_t>(m_Version.value()))
            .add("end", std::int64_t{static_cast<int>(Reply.m_CallOutcome)})
            .add("error", Reply.m_Error));
  for (const MirroredRow &Row : Reply.m_Rows)
    m_Callbacks.m_OnRow(Row);
}

} // namespace balsamwheel
