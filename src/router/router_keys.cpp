// Input of the key planner: condition, capacity and load of the targets of this
// router's service.
#include "router.h"

#include <algorithm>
#include <iterator>

namespace balsamwheel {

std::vector<KeyCandidate> Router::keyCandidates() {
  std::vector<KeyCandidate> Result;
  double Total = 0;
  if (const auto Self = m_Agent.owner())
    Result.push_back({.m_Owner = *Self,
                      .m_Condition = m_Agent.condition(),
                      .m_Capacity = m_Agent.capacity(),
                      .m_LoadLimit = m_Agent.namedLimit()});
  for (const Member &Each : m_Members) {
    if (Each.m_Service != m_Settings.m_Service ||
        Each.m_Instance == m_Settings.m_Instance)
      continue;
    auto Known = m_PeerTargets.find(Each.m_Instance);
    if (Known == m_PeerTargets.end() ||
        Known->second.m_Owner.m_Target.m_Id.empty())
      continue;
    const auto Down = m_Mesh.downSince(Each.m_Instance);
    TargetCondition Condition = Known->second.m_Condition;
    if (Down)
      Condition = m_Loop.now() - *Down > OwnerLossTimeout
                      ? TargetCondition::Lost
                      : TargetCondition::NoNewKeys;
    Result.push_back({.m_Owner = Known->second.m_Owner,
                      .m_Condition = Condition,
                      .m_Capacity = Known->second.m_Capacity,
                      .m_LoadLimit = Known->second.m_NamedLimit});
  }
  const std::vector<KeyOwner> Unreported = unreportedOwners(Result);
  std::vector<KeyOwner> Replaced;
  std::copy_if(
      Unreported.begin(), Unreported.end(), std::back_inserter(Replaced),
      [&](const KeyOwner &Owner) { return replacementOf(Owner).has_value(); });
  m_ReplacedOwners.observe(Replaced, m_Loop.now());
  std::vector<KeyCandidate> Others;
  Others.reserve(Unreported.size());
  for (const KeyOwner &Owner : Unreported)
    Others.push_back(
        {.m_Owner = Owner, .m_Condition = conditionOfUnreported(Owner)});
  logUnreported(Others);
  Result.insert(Result.end(), Others.begin(), Others.end());
  for (const KeyCandidate &Each : Result)
    Total += Each.m_Capacity;
  // Measured speeds contain noise, so only half of the difference from the mean
  // counts.
  const double Mean = Total / std::max(1.0, static_cast<double>(Result.size()));
  for (KeyCandidate &Each : Result)
    Each.m_Capacity = std::clamp(
        0.5 + 0.5 * Each.m_Capacity / std::max(Mean, 1e-6), 0.5, 2.0);
  return Result;
}

std::vector<KeyOwner>
Router::unreportedOwners(const std::vector<KeyCandidate> &Reported) const {
  std::set<KeyOwner> Result;
  if (const KeyMap *Map = keyMap(m_Settings.m_Service))
    for (const KeySpan &Span : Map->spans())
      if (!Span.m_Owner.m_Target.m_Id.empty())
        Result.insert(Span.m_Owner);
  for (const KeyCandidate &Each : Reported)
    Result.erase(Each.m_Owner);
  return {Result.begin(), Result.end()};
}

std::optional<TargetIncarnation>
Router::replacementOf(const KeyOwner &Owner) const {
  const auto Known = m_PeerTargets.find(Owner.m_Instance);
  const bool SameService =
      std::any_of(m_Members.begin(), m_Members.end(), [&](const Member &Each) {
        return Each.m_Instance == Owner.m_Instance &&
               Each.m_Service == m_Settings.m_Service;
      });
  if (!SameService || !m_Mesh.isUp(Owner.m_Instance) ||
      Known == m_PeerTargets.end() ||
      Known->second.m_Owner.m_Target == TargetIncarnation())
    return std::nullopt;
  return Known->second.m_Owner.m_Target;
}

TargetCondition Router::conditionOfUnreported(const KeyOwner &Owner) const {
  if (Owner.m_Instance == m_Settings.m_Instance)
    return m_Agent.owner() ? TargetCondition::Ended : m_Agent.condition();
  UnreportedOwner Observed{.m_Reachable = m_Mesh.isUp(Owner.m_Instance)};
  for (const Member &Each : m_Members)
    if (Each.m_Instance == Owner.m_Instance)
      Observed.m_ServesOtherService = Each.m_Service != m_Settings.m_Service;
  if (const auto Known = m_PeerTargets.find(Owner.m_Instance);
      Known != m_PeerTargets.end())
    Observed.m_Reported = Known->second.m_Condition;
  if (const auto Replacement = replacementOf(Owner)) {
    Observed.m_Restarted =
        Replacement->m_StartTimeMs > Owner.m_Target.m_StartTimeMs;
    Observed.m_ReplacedFor = m_ReplacedOwners.replacedFor(Owner, m_Loop.now());
  }
  if (const auto Down = m_Mesh.downSince(Owner.m_Instance))
    Observed.m_DownFor = m_Loop.now() - *Down;
  return conditionOf(Observed);
}

void Router::logUnreported(const std::vector<KeyCandidate> &Unreported) {
  std::map<KeyOwner, TargetCondition> Conditions;
  for (const KeyCandidate &Each : Unreported) {
    Conditions[Each.m_Owner] = Each.m_Condition;
    const auto Logged = m_LoggedConditions.find(Each.m_Owner);
    if (Logged != m_LoggedConditions.end() &&
        Logged->second == Each.m_Condition)
      continue;
    m_Log.write(LogClass::StateChange,
                LogLine("key_owner_unreported")
                    .add("instance", Each.m_Owner.m_Instance.value())
                    .add("target", Each.m_Owner.m_Target.m_Id.value())
                    .add("born_ms", Each.m_Owner.m_Target.m_StartTimeMs)
                    .add("condition", conditionName(Each.m_Condition))
                    .add("replaced_for", m_ReplacedOwners.replacedFor(
                                             Each.m_Owner, m_Loop.now())));
  }
  m_LoggedConditions = std::move(Conditions);
}

SliceLoads Router::keyLoads() const {
  SliceLoads Sum = m_Agent.sliceRates();
  for (const auto &[Peer, Known] : m_PeerTargets)
    if (m_Mesh.isUp(Peer))
      for (const auto &[Slice, Rate] : Known.m_Rates)
        Sum[Slice] += Rate;
  return Sum;
}

bool Router::reachesTable(const InstanceName &Peer) const {
  const auto Known = m_PeerTargets.find(Peer);
  return m_Mesh.isUp(Peer) && Known != m_PeerTargets.end() &&
         Known->second.m_ReachesTable;
}

bool Router::isKeyPlanner() const {
  if (m_StopStartedAt || !m_Follower.isReachable(TableName::Operators))
    return false;
  // Daemons that can't reach the table are skipped: they couldn't commit a
  // plan.
  return std::none_of(m_Members.begin(), m_Members.end(),
                      [&](const Member &Each) {
                        return Each.m_Service == m_Settings.m_Service &&
                               Each.m_Instance < m_Settings.m_Instance &&
                               reachesTable(Each.m_Instance);
                      });
}

} // namespace balsamwheel
