// Coordinators of a small cluster: joining, taking shards, losing members.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

constexpr std::uint32_t Shards = 24;

void addSix(Cluster &Value) {
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    Value.add(Domain);
}

} // namespace

TEST_CASE("a cluster joins one group and serves every shard") {
  Cluster Value(Shards);
  Value.m_CheckShards = Shards;
  addSix(Value);
  Value.run(seconds(8));

  CHECK(Value.m_MostOwners == 1);
  CHECK(Value.served(Shards) == Shards);
  for (std::size_t Index = 0; Index < 6; ++Index) {
    const CoordinatorStatus Status = Value.at(Index).status(Value.m_Now);
    CHECK(Status.m_LeaseHeld);
    CHECK(Status.m_Members == 6);
    CHECK(Status.m_ShardsOwned == Shards / 6);
    CHECK(Status.m_Config == ConfigVersion(1));
  }
}
