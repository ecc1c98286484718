// Coordinators of a small cluster join a group and take over all shards.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

constexpr std::uint32_t Shards = 24;

void addSixDaemons(Cluster &TestCluster) {
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    TestCluster.add(Domain);
}

} // namespace

TEST_CASE(
    "the daemons of a small cluster join one group and serve every shard") {
  Cluster TestCluster(Shards);
  TestCluster.m_CheckedShards = Shards;
  addSixDaemons(TestCluster);
  TestCluster.run(seconds(8));

  CHECK(TestCluster.m_MaxOwners == 1);
  CHECK(TestCluster.servedShards(Shards) == Shards);
  for (std::size_t Index = 0; Index < 6; ++Index) {
    const CoordinatorStatus Status =
        TestCluster.at(Index).status(TestCluster.m_Now);
    CHECK(Status.m_LeaseHeld);
    CHECK(Status.m_Members == 6);
    CHECK(Status.m_ShardsOwned == Shards / 6);
    CHECK(Status.m_Config == ConfigVersion(1));
  }
}
