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
      m_StartedAt(Loop.now()), m_Asker(Options.m_Sharing),
      m_Collector(Options.m_Sharing), m_Backoff({}, Options.m_Seed) {
  tick();
}

KeyCoordinator::~KeyCoordinator() {
  m_Loop.cancel(m_Timer);
  m_Loop.cancel(m_ConfirmTimer);
  m_Loop.cancel(m_QuestionTimer);
  m_Loop.cancel(m_CollectTimer);
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
  m_Loop.post(m_Guard.bind([this] { update(); }));
}

void KeyCoordinator::onTableRead(StoreEra Era) {
  if (!m_FirstReadEra)
    m_FirstReadEra = Era;
  if (m_ReadEra == Era)
    return;
  m_ReadEra = Era;
  m_Loop.post(m_Guard.bind([this] { update(); }));
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
  // The commit may take effect long after this. Its condition is only the row's
  // version, so each change has to stay right for as long as that stands.
  KeyMap Next = *m_Map;
  const TimePoint Now = m_Loop.now();
  if (const auto Self = m_Agent.owner()) {
    if (Now >= m_ConfirmAt)
      Next = confirmHeld(Next, *Self, m_Agent.keys()->held());
    if (!m_Agent.leaving())
      Next = adoptEarlierIncarnations(Next, {*Self});
    Next = reissueFences(Next, *Self, m_Agent.keys()->refusedGrants());
    for (const ReleasedSpan &Each : m_Agent.keys()->completedReleases(Next))
      Next = completeRelease(Next, *Self, Each.m_First, Each.m_Last,
                             Each.m_HandoverToken);
  }
  Next = freeEnded(Next, m_Agent.endedTargets());
  if (Now - m_StartedAt < m_Options.m_StartupDelay ||
      !m_Callbacks.m_IsPlanner())
    return Next;
  const std::vector<KeyCandidate> Candidates = m_Callbacks.m_Candidates();
  // After a restart of many targets, one commit serves them all.
  std::vector<KeyOwner> Present;
  for (const KeyCandidate &Each : Candidates)
    if (Each.m_Condition == TargetCondition::Eligible)
      Present.push_back(Each.m_Owner);
  return m_Planner.plan(adoptEarlierIncarnations(Next, Present), Candidates,
                        m_Callbacks.m_Loads(), Now);
}

void KeyCoordinator::update() {
  if (m_Committing || !m_ReadEra)
    return;
  if (!m_Map || m_MapEra < *m_ReadEra) {
    if (const auto First = firstMap())
      commit(*m_ReadEra, RowVersion(), First->toText());
    return;
  }
  if (m_Loop.now() >= m_Backoff.nextAttempt() || m_Callbacks.m_IsPlanner()) {
    const KeyMap Next = markRevocations(desired(), *m_Map, m_Version);
    if (Next != *m_Map)
      return commit(m_MapEra, m_Version, Next.toText());
  }
  if (const auto Due = m_Collector.due(); Due && m_Loop.now() >= *Due)
    return commit(m_MapEra, m_Version, std::nullopt);
  if (m_Agent.owner() && m_Loop.now() >= m_NextCheck && !m_Question)
    check();
}

void KeyCoordinator::check() {
  const TimePoint Now = m_Loop.refreshNow();
  const auto Peer = m_Asker.choose(m_Callbacks.m_Checkers(),
                                   m_Agent.owner()->m_Instance, Now);
  if (!Peer || !m_Callbacks.m_Ask(*Peer, ++m_LastQuestion))
    return commit(m_MapEra, m_Version, std::nullopt);
  m_Question = {.m_Peer = *Peer, .m_Stream = m_LastQuestion, .m_AskedAt = Now};
  m_QuestionTimer = m_Loop.after(m_Options.m_Sharing.m_AnswerTimeout,
                                 [this] { questionFailed(); });
}

void KeyCoordinator::questionFailed() {
  m_Loop.cancel(m_QuestionTimer);
  m_Asker.failed(m_Question->m_Peer, m_Loop.now());
  m_Log.write(LogClass::StateChange,
              LogLine("key_map_question_failed")
                  .add("peer", m_Question->m_Peer.value())
                  .add("took", m_Loop.now() - m_Question->m_AskedAt));
  m_Question.reset();
  if (!m_Committing && m_Map)
    commit(m_MapEra, m_Version, std::nullopt);
}

