// Tests of the heavy-hitter sketch and the decaying rates against exact counts.
#include "balsamwheel/coordination.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

ShardRef shard(std::uint32_t Index) {
  return {ServiceName("orders"), ShardIndex(Index)};
}

} // namespace

TEST_CASE("the sketch overestimates by less than its error bound") {
  CHECK(rc::check("against exact counts", [] {
    const auto Capacity = *rc::gen::inRange<std::size_t>(1, 12);
    HeavyHitters<int> Sketch(Capacity);
    std::map<int, double> Exact;
    double Total = 0;
    for (const int Item :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30))) {
      const double Weight = 1 + Item % 3;
      Sketch.record(Item, Weight);
      Exact[Item] += Weight;
      Total += Weight;
    }
    RC_ASSERT(Sketch.size() <= Capacity);
    std::map<int, double> Held;
    for (const auto &Counter : Sketch.top(Capacity)) {
      Held[Counter.m_Item] = Counter.m_Weight;
      RC_ASSERT(Counter.m_Weight >= Exact[Counter.m_Item]);
      RC_ASSERT(Counter.m_Weight - Counter.m_Error <= Exact[Counter.m_Item]);
      RC_ASSERT(Counter.m_Error <= Total / static_cast<double>(Capacity));
    }
    for (const auto &[Item, Weight] : Exact)
      if (Weight > Total / static_cast<double>(Capacity))
        RC_ASSERT(Held.contains(Item));
  }));
}

TEST_CASE("items are in descending order of weight, also after scaling") {
  HeavyHitters<int> Sketch(4);
  for (int Item = 1; Item <= 4; ++Item)
    Sketch.record(Item, Item);
  Sketch.scale(0.5);
  const auto Top = Sketch.top(2);
  REQUIRE(Top.size() == 2);
  CHECK(Top.at(0).m_Item == 4);
  CHECK(Top.at(0).m_Weight == doctest::Approx(2));
  CHECK(Top.at(1).m_Item == 3);
  CHECK(Sketch.totalWeight() == doctest::Approx(5));
}

TEST_CASE("a steady rate is estimated, and decays when the requests end") {
  ShardRates Rates({.m_Decay = 5s});
  TimePoint Now{1s};
  for (int Request = 0; Request < 100 * 300; ++Request) {
    Rates.record(shard(Request % 4 == 0 ? 1 : 2),
                 KeyHash(static_cast<std::uint64_t>(Request % 10)), Now);
    Now += 10ms;
  }
  CHECK(Rates.totalRate(Now) == doctest::Approx(100).epsilon(0.01));
  const auto Shards = Rates.hottestShards(5, Now);
  REQUIRE(Shards.size() == 2);
  CHECK(Shards.at(0).m_Shard == shard(2));
  CHECK(Shards.at(0).m_Rate == doctest::Approx(75).epsilon(0.02));
  const auto Keys = Rates.hottestKeys(3);
  REQUIRE(Keys.size() == 3);
  CHECK(Keys.at(0).m_Rate == doctest::Approx(10).epsilon(0.02));
  CHECK(Rates.totalRate(Now + 25s) < 1);

  Rates.forget(shard(2));
  CHECK(Rates.totalRate(Now) == doctest::Approx(25).epsilon(0.05));
  CHECK(Rates.hottestShards(5, Now).size() == 1);
}

TEST_CASE("the sum of the shard rates is the total rate at any time") {
  CHECK(rc::check("random requests", [] {
    ShardRates Rates({.m_Decay = Duration(*rc::gen::inRange(1'000, 1'000'000)),
                      .m_Keys = 8});
    TimePoint Now{1s};
    const auto Gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3'000'000));
    for (const int Gap : Gaps) {
      Now += Duration(Gap);
      Rates.record(shard(static_cast<std::uint32_t>(Gap % 5)),
                   KeyHash(static_cast<std::uint64_t>(Gap % 7)), Now);
      double Sum = 0;
      for (const ShardRate &Rate : Rates.hottestShards(10, Now))
        Sum += Rate.m_Rate;
      RC_ASSERT(std::abs(Sum - Rates.totalRate(Now)) <=
                1e-2 * Rates.totalRate(Now));
    }
  }));
}
