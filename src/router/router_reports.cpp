// Reports between routers: what is sent when, and what is learnt from them.
#include "report_format.h"
#include "router.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Interval at which the request rates of slices are sent to those that plan
/// with them.
constexpr Duration SliceRatesInterval = std::chrono::milliseconds(700);
/// Slices with fewer requests per second aren't reported.
constexpr float MinReportedRate = 0.1F;
/// In a report of a target that names no limit.
constexpr double NoNamedLimit = -1;
/// Time within which peers are told of a new target, of one that ends or
/// leaves, and of a gate that opens or closes.
constexpr Duration UrgentInterval = std::chrono::milliseconds(100);
/// Number of daemons that get the rates of slices, besides the one that takes
/// over when their failure domain is lost.
constexpr std::size_t PlannersInOrder = 2;

} // namespace

LinkFrame Router::makeReport(bool WithRates) const {
  LinkFrame Report;
  Report.kind = LinkFrameKind::Report;
  Report.gate = gateToWire(m_Agent.gateReport());
  if (const auto Owner = m_Agent.owner()) {
    Report.target_id = Owner->m_Target.m_Id.value();
    Report.target_born = Owner->m_Target.m_StartTimeMs;
  }
  Report.condition = static_cast<std::uint8_t>(m_Agent.condition());
  Report.capacity = m_Agent.capacity();
  Report.named_limit = m_Agent.namedLimit().value_or(NoNamedLimit);
  Report.has_rates = WithRates;
  Report.sees_table = m_Follower.isReachable(TableName::Operators);
  setRowsSeen(Report, rowsSeen());
  setCurrent(Report, m_Follower.current());
  Report.quota_revision = m_Quota.revision().value();
  if (m_Coordinator && WithRates)
    for (std::size_t Slice = 0; Slice < KeySliceCount; ++Slice)
      if (const float Rate = m_Agent.sliceRates()[Slice];
          Rate > MinReportedRate) {
        auto Each = std::make_unique<link_wire::SliceRateT>();
        Each->slice = static_cast<std::uint16_t>(Slice);
        Each->rate = Rate;
        Report.slice_rates.push_back(std::move(Each));
      }
  return Report;
}

Router::SlowState Router::slowState() const {
  return {.m_Owner = m_Agent.owner(),
          .m_Condition = m_Agent.condition(),
          .m_NamedLimit = m_Agent.namedLimit(),
          .m_ReachesTable = m_Follower.isReachable(TableName::Operators),
          .m_SharesRevision = m_Quota.revision()};
}

bool Router::hasUrgentReport() const {
  const SlowState Slow = slowState();
  return Slow.m_Owner != m_Told.m_Slow.m_Owner ||
         Slow.m_Condition != m_Told.m_Slow.m_Condition ||
         (m_Agent.gateReport().m_Slots == 0) !=
             (m_Told.m_State.m_Gate.m_Slots == 0);
}

void Router::sendDueReports() {
  const Duration Left = m_LastReport + m_Mesh.reportInterval() - m_Loop.now();
  if (Left <= Duration::zero() || hasUrgentReport())
    return sendReports();
  m_ReportTimer = m_Loop.after(std::min(Left, UrgentInterval),
                               [this] { sendDueReports(); });
}

void Router::sendReports() {
  m_Loop.cancel(m_ReportTimer);
  ensureCoordinator();
  const TimePoint Now = m_Loop.now();
  m_Agent.decaySliceRates(Now - m_LastReport);
  m_LastReport = Now;
  const GateReport Gate = m_Agent.gateReport();
  m_Selector.report(m_Settings.m_Instance, Gate);
  m_Mesh.report(reportContent());
  m_Mesh.traffic().takeAll(
      [this](const char *Kind, bool OwnDomain, std::uint64_t Bytes) {
        m_Metrics.peerBytes(Kind, OwnDomain, Bytes);
      });
  m_Metrics.gate(Gate.m_Running, Gate.m_Waiting);
  m_Metrics.callerBytes(m_Callers.heldBytes());
  m_Metrics.answerBytes(heldAnswerBytes());
  m_Metrics.targetLimit(m_Agent.namedLimit().value_or(0));
  m_Metrics.targetCapacity(m_Agent.measuredSlots().value_or(0));
  requestMissingRows();
  sendDueReports();
}

