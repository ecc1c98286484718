// Moves by load: bounded, with hysteresis, and none in steady load.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

constexpr std::uint32_t Shards = 300;
constexpr std::size_t Daemons = 6;

/// Sends orders of a rate for each shard to its owner, for whole seconds.
void sendLoad(Cluster &Value, const std::vector<double> &Rates, int Seconds) {
  const ServiceName Service("orders");
  for (int Second = 0; Second < Seconds; ++Second) {
    for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
      for (std::size_t Index : Value.permitted(KeyHash(Shard)))
        for (int Order = 0; Order < Rates[Shard]; ++Order) {
          const ShardRef Ref{Service, ShardIndex(Shard)};
          Value.at(Index).orderStarted(Ref, KeyHash(Shard), Epoch(1));
          Value.at(Index).orderFinished(Ref, KeyHash(Shard), Epoch(1),
                                        Value.m_Now);
        }
    Value.run(seconds(1));
  }
}

double peakToMean(const Cluster &Value, const std::vector<double> &Rates) {
  std::vector<double> Loads(Daemons, 0);
  for (std::uint32_t Shard = 0; Shard < Shards; ++Shard)
    for (std::size_t Index : Value.permitted(KeyHash(Shard)))
      Loads[Index] += Rates[Shard];
  const double Sum = std::accumulate(Loads.begin(), Loads.end(), 0.0);
  return std::ranges::max(Loads) * Daemons / Sum;
}

} // namespace

TEST_CASE("hot shards spread within 60 s and then stay") {
  Cluster Value(Shards);
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    Value.add(Domain);
  Value.run(seconds(8));
  REQUIRE(Value.served(Shards) == Shards);

  std::vector<double> Rates(Shards, 1);
  int Hot = 0;
  for (std::uint32_t Shard = 0; Shard < Shards && Hot < 3; ++Shard)
    if (Value.permitted(KeyHash(Shard)).front() == 0) {
      Rates[Shard] = 25;
      ++Hot;
    }
  REQUIRE(peakToMean(Value, Rates) > 1.25);
  sendLoad(Value, Rates, 60);
  CHECK(peakToMean(Value, Rates) < 1.25);

  const Row Before = Value.m_Table.get(HeadRowKey);
  sendLoad(Value, Rates, 60);
  CHECK(Value.m_Table.get(HeadRowKey) == Before);
}

TEST_CASE("even load moves nothing") {
  Cluster Value(Shards);
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    Value.add(Domain);
  Value.run(seconds(8));
  const Row Before = Value.m_Table.get(HeadRowKey);
  sendLoad(Value, std::vector<double>(Shards, 2), 40);
  CHECK(Value.m_Table.get(HeadRowKey) == Before);
}
