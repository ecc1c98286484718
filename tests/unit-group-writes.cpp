// The table's load: one write for a group in each heartbeat period.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::testing;

TEST_CASE("a group's renewals share one write, also in a crowded group") {
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
  // The budget is 100 writes/s for 55 groups: 1.8 writes/s a group.
  CHECK(TestCluster.m_Table.m_Writes - Before <= Groups.size() * 12 * 100 / 55);
}
