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
                               KeyCoordinatorView View)
    : m_Loop(Loop), m_Log(Log), m_Table(Table), m_Agent(Agent),
      m_Service(std::move(Service)), m_Options(Options),
      m_View(std::move(View)), m_Planner(Options.m_Planner),
      m_StartedAt(Loop.now()) {
  tick();
}

KeyCoordinator::~KeyCoordinator() { m_Loop.cancel(m_Timer); }

void KeyCoordinator::tick() {
  m_Timer = m_Loop.after(m_Options.m_PlanInterval, [this] { tick(); });
  step();
}

void KeyCoordinator::mapChanged(std::optional<KeyMap> Map, RowVersion Version) {
  if (Version <= m_Version)
    return;
  m_Version = Version;
  m_Map = std::move(Map);
  if (m_Map)
    m_Planner.observe(*m_Map, m_Loop.now());
  m_Loop.post([this] { step(); });
}

KeyMap KeyCoordinator::desired() const {
  KeyMap Next = m_Map ? *m_Map : KeyMap();
  const TimePoint Now = m_Loop.now();
  if (const auto Self = m_Agent.owner(); Self && m_Map) {
    if (!m_Agent.leaving())
      Next = adoptEarlierIncarnations(Next, *Self);
    if (m_Agent.condition() == TargetCondition::Ended)
      Next = freeOwnedBy(Next, *Self);
    for (const ReleasedSpan &Each : m_Agent.ledger()->completions(Next))
      Next = completeRelease(Next, *Self, Each.m_First, Each.m_Last,
                             Each.m_Handover);
  }
  if (Now - m_StartedAt >= m_Options.m_Settle && m_View.m_IsPlanner())
    Next = m_Planner.plan(Next, m_View.m_Candidates(), m_View.m_Loads(), Now);
  return Next;
}

void KeyCoordinator::step() {
  if (m_Committing || !m_TableRead)
    return;
  const KeyMap Next = desired();
  const bool Changed = m_Map ? Next != *m_Map : Next != KeyMap();
  if (Changed)
    return commit(Next.toText());
  const bool Grants = m_Map && m_Agent.owner();
  if (Grants && m_Loop.now() >= m_NextCheck)
    commit(std::nullopt);
}

void KeyCoordinator::commit(std::optional<std::string> Value) {
  m_Committing = true;
  ++m_Commits;
  const TimePoint Began = m_Loop.refreshNow();
  const bool Wrote = Value.has_value();
  m_Table.commit({.m_Key = keyMapRow(m_Service),
                  .m_Expected = m_Map ? m_Version : RowVersion(),
                  .m_Value = std::move(Value)},
                 [this, Began, Wrote](const TableServiceReply &Reply) {
                   replied(Reply, Began, Wrote);
                 });
}

void KeyCoordinator::replied(const TableServiceReply &Reply, TimePoint Began,
                             bool Wrote) {
  m_Committing = false;
  const bool Known = Reply.m_End == TableEnd::Ok;
  m_NextCheck =
      Began + (Known ? m_Options.m_CheckInterval : m_Options.m_CheckRetry);
  if (Known)
    m_AuthorityUntil =
        std::max(m_AuthorityUntil, Began + m_Options.m_Authority);
  if (Wrote || !Known)
    m_Log.write(
        LogClass::Belief,
        LogLine(Wrote ? "key_map_commit" : "key_map_check")
            .add("service", m_Service.value())
            .add("expected", static_cast<std::int64_t>(m_Version.value()))
            .add("end", std::int64_t{static_cast<int>(Reply.m_End)})
            .add("error", Reply.m_Error));
  for (const MirroredRow &Row : Reply.m_Rows)
    m_View.m_OnRow(Row);
}

} // namespace balsamwheel