ReportContent Router::reportContent() {
  const SlowState Slow = slowState();
  const RowsSeen Rows = rowsSeen();
  const auto Age = ageToBeat(m_Follower.current(), Rows);
  ReportedState &State = m_Told.m_State;
  State.m_Gate = m_Agent.gateReport();
  State.m_FullRevision += Slow == m_Told.m_Slow ? 0 : 1;
  State.m_RowsRevision += Rows == m_Told.m_Rows ? 0 : 1;
  // What others read meanwhile is for them to tell.
  const auto ReadAt = Age ? Age->operator_rows_time() : m_Told.m_AgeTime;
  State.m_AgeRevision += ReadAt == m_Told.m_AgeTime ? 0 : 1;
  m_Told.m_Slow = Slow;
  m_Told.m_Rows = Rows;
  m_Told.m_AgeTime = ReadAt;
  ReportContent Result{.m_State = State,
                       .m_Beat = {.m_Gate = gateToBeat(State.m_Gate),
                                  .m_Rows = rowsToBeat(Rows),
                                  .m_Age = Age},
                       .m_Full = [this] { return makeReport(false); },
                       .m_FullWithRates = [this] { return makeReport(true); }};
  const TimePoint Now = m_Loop.now();
  if (m_Coordinator) {
    Result.m_Planners = planners();
    Result.m_RatesDue = Now - m_LastRatesReport >= SliceRatesInterval;
  }
  if (Result.m_RatesDue)
    m_LastRatesReport = Now;
  return Result;
}

std::set<InstanceName> Router::planners() const {
  std::set<InstanceName> Result;
  std::optional<DomainName> First;
  bool InOtherDomain = false;
  for (const Member &Each : m_Members) {
    if (Each.m_Service != m_Settings.m_Service ||
        !reachesTable(Each.m_Instance))
      continue;
    const bool Other = First && *First != Each.m_Domain;
    if (Result.size() < PlannersInOrder || (Other && !InOtherDomain))
      Result.insert(Each.m_Instance);
    InOtherDomain |= Other;
    First = First.value_or(Each.m_Domain);
  }
  return Result;
}

void Router::handleReport(const InstanceName &Peer, const LinkFrame &Report) {
  if (Report.gate)
    m_Selector.report(Peer, gateFromWire(*Report.gate));
  if (Report.kind != LinkFrameKind::Report)
    return;
  PeerTarget &Known = m_PeerTargets[Peer];
  const auto Id = TargetId::fromText(Report.target_id);
  if (!Id && Report.target_born != Known.m_Owner.m_Target.m_StartTimeMs)
    m_Log.write(LogClass::StateChange, LogLine("peer_target_rejected")
                                           .add("peer", Peer.value())
                                           .add("target", Report.target_id));
  // Without an id the peer has no target to use.
  Known.m_Owner = {.m_Instance = Peer,
                   .m_Target = {.m_Id = Id.value_or(TargetId()),
                                .m_StartTimeMs = Report.target_born}};
  Known.m_Condition = static_cast<TargetCondition>(Report.condition);
  Known.m_Capacity = Report.capacity;
  Known.m_NamedLimit =
      Report.named_limit < 0 ? std::nullopt : std::optional(Report.named_limit);
  Known.m_ReachesTable = Report.sees_table;
  Known.m_SharesRevision = SharesRevision(Report.quota_revision);
  m_Quota.onReport(Peer, Known.m_SharesRevision);
  if (Report.has_rates) {
    Known.m_Rates.clear();
    for (const auto &Each : Report.slice_rates)
      if (Each->slice < KeySliceCount)
        Known.m_Rates.emplace_back(Each->slice, Each->rate);
    Known.m_Rates.shrink_to_fit();
  }
  if (const auto Current = currentOf(Report))
    m_Follower.notePeerCurrent(*Current);
  Known.m_RowsSeen = rowsSeenOf(Report);
  requestMissingRows(Peer, Known.m_RowsSeen);
}

void Router::handleBeat(const InstanceName &Peer, const LinkBeat &Beat) {
  m_Selector.report(Peer, gateFromBeat(Beat.m_Gate));
  PeerTarget &Known = m_PeerTargets[Peer];
  // A beat says that the last full report is still true.
  m_Quota.onReport(Peer, Known.m_SharesRevision);
  if (Beat.m_Rows)
    Known.m_RowsSeen = rowsFromBeat(*Beat.m_Rows);
  if (Beat.m_Age)
    m_Follower.notePeerCurrent(ageFromBeat(*Beat.m_Age, Known.m_RowsSeen));
  requestMissingRows(Peer, Known.m_RowsSeen);
}

void Router::requestMissingRows() {
  // Begins behind the peer that was asked last: it may not have answered.
  const auto Ask = [this](auto First, auto Last) {
    for (; First != Last; ++First)
      if (m_Mesh.isUp(First->first))
        requestMissingRows(First->first, First->second.m_RowsSeen);
  };
  const auto Next = m_PeerTargets.upper_bound(m_LastAsked);
  Ask(Next, m_PeerTargets.end());
  Ask(m_PeerTargets.begin(), m_PeerTargets.upper_bound(m_LastAsked));
}

} // namespace balsamwheel
