// Faults of daemons and table: at most one owner per shard, and recovery of the
// service within the limit.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

constexpr std::uint32_t Shards = 24;

/// A cluster without daemons that checks each step for shards with two owners.
Cluster makeCluster(std::uint64_t Seed = 1) {
  Cluster Result(Shards);
  Result.m_Seed = Seed;
  Result.m_CheckedShards = Shards;
  return Result;
}

/// Adds six daemons in three domains and waits until every shard is served.
void startSixDaemons(Cluster &TestCluster) {
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    TestCluster.add(Domain);
  TestCluster.run(seconds(8));
  REQUIRE(TestCluster.servedShards(Shards) == Shards);
}

std::size_t leaderOf(Cluster &TestCluster) {
  for (std::size_t Index = 0; Index < TestCluster.m_Daemons.size(); ++Index)
    if (TestCluster.at(Index).status(TestCluster.m_Now).m_Leader)
      return Index;
  return 0;
}

/// After a loss, all shards must be served again within this simulated time.
constexpr Duration RecoveryLimit = seconds(4);
/// Lease duration plus margin of the default timing.
constexpr Duration LeaseWait = milliseconds(1980);

} // namespace

TEST_CASE("the shards of a killed daemon are served again within 4 s") {
  for (std::size_t Faulty = 0; Faulty < 6; ++Faulty) {
    Cluster TestCluster = makeCluster(Faulty + 1);
    startSixDaemons(TestCluster);
    TestCluster.m_Daemons[Faulty].m_Dead = true;
    const Duration RecoveryTime =
        TestCluster.runUntilServed(Shards, seconds(10));
    CHECK(RecoveryTime <= RecoveryLimit);
    CHECK(TestCluster.m_MaxOwners == 1);
  }
}

TEST_CASE("a paused leader that resumes shares no shard with its successor") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  const std::size_t Faulty = leaderOf(TestCluster);
  TestCluster.m_Daemons[Faulty].m_Paused = true;
  const Duration RecoveryTime = TestCluster.runUntilServed(Shards, seconds(10));
  CHECK(RecoveryTime <= RecoveryLimit);
  TestCluster.run(seconds(3));
  TestCluster.m_Daemons[Faulty].m_Paused = false;
  TestCluster.run(seconds(8));
  CHECK(TestCluster.m_MaxOwners == 1);
  CHECK(TestCluster.servedShards(Shards) == Shards);
  CHECK(TestCluster.at(Faulty).status(TestCluster.m_Now).m_ShardsOwned > 0);
}

TEST_CASE("a table outage with all daemons healthy leaves every shard served") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.m_TableDown = true;
  CHECK(TestCluster.unservedShardTime(Shards, seconds(60)) == Duration(0));
  TestCluster.m_TableDown = false;
  CHECK(TestCluster.unservedShardTime(Shards, seconds(10)) == Duration(0));
  CHECK(TestCluster.m_MaxOwners == 1);
  for (std::size_t Index = 0; Index < 6; ++Index)
    CHECK_FALSE(
        TestCluster.at(Index).status(TestCluster.m_Now).m_LeaseExtended);
}

TEST_CASE("a slow table leaves every shard served") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.m_TableDelay = seconds(2);
  CHECK(TestCluster.unservedShardTime(Shards, seconds(30)) == Duration(0));
  TestCluster.m_TableDelay = milliseconds(2);
  CHECK(TestCluster.unservedShardTime(Shards, seconds(10)) == Duration(0));
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE("a daemon lost in a table outage leaves only its shards unserved") {
  for (std::size_t Faulty = 0; Faulty < 6; ++Faulty) {
    Cluster TestCluster = makeCluster(Faulty + 1);
    startSixDaemons(TestCluster);
    const std::size_t Owned =
        TestCluster.at(Faulty).status(TestCluster.m_Now).m_ShardsOwned;
    TestCluster.m_TableDown = true;
    TestCluster.run(seconds(5));
    TestCluster.m_Daemons[Faulty].m_Dead = true;
    TestCluster.run(seconds(20));
    CHECK(TestCluster.servedShards(Shards) == Shards - Owned);
    TestCluster.m_TableDown = false;
    const Duration RecoveryTime =
        TestCluster.runUntilServed(Shards, seconds(10));
    CHECK(RecoveryTime <= RecoveryLimit);
    CHECK(TestCluster.m_MaxOwners == 1);
  }
}

TEST_CASE("a daemon without table and peers loses its shards and rejoins") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.m_Daemons[2].m_PeersUnreachable =
      TestCluster.m_Daemons[2].m_TableUnreachable = true;
  TestCluster.run(RecoveryLimit);
  CHECK(TestCluster.servedShards(Shards) == Shards);
  TestCluster.run(seconds(2));
  TestCluster.m_Daemons[2].m_PeersUnreachable =
      TestCluster.m_Daemons[2].m_TableUnreachable = false;
  TestCluster.run(seconds(8));
  CHECK(TestCluster.m_MaxOwners == 1);
  CHECK(TestCluster.at(2).status(TestCluster.m_Now).m_ShardsOwned > 0);
}