void KeyCoordinator::onAnswer(std::uint64_t Stream,
                              std::optional<StoreVersion> Checked) {
  if (!m_Question || m_Question->m_Stream != Stream)
    return;
  const StoreVersion Known{.m_Era = m_MapEra, .m_Version = m_Version};
  if (!Checked || *Checked < Known)
    return questionFailed();
  m_Loop.cancel(m_QuestionTimer);
  const TimePoint AskedAt = m_Question->m_AskedAt;
  m_Question.reset();
  if (*Checked != Known) { // The newer map is on its way.
    m_NextCheck = TimePoint();
    return update();
  }
  m_NextCheck = std::min(m_Loop.now() + m_Options.m_SharedCheckInterval,
                         AskedAt + m_Options.m_CheckInterval);
  extendAuthority(AskedAt);
}

void KeyCoordinator::onQuestion(std::uint64_t Link, std::uint64_t Stream) {
  m_Collector.add({.m_Link = Link,
                   .m_Stream = Stream,
                   .m_ReceivedAt = m_Loop.refreshNow()});
  scheduleCollected(Duration::zero());
}

void KeyCoordinator::scheduleCollected(Duration MinDelay) {
  m_Loop.cancel(m_CollectTimer);
  if (const auto Due = m_Collector.due())
    m_CollectTimer = m_Loop.after(std::max(*Due - m_Loop.now(), MinDelay),
                                  [this] { update(); });
}

void KeyCoordinator::extendAuthority(TimePoint StartedAt) {
  m_AuthorityUntil =
      std::max(m_AuthorityUntil, StartedAt + m_Options.m_AuthorityDuration);
  m_Callbacks.m_OnAuthority();
}

void KeyCoordinator::commit(StoreEra Era, RowVersion Expected,
                            std::optional<std::string> Value) {
  m_Committing = true;
  ++m_Commits;
  const TimePoint StartedAt = m_Loop.refreshNow();
  const bool HadWrite = Value.has_value();
  m_Table.commit({.m_Key = keyMapRow({.m_Service = m_Service, .m_Era = Era}),
                  .m_Expected = Expected,
                  .m_Value = std::move(Value)},
                 m_Guard.bind([this, Era, StartedAt,
                               HadWrite](const TableServiceReply &Reply) {
                   onCommitReply(Reply, Era, StartedAt, HadWrite);
                 }));
}

void KeyCoordinator::onCommitReply(const TableServiceReply &Reply, StoreEra Era,
                                   TimePoint StartedAt, bool HadWrite) {
  m_Committing = false;
  const bool Succeeded = Reply.m_CallOutcome == TableCallOutcome::Ok &&
                         Reply.m_Version.m_Era == Era;
  m_NextCheck = StartedAt + (Succeeded ? m_Options.m_CheckInterval
                                       : m_Options.m_CheckRetryDelay);
  if (HadWrite && Succeeded)
    m_Backoff.succeeded();
  else if (HadWrite && Reply.m_CallOutcome == TableCallOutcome::Conflict)
    m_Backoff.conflicted(m_Loop.now());
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
  const bool Confirmed = Succeeded && Era == m_MapEra;
  if (Confirmed)
    extendAuthority(StartedAt);
  // After a conflict the check is repeated, with the row that it has returned.
  const bool Conflict = Reply.m_CallOutcome == TableCallOutcome::Conflict;
  if (!Conflict)
    for (const MapCheckQuestion &Each : m_Collector.takeAnswered(StartedAt))
      m_Callbacks.m_Answer(
          Each, Confirmed ? std::optional(StoreVersion{.m_Era = m_MapEra,
                                                       .m_Version = m_Version})
                          : std::nullopt);
  if (!Succeeded && !Conflict)
    m_Callbacks.m_OnFailure();
  scheduleCollected(Conflict ? m_Options.m_ConflictRetryDelay
                             : Duration::zero());
}

} // namespace balsamwheel
