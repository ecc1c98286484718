// Tests of the choice of a target by load, speed, failures and domain.
#include "balsamwheel/detail/load/target_board.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const InstanceName A("a");
const InstanceName B("b");
const std::vector<TargetBoard::Candidate> Both{
    {.m_Target = A, .m_SameDomain = true}, {.m_Target = B}};

GateReport report(std::uint32_t Running, Duration Service) {
  return {.m_Running = Running, .m_Slots = 9, .m_Service = Service};
}

} // namespace

TEST_CASE("the target with the least expected completion time is chosen") {
  TargetBoard Board({});
  Board.report(A, report(9, 100ms));
  Board.report(B, report(0, 150ms));
  CHECK(Board.choose(Both, false, 0, Start) == B);
  Board.report(B, report(0, 300ms));
  CHECK(Board.choose(Both, false, 0, Start) == A);
}

TEST_CASE("requests sent since the last report count as load") {
  TargetBoard Board({});
  Board.report(A, report(0, 100ms));
  Board.report(B, report(0, 100ms));
  for (int Count = 0; Count < 3; ++Count)
    Board.sent(A);
  CHECK(Board.choose(Both, false, 0, Start) == B);
}

TEST_CASE("targets with closed or unknown gates are never chosen") {
  TargetBoard Board({});
  CHECK_FALSE(Board.choose(Both, false, 0, Start).has_value());
  Board.report(A, {.m_Slots = 0, .m_Service = 1ms});
  CHECK_FALSE(Board.choose(Both, false, 0, Start).has_value());
  Board.report(B, report(9, 900ms));
  CHECK(Board.choose(Both, false, 0, Start) == B);
  Board.forget(B);
  CHECK_FALSE(Board.choose(Both, false, 0, Start).has_value());
}

TEST_CASE("a target that fails requests is avoided until its failure rate "
          "decays") {
  TargetBoard Board({});
  Board.report(A, report(0, 50ms));
  Board.report(B, report(0, 150ms));
  for (int Count = 0; Count < 6; ++Count)
    Board.done(A, true, Start);
  CHECK(Board.choose(Both, false, 0, Start) == B);
  CHECK(Board.choose(Both, false, 0, Start + 30s) == A);
}

TEST_CASE("requests with large answers prefer targets in the caller's domain") {
  TargetBoard Board({});
  Board.report(A, report(3, 100ms));
  Board.report(B, report(0, 100ms));
  CHECK(Board.choose(Both, false, 0, Start) == B);
  CHECK(Board.choose(Both, true, 0, Start) == A);
}

TEST_CASE("the rate limit of a cold target counts in its completion time") {
  TargetBoard Board({});
  Board.report(A, {.m_Running = 0,
                   .m_Waiting = 4,
                   .m_Slots = 9,
                   .m_Service = 50ms,
                   .m_RateLimit = 8});
  Board.report(B, report(9, 100ms));
  CHECK(Board.choose(Both, false, 0, Start) == B);
}

TEST_CASE("entrances with the same old reports do not all choose one target") {
  TargetBoard Board({});
  std::vector<TargetBoard::Candidate> Many;
  for (int Index = 0; Index < 26; ++Index) {
    Many.push_back({.m_Target = InstanceName("t" + std::to_string(Index))});
    // Service times differ by a factor of more than two.
    Board.report(Many.back().m_Target,
                 report(0, std::chrono::milliseconds(200 + 10 * Index)));
  }
  std::map<InstanceName, int> Chosen;
  for (std::uint64_t Entrance = 0; Entrance < 2600; ++Entrance)
    ++Chosen[*Board.choose(Many, false, Entrance, Start)];
  for (const auto &[Target, Count] : Chosen)
    CHECK(Count <= 3.2 * 100);
  CHECK(Chosen[InstanceName("t0")] > Chosen[InstanceName("t20")]);
}