TEST_CASE("a leader that cannot reach the table is renewed by other members") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.m_Daemons[leaderOf(TestCluster)].m_TableUnreachable = true;
  CHECK(TestCluster.unservedShardTime(Shards, seconds(20)) == Duration(0));
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE("a daemon that cannot reach its peers renews in the table itself") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.m_Daemons[1].m_PeersUnreachable = true;
  CHECK(TestCluster.unservedShardTime(Shards, seconds(20)) == Duration(0));
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE("commits whose replies are lost are resolved by a read") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.m_RepliesToLose = 20;
  CHECK(TestCluster.unservedShardTime(Shards, seconds(15)) == Duration(0));
  TestCluster.m_RepliesToLose = 6;
  TestCluster.m_Daemons[0].m_Dead = true;
  CHECK(TestCluster.runUntilServed(Shards, seconds(10)) <= RecoveryLimit);
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE("a domain taken out is empty after the grace period and can return") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  Config Next = makeKeyedConfig(2, Shards);
  Next.m_DomainsOut = {DomainName("a")};
  TestCluster.commitConfig(Next);
  CHECK(TestCluster.unservedShardTime(Shards, milliseconds(3500)) ==
        Duration(0));
  CHECK(TestCluster.at(0).status(TestCluster.m_Now).m_ShardsOwned == 0);
  CHECK(TestCluster.at(3).status(TestCluster.m_Now).m_ShardsOwned == 0);
  CHECK(TestCluster.servedShards(Shards) == Shards);
  TestCluster.commitConfig(makeKeyedConfig(3, Shards));
  CHECK(TestCluster.unservedShardTime(Shards, seconds(10)) == Duration(0));
  for (std::size_t Index = 0; Index < 6; ++Index)
    CHECK(TestCluster.at(Index).status(TestCluster.m_Now).m_ShardsOwned ==
          Shards / 6);
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE(
    "a daemon that shuts down hands over every shard and leaves its group") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  TestCluster.at(4).beginShutdown(TestCluster.m_Now);
  TestCluster.run(seconds(5));
  CHECK(TestCluster.at(4).drained());
  CHECK(TestCluster.servedShards(Shards) == Shards);
  CHECK(TestCluster.at(0).status(TestCluster.m_Now).m_Members == 5);
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE("after a restart of all daemons every shard is served again") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  for (std::size_t Index = 0; Index < 6; ++Index)
    TestCluster.restart(Index);
  const Duration RecoveryTime = TestCluster.runUntilServed(Shards, seconds(20));
  CHECK(RecoveryTime <= RecoveryLimit + seconds(1));
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE(
    "all daemons paused past their leases resume without a second owner") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  for (auto &Daemon : TestCluster.m_Daemons)
    Daemon.m_Paused = true;
  TestCluster.run(seconds(20));
  for (auto &Daemon : TestCluster.m_Daemons)
    Daemon.m_Paused = false;
  TestCluster.run(milliseconds(1));
  CHECK(TestCluster.servedShards(Shards) == 0);
  CHECK(TestCluster.runUntilServed(Shards, seconds(10)) <= RecoveryLimit);
  CHECK(TestCluster.m_MaxOwners == 1);
}

TEST_CASE("in steady state the head row does not change") {
  Cluster TestCluster = makeCluster();
  startSixDaemons(TestCluster);
  const Row Before = TestCluster.m_Table.get(HeadRowKey);
  TestCluster.run(seconds(60));
  CHECK(TestCluster.m_Table.get(HeadRowKey) == Before);
}

TEST_CASE("daemons that were each other's witnesses are replaced although they "
          "were restarted into other groups") {
  struct Case {
    std::uint64_t m_Seed;
    std::vector<std::size_t> m_Restarted;
  };
  CoordinatorOptions Options;
  Options.m_GroupSize = 3;
  for (const Case &Each :
       {Case{1, {0, 1, 2, 4}}, Case{1, {0, 1, 2, 5}}, Case{2, {0, 1, 4, 5}}}) {
    Cluster TestCluster = makeCluster(Each.m_Seed);
    for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
      TestCluster.add(Domain, Options);
    TestCluster.run(RecoveryLimit);
    REQUIRE(TestCluster.servedShards(Shards) == Shards);
    // Promises in the place of an earlier session, and the first one's time.
    std::size_t Promises = 0;
    TimePoint First = TimePoint::max();
    TestCluster.m_OnSend = [&](std::size_t Sender, const SendControl &Sent) {
      const auto *Reply = std::get_if<PromiseReply>(&Sent.m_Message);
      if (!Reply || !Reply->m_Promised ||
          Reply->m_Witness == TestCluster.at(Sender).session())
        return;
      ++Promises;
      First = std::min(First, TestCluster.m_Now);
    };
    const TimePoint RestartedAt = TestCluster.m_Now;
    for (std::size_t Index : Each.m_Restarted)
      TestCluster.restart(Index, Options);
    CHECK(TestCluster.runUntilServed(Shards, seconds(20)) <= RecoveryLimit);
    CHECK(Promises > 0);
    CHECK(First >= RestartedAt + LeaseWait);
    std::set<std::uint32_t> Groups;
    for (std::size_t Index : Each.m_Restarted)
      Groups.insert(TestCluster.at(Index).status(TestCluster.m_Now).m_Group);
    CHECK(Groups.size() > 1);
    CHECK(TestCluster.m_MaxOwners == 1);
  }
}
