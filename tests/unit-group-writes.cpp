// Write load on the table: the heartbeats of a group share their writes.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::testing;

TEST_CASE("the renewals of a group share writes, also in a full group") {
  Cluster TestCluster(60);
  for (int Index = 0; Index < 60; ++Index) {
    TestCluster.add(Index % 3 == 0 ? "a" : Index % 3 == 1 ? "b" : "c");
    TestCluster.run(milliseconds(10));
  }
  TestCluster.run(seconds(10));
  std::set<std::uint32_t> Groups;
  for (std::size_t Index = 0; Index < 60; ++Index)
    Groups.insert(TestCluster.at(Index).status(TestCluster.m_Now).m_Group);

  const std::size_t Before = TestCluster.m_Table.m_Writes;
  TestCluster.run(seconds(12));
  // The write budget is 100 writes/s for 55 groups, or 1.8 writes/s per group.
  CHECK(TestCluster.m_Table.m_Writes - Before <= Groups.size() * 12 * 100 / 55);
}
