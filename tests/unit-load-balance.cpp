// Load-based moves: they even out the load, stop once it is within bounds, and
// do not start while it is even.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

constexpr std::uint32_t ShardCount = 300;
constexpr std::size_t DaemonCount = 6;

/// Runs orders at the owner of each shard, at the shard's rate per second.
void sendLoad(Cluster &TestCluster, const std::vector<double> &Rates,
              int Seconds) {
  const ServiceName Service("orders");
  for (int Second = 0; Second < Seconds; ++Second) {
    for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
      for (std::size_t Index : TestCluster.permittedDaemons(KeyHash(Shard)))
        for (int Order = 0; Order < Rates[Shard]; ++Order) {
          const ShardRef Ref{Service, ShardIndex(Shard)};
          TestCluster.at(Index).orderStarted(Ref, KeyHash(Shard), Epoch(1));
          TestCluster.at(Index).orderFinished(Ref, KeyHash(Shard), Epoch(1),
                                              TestCluster.m_Now);
        }
    TestCluster.run(seconds(1));
  }
}

double peakToMean(const Cluster &TestCluster,
                  const std::vector<double> &Rates) {
  std::vector<double> Loads(DaemonCount, 0);
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
    for (std::size_t Index : TestCluster.permittedDaemons(KeyHash(Shard)))
      Loads[Index] += Rates[Shard];
  const double Sum = std::accumulate(Loads.begin(), Loads.end(), 0.0);
  return std::ranges::max(Loads) * DaemonCount / Sum;
}

} // namespace

TEST_CASE("hot shards are spread over owners within 60 s and then stay there") {
  Cluster TestCluster(ShardCount);
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    TestCluster.add(Domain);
  TestCluster.run(seconds(8));
  REQUIRE(TestCluster.servedShards(ShardCount) == ShardCount);

  std::vector<double> Rates(ShardCount, 1);
  int HotShards = 0;
  for (std::uint32_t Shard = 0; Shard < ShardCount && HotShards < 3; ++Shard)
    if (TestCluster.permittedDaemons(KeyHash(Shard)).front() == 0) {
      Rates[Shard] = 25;
      ++HotShards;
    }
  REQUIRE(peakToMean(TestCluster, Rates) > 1.25);
  sendLoad(TestCluster, Rates, 60);
  CHECK(peakToMean(TestCluster, Rates) < 1.25);

  const Row Before = TestCluster.m_Table.get(HeadRowKey);
  sendLoad(TestCluster, Rates, 60);
  CHECK(TestCluster.m_Table.get(HeadRowKey) == Before);
}

TEST_CASE("no shard moves while the load is even") {
  Cluster TestCluster(ShardCount);
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    TestCluster.add(Domain);
  TestCluster.run(seconds(8));
  const Row Before = TestCluster.m_Table.get(HeadRowKey);
  sendLoad(TestCluster, std::vector<double>(ShardCount, 2), 40);
  CHECK(TestCluster.m_Table.get(HeadRowKey) == Before);
}
