// Rendezvous hashing with a bounded number of shards per member.
#include "balsamwheel/detail/coordination/placement.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// A candidate's number of shards may differ from its share by this fraction of
/// the share before shards are moved to even out the counts.
constexpr double CountTolerance = 0.25;

} // namespace

Placement::Placement(const std::vector<PlacementCandidate> &Candidates,
                     std::uint32_t ShardCount) {
  double Total = 0;
  for (const PlacementCandidate &Candidate : Candidates)
    Total += std::max(Candidate.m_Weight, 1U);
  for (const PlacementCandidate &Candidate : Candidates) {
    const double Share = ShardCount * std::max(Candidate.m_Weight, 1U) / Total;
    m_Index[Candidate.m_Session] = m_Candidates.size();
    m_Candidates.push_back(
        {.m_Candidate = Candidate,
         .m_Share = Share,
         .m_Floor = static_cast<std::uint32_t>(Share + 1e-9),
         .m_Bound = static_cast<std::uint32_t>(std::ceil(Share - 1e-9)),
         .m_Count = 0});
  }
  m_Remainder = ShardCount;
  for (const CandidateState &Candidate : m_Candidates)
    m_Remainder -= Candidate.m_Floor;
}

void Placement::add(SessionId Owner) {
  const auto Found = m_Index.find(Owner);
  if (Found == m_Index.end())
    return;
  CandidateState &Candidate = m_Candidates[Found->second];
  if (++Candidate.m_Count > Candidate.m_Floor)
    ++m_RemainderUsed;
}

void Placement::remove(SessionId Owner) {
  const auto Found = m_Index.find(Owner);
  if (Found == m_Index.end() || m_Candidates[Found->second].m_Count == 0)
    return;
  CandidateState &Candidate = m_Candidates[Found->second];
  if (Candidate.m_Count-- > Candidate.m_Floor)
    --m_RemainderUsed;
}

std::optional<SessionId> Placement::choose(std::uint64_t ShardHash) const {
  const bool RemainderLeft = m_RemainderUsed < m_Remainder;
  const CandidateState *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const CandidateState &Candidate : m_Candidates) {
    const bool HasRoom =
        Candidate.m_Count < Candidate.m_Floor ||
        (Candidate.m_Count < Candidate.m_Bound && RemainderLeft);
    if (!HasRoom)
      continue;
    const std::uint64_t Score =
        mixHash(ShardHash, Candidate.m_Candidate.m_Hash);
    if (Best && Score <= BestScore)
      continue;
    Best = &Candidate;
    BestScore = Score;
  }
  if (Best)
    return Best->m_Candidate.m_Session;
  if (m_Candidates.empty())
    return std::nullopt;
  const auto LeastLoaded = std::ranges::min_element(
      m_Candidates, {}, [](const CandidateState &Candidate) {
        return Candidate.m_Count / Candidate.m_Share;
      });
  return LeastLoaded->m_Candidate.m_Session;
}

const Placement::CandidateState *Placement::find(SessionId Session) const {
  const auto Found = m_Index.find(Session);
  return Found == m_Index.end() ? nullptr : &m_Candidates[Found->second];
}

bool Placement::contains(SessionId Session) const {
  return m_Index.contains(Session);
}

std::uint32_t Placement::count(SessionId Session) const {
  const CandidateState *Found = find(Session);
  return Found ? Found->m_Count : 0;
}

double Placement::share(SessionId Session) const {
  const CandidateState *Found = find(Session);
  return Found ? Found->m_Share : 0;
}

bool Placement::isUnbalanced() const {
  return std::ranges::any_of(m_Candidates, [](const CandidateState &Candidate) {
    const double Low = std::floor(Candidate.m_Share * (1 - CountTolerance));
    const double High = std::ceil(Candidate.m_Share * (1 + CountTolerance));
    return Candidate.m_Count < Low || Candidate.m_Count > High;
  });
}

bool Placement::anyBelowFloor() const {
  return std::ranges::any_of(m_Candidates, [](const CandidateState &Candidate) {
    return Candidate.m_Count < Candidate.m_Floor;
  });
}

bool Placement::hasSurplus(SessionId Session) const {
  const CandidateState *Found = find(Session);
  if (!Found)
    return false;
  if (Found->m_Count > Found->m_Bound)
    return true;
  return Found->m_Count > Found->m_Floor && anyBelowFloor();
}

} // namespace balsamwheel
