// Placement: every shard gets an owner, no owner exceeds its bound, and few
// shards move when a member leaves.
#include "balsamwheel/detail/coordination/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>

using namespace balsamwheel;

namespace {

std::vector<PlacementCandidate> makeCandidates(std::size_t Count) {
  std::vector<PlacementCandidate> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back({.m_Session = SessionId(Index + 1),
                      .m_Hash = (Index + 1) * 7919,
                      .m_Weight = 10});
  return Result;
}

std::map<std::uint32_t, SessionId> placeAll(Placement &Value,
                                            std::uint32_t Shards) {
  std::map<std::uint32_t, SessionId> Result;
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard) {
    const std::optional<SessionId> Owner = Value.choose(Shard * 104729);
    RC_ASSERT(Owner.has_value());
    Value.add(*Owner);
    Result[Shard] = *Owner;
  }
  return Result;
}

} // namespace

TEST_CASE("every shard is placed and no candidate exceeds its bound") {
  CHECK(rc::check("bounds", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(1, 30);
    const auto Shards = *rc::gen::inRange<std::uint32_t>(1, 600);
    Placement Value(makeCandidates(Members), Shards);
    placeAll(Value, Shards);
    const double Share = static_cast<double>(Shards) / Members;
    for (std::size_t Index = 1; Index <= Members; ++Index)
      RC_ASSERT(Value.count(SessionId(Index)) <= std::ceil(Share));
    RC_ASSERT(!Value.isUnbalanced() || Share < 2);
  }));
}

TEST_CASE("when a member leaves, only its shards move") {
  CHECK(rc::check("churn", [] {
    const auto Members = *rc::gen::inRange<std::size_t>(2, 30);
    const auto Shards = *rc::gen::inRange<std::uint32_t>(1, 600);
    const auto LeavingSession =
        SessionId(*rc::gen::inRange<std::size_t>(1, Members + 1));
    Placement Before(makeCandidates(Members), Shards);
    const auto Owners = placeAll(Before, Shards);
    std::vector<PlacementCandidate> Remaining = makeCandidates(Members);
    std::erase_if(Remaining,
                  [LeavingSession](const PlacementCandidate &Candidate) {
                    return Candidate.m_Session == LeavingSession;
                  });
    Placement After(Remaining, Shards);
    for (const auto &[Shard, Owner] : Owners)
      After.add(Owner);
    for (const auto &[Shard, Owner] : Owners)
      if (Owner == LeavingSession)
        After.add(*After.choose(Shard * 104729));
    std::uint32_t Total = 0;
    for (const PlacementCandidate &Candidate : Remaining) {
      const std::uint32_t Count = After.count(Candidate.m_Session);
      RC_ASSERT(Count >= Before.count(Candidate.m_Session));
      RC_ASSERT(Count <=
                std::ceil(static_cast<double>(Shards) / Remaining.size()));
      Total += Count;
    }
    RC_ASSERT(Total == Shards);
  }));
}

TEST_CASE("no owner is chosen without candidates") {
  CHECK_FALSE(Placement({}, 8).choose(1).has_value());
}
