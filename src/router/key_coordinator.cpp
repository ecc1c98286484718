// Commits and checks of the key map, and its restoration.
#include "key_coordinator.h"

#include <algorithm>
#include <charconv>

namespace balsamwheel {

namespace {

constexpr std::string_view KeyMapPrefix = "keys/";

} // namespace

RowKey keyMapRow(const KeyMapRowId &Id) {
  return RowKey(std::string(KeyMapPrefix) + std::to_string(Id.m_Era.value()) +
                "/" + Id.m_Service.value());
}

std::optional<KeyMapRowId> parseKeyMapRow(const RowKey &Key) {
  std::string_view Text = Key.value();
  if (!Text.starts_with(KeyMapPrefix))
    return std::nullopt;
  Text.remove_prefix(KeyMapPrefix.size());
  std::uint64_t Era = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Era);
  const auto Digits = static_cast<std::size_t>(End - Text.data());
  if (Error != std::errc() || Digits >= Text.size() || Text[Digits] != '/')
    return std::nullopt;
  return KeyMapRowId{.m_Service =
                         ServiceName(std::string(Text.substr(Digits + 1))),
                     .m_Era = StoreEra(Era)};
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

KeyCoordinator::~KeyCoordinator() {
  m_Loop.cancel(m_Timer);
  m_Loop.cancel(m_ConfirmTimer);
}

void KeyCoordinator::tick() {
  m_Timer = m_Loop.after(m_Options.m_PlanInterval, [this] { tick(); });
  update();
}

void KeyCoordinator::mapChanged(StoreEra MapEra, std::optional<KeyMap> Map,
                                StoreVersion Version) {
  if (MapEra < m_MapEra)
    return;
  if (Version.m_Era != MapEra) {
    m_Earlier = std::move(Map);
    return;
  }
  if (MapEra == m_MapEra && Version.m_Version <= m_Version)
    return;
  if (MapEra != m_MapEra) {
    // The waits and the authority of an earlier era say nothing about this one.
    m_Planner = KeyPlanner(m_Options.m_Planner);
    m_AuthorityUntil = TimePoint();
    m_NextCheck = TimePoint();
    m_Earlier.reset();
    m_ConfirmAt = m_Loop.now() + m_Options.m_ConfirmDelay;
    m_Loop.cancel(m_ConfirmTimer);
    m_ConfirmTimer =
        m_Loop.after(m_Options.m_ConfirmDelay, [this] { update(); });
  }
  m_MapEra = MapEra;
  m_Version = Version.m_Version;
  m_Map = std::move(Map);
  if (m_Map)
    m_Planner.observe(*m_Map, m_Loop.now());
  m_Loop.post([this] { update(); });
}

void KeyCoordinator::onTableRead(StoreEra Era) {
  if (!m_FirstReadEra)
    m_FirstReadEra = Era;
  if (m_ReadEra == Era)
    return;
  m_ReadEra = Era;
  m_Loop.post([this] { update(); });
}

bool KeyCoordinator::awaitsConfirmation() const {
  const auto Self = m_Agent.owner();
  const bool Restored = std::any_of(
      m_Map->spans().begin(), m_Map->spans().end(), [](const KeySpan &Span) {
        return Span.m_State == SpanState::Unconfirmed;
      });
  return Restored && Self &&
         confirmHeld(*m_Map, *Self, m_Agent.keys()->held()) != *m_Map;
}

std::optional<KeyMap> KeyCoordinator::firstMap() const {
  const TimePoint Now = m_Loop.now();
  if (Now - m_StartedAt < m_Options.m_StartupDelay ||
      !m_Callbacks.m_IsPlanner())
    return std::nullopt;
  const std::optional<KeyMap> &Known = m_Earlier ? m_Earlier : m_Map;
  const bool NobodyHoldsKeys =
      !Known && m_Options.m_SystemStart && m_ReadEra == m_FirstReadEra;
  if (!NobodyHoldsKeys)
    return restoreMap(Known.value_or(KeyMap()), *m_ReadEra);
  const KeyMap Planned = m_Planner.plan(KeyMap(), m_Callbacks.m_Candidates(),
                                        m_Callbacks.m_Loads(), Now);
  return Planned == KeyMap() ? std::nullopt : std::optional(Planned);
}

KeyMap KeyCoordinator::desired() const {
  KeyMap Next = *m_Map;
  const TimePoint Now = m_Loop.now();
  if (const auto Self = m_Agent.owner()) {
    if (Now >= m_ConfirmAt)
      Next = confirmHeld(Next, *Self, m_Agent.keys()->held());
    if (!m_Agent.leaving())
      Next = adoptEarlierIncarnations(Next, *Self);
    if (m_Agent.condition() == TargetCondition::Ended)
      Next = freeOwnedBy(Next, *Self);
    Next = reissueFences(Next, *Self, m_Agent.keys()->refusedGrants());
    for (const ReleasedSpan &Each : m_Agent.keys()->completedReleases(Next))
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
  if (m_Committing || !m_ReadEra)
    return;
  if (!m_Map || m_MapEra < *m_ReadEra) {
    if (const auto First = firstMap())
      commit(*m_ReadEra, RowVersion(), First->toText());
    return;
  }
  const KeyMap Next = desired();
  if (Next != *m_Map)
    return commit(m_MapEra, m_Version, Next.toText());
  if (m_Agent.owner() && m_Loop.now() >= m_NextCheck)
    commit(m_MapEra, m_Version, std::nullopt);
}

void KeyCoordinator::commit(StoreEra Era, RowVersion Expected,
                            std::optional<std::string> Value) {
  m_Committing = true;
  ++m_Commits;
  const TimePoint StartedAt = m_Loop.refreshNow();
  const bool HadWrite = Value.has_value();
  m_Table.commit(
      {.m_Key = keyMapRow({.m_Service = m_Service, .m_Era = Era}),
       .m_Expected = Expected,
       .m_Value = std::move(Value)},
      [this, Era, StartedAt, HadWrite](const TableServiceReply &Reply) {
        onCommitReply(Reply, Era, StartedAt, HadWrite);
      });
}

void KeyCoordinator::onCommitReply(const TableServiceReply &Reply, StoreEra Era,
                                   TimePoint StartedAt, bool HadWrite) {
  m_Committing = false;
  const bool Succeeded = Reply.m_CallOutcome == TableCallOutcome::Ok &&
                         Reply.m_Version.m_Era == Era;
  m_NextCheck = StartedAt + (Succeeded ? m_Options.m_CheckInterval
                                       : m_Options.m_CheckRetryDelay);
  const bool Confirmed = Succeeded && Era == m_MapEra;
  if (Confirmed)
    m_AuthorityUntil =
        std::max(m_AuthorityUntil, StartedAt + m_Options.m_AuthorityDuration);
  if (HadWrite || !Succeeded)
    m_Log.write(
        LogClass::StateChange,
        LogLine(HadWrite ? "key_map_commit" : "key_map_check")
            .add("service", m_Service.value())
            .add("era", static_cast<std::int64_t>(Era.value()))
            .add("expected", static_cast<std::int64_t>(m_Version.value()))
            .add("end", std::int64_t{static_cast<int>(Reply.m_CallOutcome)})
            .add("error", Reply.m_Error));
  for (const MirroredRow &Row : Reply.m_Rows)
    m_Callbacks.m_OnRow(Row);
  m_Callbacks.m_OnEra(Reply.m_Version.m_Era);
  if (Confirmed)
    m_Callbacks.m_OnAuthority();
}

} // namespace balsamwheel
