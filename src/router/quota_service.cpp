// Timers, frames, the shares row and log lines of the quotas.
#include "quota_service.h"

#include "quota_frames.h"

#include <random>

namespace balsamwheel {

namespace {

QuotaProcess randomProcess() {
  std::random_device Device;
  const std::uint64_t Bits = (std::uint64_t{Device()} << 32) | Device();
  return QuotaProcess(Bits == 0 ? 1 : Bits);
}

const char *nameOf(QuotaVerdict Verdict) {
  switch (Verdict) {
  case QuotaVerdict::Granted:
    return "granted";
  case QuotaVerdict::Denied:
    return "denied";
  case QuotaVerdict::Unavailable:
    break;
  }
  return "unavailable";
}

} // namespace

QuotaService::QuotaService(EventLoop &Loop, EventLog &Log, TableService &Table,
                           RouterMetrics &Metrics, InstanceName Self,
                           QuotaServiceOptions Options,
                           QuotaCallbacks Callbacks)
    : m_Loop(Loop), m_Log(Log), m_Table(Table), m_Metrics(Metrics),
      m_Self(std::move(Self)), m_Options(Options),
      m_Callbacks(std::move(Callbacks)),
      m_Backoff({}, std::hash<InstanceName>()(m_Self)) {}

QuotaService::~QuotaService() {
  m_Loop.cancel(m_UpdateTimer);
  m_Loop.cancel(m_WorkTimer);
}

void QuotaService::configure(const OrganisationDirectory &Organisations) {
  m_Quotas.clear();
  for (const auto &[Name, Each] : Organisations.all())
    if (Each.m_Quota)
      m_Quotas.emplace(Name, *Each.m_Quota);
  if (m_Quotas.empty())
    return stopMember();
  if (!m_Member)
    startMember();
  m_Member->configure(m_Quotas, m_Loop.refreshNow());
}

void QuotaService::startMember() {
  const TimePoint Now = m_Loop.refreshNow();
  m_Member = std::make_unique<QuotaMember>(m_Self, randomProcess(),
                                           m_Options.m_Member, Now);
  m_NextCheck = Now + m_Options.m_MaxFirstCheckDelay *
                          (std::hash<InstanceName>()(m_Self) % 1024) / 1024;
  if (m_Ended)
    m_Member->end(Now);
  if (const MirroredRow *Row = m_Callbacks.m_Row())
    rowChanged(*Row);
  m_Loop.cancel(m_UpdateTimer);
  // A quarter of an interval later, the member has its limits.
  m_UpdateTimer =
      m_Loop.after(m_Options.m_UpdateInterval / 4, [this] { update(); });
}

void QuotaService::stopMember() {
  if (!m_Member)
    return;
  m_Member.reset();
  m_Loop.cancel(m_UpdateTimer);
  m_LoggedKeepers = {};
  m_DenialLoggedAt.clear();
  for (const auto &[Ticket, Each] : std::exchange(m_Pending, {}))
    m_Loop.post(m_Guard.bind([Done = Each.m_Done] {
      Done(QuotaVerdict::Granted, Duration::zero());
    }));
}

void QuotaService::end() {
  // Alone, this daemon is needed until it has ended.
  if (m_Ended || !m_Member || m_Callbacks.m_UpPeers().empty())
    return;
  m_Ended = true;
  // Lenders learn of it by the answers to their next frames.
  m_Member->end(m_Loop.refreshNow());
}

SharesRevision QuotaService::revision() const {
  return m_Member ? m_Member->shares().toReport() : SharesRevision();
}

void QuotaService::onReport(const InstanceName &Peer, SharesRevision Applied) {
  if (m_Member)
    m_Member->shares().onReport(Peer, Applied, m_Loop.now());
}

void QuotaService::rowChanged(const MirroredRow &Row) {
  if (!m_Member || !Row.m_Value)
    return;
  const auto Shares = SharesRow::fromText(*Row.m_Value);
  const TimePoint Now = m_Loop.refreshNow();
  const bool Applied = Shares && m_Member->shares().apply(*Shares, Now);
  LogLine Line(Applied ? "quota_shares_applied" : "quota_shares_ignored");
  Line.add("revision",
           static_cast<std::int64_t>(Shares ? Shares->m_Revision.value() : 0));
  if (Shares) {
    const auto Own = Shares->m_Units.find(m_Self);
    Line.add("settled", std::int64_t{Shares->m_Settled})
        .add("instances", static_cast<std::int64_t>(Shares->m_Units.size()))
        .add("own_units",
             std::int64_t{Own == Shares->m_Units.end() ? 0 : Own->second});
  }
  m_Log.write(LogClass::StateChange, Line);
  postWork();
}

void QuotaService::onQuestion(std::uint64_t Link, const InstanceName &From,
                              LinkFrameKind Kind, std::string_view Body) {
  const auto Decoded = m_Member ? decodeQuotaBody(Body) : std::nullopt;
  if (!Decoded || From.value().empty())
    return;
  // Leases may have ended while the frames before this one were handled.
  const TimePoint Now = m_Loop.refreshNow();
  if (Kind == LinkFrameKind::QuotaLend)
    return m_Callbacks.m_Answer(
        Link, LinkFrameKind::QuotaStamp,
        encodeBody(m_Member->onLend(From, quotaLendOf(*Decoded), Now)));
  const QuotaAsk Ask = quotaAskOf(*Decoded);
  const auto Reply = m_Member->onAsk(From, Ask, Now);
  if (!Reply)
    return;
  m_Callbacks.m_Answer(Link, LinkFrameKind::QuotaReply, encodeBody(*Reply));
  logDenial(From, Ask, *Reply);
}

void QuotaService::onAnswer(const InstanceName &From, LinkFrameKind Kind,
                            std::string_view Body) {
  const auto Decoded = m_Member ? decodeQuotaBody(Body) : std::nullopt;
  if (!Decoded)
    return;
  const TimePoint Now = m_Loop.refreshNow();
  if (Kind == LinkFrameKind::QuotaStamp)
    m_Member->onStamp(From, quotaStampOf(*Decoded), Now);
  else
    decide(m_Member->onReply(From, quotaReplyOf(*Decoded), Now));
  postWork();
}

void QuotaService::onPeerDown() {
  if (!m_Member)
    return;
  m_Loop.post(m_Guard.bind([this] {
    if (!m_Member)
      return;
    m_Member->update(m_Callbacks.m_UpPeers(), m_Loop.refreshNow());
    work();
  }));
}

QuotaTicket QuotaService::acquire(const OrganisationName &Name, TimePoint Until,
                                  OnDecision Done) {
  const QuotaTicket Ticket = m_Member->asker().add(Name, Until);
  m_Pending.emplace(Ticket,
                    Pending{.m_Organisation = Name, .m_Done = std::move(Done)});
  postWork();
  return Ticket;
}

void QuotaService::cancel(QuotaTicket Ticket) {
  if (m_Pending.erase(Ticket) > 0 && m_Member)
    m_Member->asker().cancel(Ticket);
}

void QuotaService::giveBack(const OrganisationName &Name, TimePoint GrantedAt) {
  if (!m_Member)
    return;
  m_Member->asker().giveBack(Name, GrantedAt, m_Loop.now());
  scheduleWork();
}

void QuotaService::postWork() {
  if (std::exchange(m_WorkPosted, true))
    return;
  m_Loop.post(m_Guard.bind([this] {
    m_WorkPosted = false;
    work();
  }));
}

void QuotaService::scheduleWork() {
  if (std::exchange(m_WorkScheduled, true))
    return;
  m_WorkTimer = m_Loop.after(m_Options.m_WorkInterval, [this] {
    m_WorkScheduled = false;
    work();
  });
}

void QuotaService::work() {
  if (!m_Member)
    return;
  const QuotaMember::Work Work = m_Member->work(m_Loop.refreshNow());
  for (const auto &Each : Work.m_Lends)
    m_Callbacks.m_Send(Each.m_Keeper, LinkFrameKind::QuotaLend,
                       encodeBody(Each.m_Frame));
  for (const auto &Each : Work.m_Asks)
    m_Callbacks.m_Send(Each.m_Keeper.m_Instance, LinkFrameKind::QuotaAsk,
                       encodeBody(Each.m_Frame));
  for (const auto &[Ask, Reply] : Work.m_Own)
    logDenial(m_Self, Ask, Reply);
  decide(Work.m_Decisions);
  if (m_Member && !m_Member->asker().idle())
    scheduleWork();
}

void QuotaService::decide(const std::vector<QuotaDecision> &Decisions) {
  for (const QuotaDecision &Each : Decisions) {
    auto Found = m_Pending.extract(Each.m_Ticket);
    if (Found.empty())
      continue;
    m_Metrics.quota().count(Found.mapped().m_Organisation,
                            nameOf(Each.m_Verdict));
    Found.mapped().m_Done(Each.m_Verdict, Each.m_RetryAfter);
  }
}

void QuotaService::update() {
  m_UpdateTimer =
      m_Loop.after(m_Options.m_UpdateInterval, [this] { update(); });
  const TimePoint Now = m_Loop.refreshNow();
  m_Member->update(m_Callbacks.m_UpPeers(), Now);
  logKeepers();
  if (!m_Committing) {
    writeRow();
    checkRow();
  }
  if (Now >= m_NextLabels) {
    m_NextLabels = Now + m_Options.m_LabelInterval;
    m_Metrics.quota().chooseLabels();
  }
  work();
}

RowVersion QuotaService::rowVersion(StoreEra Era) const {
  const MirroredRow *Row = m_Callbacks.m_Row();
  return Row && Row->m_Version.m_Era == Era ? Row->m_Version.m_Version
                                            : RowVersion();
}

void QuotaService::writeRow() {
  const auto Era = m_Callbacks.m_ReadEra();
  const TimePoint Now = m_Loop.now();
  if (!Era || !m_Callbacks.m_IsWriter() || Now < m_Backoff.nextAttempt())
    return;
  QuotaShares &Shares = m_Member->shares();
  std::set<InstanceName> Members = m_Callbacks.m_Members();
  if (Shares.row().m_Revision.value() != 0) {
    const auto Up = m_Callbacks.m_UpPeers();
    Members = {Up.begin(), Up.end()};
    Members.insert(m_Self);
  }
  if (const auto Next = Shares.next(Members, *Era, Now))
    commit({.m_Key = sharesRow(),
            .m_Expected = rowVersion(*Era),
            .m_Value = Next->toText()},
           *Era);
}

void QuotaService::checkRow() {
  const auto Era = m_Callbacks.m_ReadEra();
  const TimePoint Now = m_Loop.now();
  const MirroredRow *Row = m_Callbacks.m_Row();
  if (m_Committing || !Era || !Row || !Row->m_Value ||
      Row->m_Version.m_Era != *Era || Now < m_NextCheck ||
      !m_Member->shares().needsTableCheck(Now))
    return;
  const auto Shares = SharesRow::fromText(*Row->m_Value);
  if (!Shares || Shares->m_Revision != m_Member->shares().row().m_Revision)
    return;
  m_NextCheck = Now + m_Options.m_CheckRetryDelay;
  commit({.m_Key = sharesRow(),
          .m_Expected = Row->m_Version.m_Version,
          .m_Value = std::nullopt},
         *Era);
}

void QuotaService::commit(OwnRowCommit Commit, StoreEra Era) {
  m_Committing = true;
  const TimePoint Started = m_Loop.refreshNow();
  const SharesRevision Checked = Commit.m_Value
                                     ? SharesRow::fromText(*Commit.m_Value)
                                           .value_or(SharesRow())
                                           .m_Revision
                                     : m_Member->shares().row().m_Revision;
  m_Table.commit(
      std::move(Commit), m_Guard.bind([this, Started, Era, Checked](
                                          const TableServiceReply &Reply) {
        m_Committing = false;
        const bool Done = Reply.m_CallOutcome == TableCallOutcome::Ok;
        m_Log.write(
            LogClass::StateChange,
            LogLine("quota_shares_commit")
                .add("revision", static_cast<std::int64_t>(Checked.value()))
                .add("end", std::int64_t{static_cast<int>(Reply.m_CallOutcome)})
                .add("error", Reply.m_Error));
        if (Reply.m_CallOutcome == TableCallOutcome::Conflict)
          m_Backoff.conflicted(m_Loop.now());
        m_Callbacks.m_OnEra(Reply.m_Version.m_Era);
        for (const MirroredRow &Row : Reply.m_Rows)
          m_Callbacks.m_OnRow(Row);
        if (!Done || !m_Member || Reply.m_Version.m_Era > Era)
          return;
        m_Backoff.succeeded();
        if (m_Member->shares().row().m_Revision == Checked)
          m_Member->shares().onTableChecked(Started, Era);
        postWork();
      }));
}

void QuotaService::logKeepers() {
  std::map<std::pair<InstanceName, InstanceName>, std::string> Changes;
  for (std::uint32_t Index = 0; Index < QuotaGroupCount; ++Index) {
    const InstanceName &Chosen = m_Member->lender().chosen(QuotaGroup(Index));
    InstanceName &Logged = m_LoggedKeepers.at(Index);
    if (Chosen == Logged)
      continue;
    std::string &Groups = Changes[{Logged, Chosen}];
    Groups += (Groups.empty() ? "" : ",") + std::to_string(Index);
    Logged = Chosen;
  }
  for (const auto &[FromTo, Groups] : Changes) {
    const bool Lost =
        !FromTo.first.value().empty() &&
        !m_Member->lender().isAvailable(FromTo.first, m_Loop.now());
    m_Log.write(LogClass::StateChange,
                LogLine(Lost ? "quota_lease_lost" : "quota_keeper_chosen")
                    .add("groups", Groups)
                    .add("from", FromTo.first.value())
                    .add("keeper", FromTo.second.value()));
  }
}

void QuotaService::logDenial(const InstanceName &Asker, const QuotaAsk &Ask,
                             const QuotaReply &Reply) {
  if (Reply.m_Granted >= Ask.m_Count)
    return;
  const TimePoint Now = m_Loop.now();
  TimePoint &LoggedAt = m_DenialLoggedAt[Ask.m_Organisation];
  if (LoggedAt != TimePoint() && Now - LoggedAt < m_Options.m_DenialLogInterval)
    return;
  LoggedAt = Now;
  const auto Group = quotaGroupOf(Ask.m_Organisation);
  m_Log.write(
      LogClass::Failure,
      LogLine(Reply.m_Unavailable ? "quota_unavailable" : "quota_denied")
          .add("organisation", Ask.m_Organisation.value())
          .add("asker", Asker.value())
          .add("asked", std::int64_t{Ask.m_Count})
          .add("granted", std::int64_t{Reply.m_Granted})
          .add("milli_tokens",
               static_cast<std::int64_t>(
                   m_Member->keeper().tokens(Ask.m_Organisation) * 1000))
          .add("units", std::int64_t{m_Member->keeper().held(Group, Now)})
          .add("all_units", std::int64_t{QuotaUnits})
          .add("wait", Reply.m_Wait));
}

} // namespace balsamwheel
