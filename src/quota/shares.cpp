// Encoding, application and writing of the shares row.
#include "balsamwheel/detail/quota/shares.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "core/json_fields.h"

namespace balsamwheel {

namespace {

using nlohmann::json;

/// Bits of a revision below the era.
constexpr unsigned EraShift = 32;

using UnitMap = std::map<InstanceName, std::uint32_t>;

json encode(const UnitMap &Units) {
  json Result = json::object();
  for (const auto &[Name, Count] : Units)
    Result[Name.value()] = Count;
  return Result;
}

/// \returns none when the units are more than there are.
std::optional<UnitMap> decode(const json &Encoded) {
  UnitMap Result;
  std::uint64_t Sum = 0;
  if (!Encoded.is_object())
    return std::nullopt;
  for (const auto &[Name, Count] : Encoded.items()) {
    const auto Units = integerFrom<std::uint32_t>(Count);
    Sum += Units;
    Result.emplace(Name, Units);
  }
  return Sum <= QuotaUnits ? std::optional(std::move(Result)) : std::nullopt;
}

SharesRevision nextRevision(SharesRevision Known, StoreEra Era) {
  return SharesRevision(
      std::max(Known.value() + 1, (Era.value() << EraShift) + 1));
}

StoreEra eraOf(SharesRevision Revision) {
  return StoreEra(Revision.value() >> EraShift);
}

std::uint32_t unitsOf(const UnitMap &Units, const InstanceName &Name) {
  const auto Found = Units.find(Name);
  return Found == Units.end() ? 0 : Found->second;
}

bool sameInstances(const UnitMap &Units, const std::set<InstanceName> &Names) {
  return std::equal(Units.begin(), Units.end(), Names.begin(), Names.end(),
                    [](const auto &Each, const InstanceName &Name) {
                      return Each.first == Name;
                    });
}

} // namespace

std::string SharesRow::toText() const {
  return json{{"revision", m_Revision.value()},
              {"units", encode(m_Units)},
              {"settled", m_Settled},
              {"earlier", encode(m_Earlier)}}
      .dump();
}

std::optional<SharesRow> SharesRow::fromText(const std::string &Text) {
  try {
    const json Encoded = parseForeignJson(Text);
    auto Units = decode(fieldAt(Encoded, "units"));
    auto Earlier = decode(fieldAt(Encoded, "earlier"));
    const json &Settled = fieldAt(Encoded, "settled");
    if (!Units || !Earlier || !Settled.is_boolean())
      return std::nullopt;
    return SharesRow{.m_Revision = SharesRevision(integerFrom<std::uint64_t>(
                         fieldAt(Encoded, "revision"))),
                     .m_Units = std::move(*Units),
                     .m_Settled = Settled.get<bool>(),
                     .m_Earlier = std::move(*Earlier)};
  } catch (const JsonFieldError &) {
    return std::nullopt;
  }
}

bool QuotaShares::apply(const SharesRow &Row, TimePoint Now) {
  if (Row.m_Revision <= m_Row.m_Revision)
    return false;
  const std::uint32_t Given = unitsOf(Row.m_Units, m_Self);
  m_Units = Row.m_Settled ? Given : std::min(m_Units, Given);
  m_Row = Row;
  m_AppliedAt = Now;
  m_MajoritySince.reset();
  m_AllSince.reset();
  m_DifferSince.reset();
  m_MajorityReachedAt = majorityReachedAt(Now);
  return true;
}

void QuotaShares::onReport(const InstanceName &Peer, SharesRevision Applied,
                           TimePoint Now) {
  if (Now < m_IgnoreReportsUntil)
    return;
  Report &Known = m_Reports[Peer];
  Known.m_Applied = std::max(Known.m_Applied, Applied);
  Known.m_At = Now;
  if (Applied.value() != 0 && Applied <= m_Row.m_Revision)
    Known.m_ReachedAt = Now;
}

void QuotaShares::onTableChecked(TimePoint Started, StoreEra Era) {
  // A store that has returned to an earlier copy may have lost a later row.
  if (m_Row.m_Revision.value() == 0 || Era != eraOf(m_Row.m_Revision) ||
      Started < m_IgnoreReportsUntil)
    return;
  m_TableReachedAt = std::max(m_TableReachedAt, Started);
  m_Established = true;
}

void QuotaShares::update(TimePoint Now) {
  if (Now - m_UpdatedAt > m_Options.m_SuspensionGap) {
    m_Reports.clear();
    m_TableReachedAt = TimePoint();
    m_IgnoreReportsUntil = Now + m_Options.m_SuspensionDelay;
  }
  m_UpdatedAt = Now;
  m_MajorityReachedAt = majorityReachedAt(Now);
  m_Established = m_Established || m_MajorityReachedAt != TimePoint();
}

TimePoint QuotaShares::majorityReachedAt(TimePoint Now) const {
  std::vector<TimePoint> Reached;
  Reached.reserve(m_Row.m_Units.size());
  for (const auto &[Name, Units] : m_Row.m_Units) {
    const auto Found = m_Reports.find(Name);
    if (Name == m_Self && m_Established)
      Reached.push_back(Now);
    else
      Reached.push_back(Found == m_Reports.end() ? TimePoint()
                                                 : Found->second.m_ReachedAt);
  }
  if (Reached.empty())
    return {};
  const auto Middle =
      Reached.begin() + static_cast<std::ptrdiff_t>(Reached.size() / 2);
  std::nth_element(Reached.begin(), Middle, Reached.end(), std::greater<>());
  return *Middle;
}

std::uint32_t QuotaShares::units(TimePoint Now) const {
  const TimePoint Reached = std::max(m_TableReachedAt, m_MajorityReachedAt);
  const bool Connected = Reached != TimePoint() &&
                         Now - Reached < m_Options.m_IsolationLimit &&
                         Now - m_UpdatedAt <= m_Options.m_SuspensionGap;
  return Connected ? m_Units : 0;
}

bool QuotaShares::needsTableCheck(TimePoint Now) const {
  return m_Row.m_Revision.value() != 0 &&
         Now - std::max(m_TableReachedAt, m_MajorityReachedAt) >
             m_Options.m_IsolationLimit / 4;
}

bool QuotaShares::hasReported(const InstanceName &Name) const {
  if (Name == m_Self)
    return true;
  const auto Found = m_Reports.find(Name);
  return Found != m_Reports.end() &&
         Found->second.m_Applied >= m_Row.m_Revision;
}

bool QuotaShares::canSettle(TimePoint Now) {
  const UnitMap &Before =
      m_Row.m_Earlier.empty() ? m_Row.m_Units : m_Row.m_Earlier;
  std::size_t Reported = 0;
  bool OthersSilent = true;
  for (const auto &[Name, Units] : Before) {
    if (hasReported(Name)) {
      ++Reported;
      continue;
    }
    const auto Known = m_Reports.find(Name);
    const TimePoint LastHeard =
        Known == m_Reports.end() ? TimePoint() : Known->second.m_At;
    OthersSilent = OthersSilent && Now - std::max({LastHeard, m_AppliedAt,
                                                   m_IgnoreReportsUntil}) >=
                                       m_Options.m_SilenceLimit;
  }
  if (Reported * 2 > Before.size() && !m_MajoritySince)
    m_MajoritySince = Now;
  if (Reported == Before.size() && !m_AllSince)
    m_AllSince = Now;
  if (m_AllSince)
    return Now - *m_AllSince >= m_Options.m_SettleDelay;
  return m_MajoritySince && OthersSilent &&
         Now - *m_MajoritySince >=
             m_Options.m_SilenceLimit + m_Options.m_SettleDelay;
}

bool QuotaShares::reachesMajority(const std::set<InstanceName> &Members) const {
  const auto Reached = std::count_if(
      m_Row.m_Units.begin(), m_Row.m_Units.end(),
      [&](const auto &Each) { return Members.contains(Each.first); });
  return static_cast<std::size_t>(Reached) * 2 > m_Row.m_Units.size();
}

SharesRow QuotaShares::divided(const std::set<InstanceName> &Members) const {
  SharesRow Row;
  const auto Count = static_cast<std::uint32_t>(Members.size());
  std::uint32_t Extra = QuotaUnits % Count;
  for (const InstanceName &Name : Members) {
    Row.m_Units[Name] = QuotaUnits / Count + (Extra > 0 ? 1 : 0);
    Extra -= Extra > 0 ? 1 : 0;
  }
  return Row;
}

std::optional<SharesRow>
QuotaShares::next(const std::set<InstanceName> &Members, StoreEra Era,
                  TimePoint Now) {
  if (Members != m_Members) {
    m_Members = Members;
    m_MembersSince = Now;
  }
  const bool Known = m_Row.m_Revision.value() != 0;
  if (!Known) {
    if (Members.empty() || Now - m_MembersSince < m_Options.m_MembersStable)
      return std::nullopt;
    SharesRow First = divided(Members);
    First.m_Revision = nextRevision(SharesRevision(), Era);
    // In a later era of the store there may have been a row that it has lost.
    First.m_Settled = Era == StoreEra();
    return First;
  }
  if (Era > eraOf(m_Row.m_Revision)) {
    SharesRow Again = m_Row;
    Again.m_Revision = nextRevision(m_Row.m_Revision, Era);
    Again.m_Settled = false;
    if (m_Row.m_Settled)
      Again.m_Earlier = m_Row.m_Units;
    return Again;
  }
  if (!m_Row.m_Settled) {
    if (!canSettle(Now))
      return std::nullopt;
    SharesRow Settled = m_Row;
    Settled.m_Revision = nextRevision(m_Row.m_Revision, Era);
    Settled.m_Settled = true;
    Settled.m_Earlier.clear();
    return Settled;
  }
  if (Members.empty() || sameInstances(m_Row.m_Units, Members)) {
    m_DifferSince.reset();
    return std::nullopt;
  }
  if (!m_DifferSince)
    m_DifferSince = Now;
  if (Now - *m_DifferSince < m_Options.m_MembersDiffer ||
      !reachesMajority(Members))
    return std::nullopt;
  SharesRow Moved = divided(Members);
  Moved.m_Revision = nextRevision(m_Row.m_Revision, Era);
  Moved.m_Settled = false;
  Moved.m_Earlier = m_Row.m_Units;
  return Moved;
}

} // namespace balsamwheel
