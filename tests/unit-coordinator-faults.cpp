// One owner at most, and service again, under faults of daemons and table.
#include "coordinator_cluster.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::testing;

namespace {

constexpr std::uint32_t Shards = 24;

/// Six daemons in three domains that serve everything.
Cluster makeCluster(std::uint64_t Seed = 1) {
  Cluster Result(Shards);
  Result.m_Seed = Seed;
  Result.m_CheckShards = Shards;
  return Result;
}

void settle(Cluster &Value) {
  for (const char *Domain : {"a", "b", "c", "a", "b", "c"})
    Value.add(Domain);
  Value.run(seconds(8));
  REQUIRE(Value.served(Shards) == Shards);
}

std::size_t leaderOf(Cluster &Value) {
  for (std::size_t Index = 0; Index < Value.m_Daemons.size(); ++Index)
    if (Value.at(Index).status(Value.m_Now).m_Leader)
      return Index;
  return 0;
}

/// The target for loss, in simulated time: served again within 4 s.
constexpr Duration LossLimit = seconds(4);

} // namespace

TEST_CASE("the shards of a killed daemon are served again within 4 s") {
  for (std::size_t Victim = 0; Victim < 6; ++Victim) {
    Cluster Value = makeCluster(Victim + 1);
    settle(Value);
    Value.m_Daemons[Victim].m_Dead = true;
    const Duration Took = Value.runUntilServed(Shards, seconds(10));
    CHECK(Took <= LossLimit);
    CHECK(Value.m_MostOwners == 1);
  }
}

TEST_CASE("a paused leader and its returned self never share a shard") {
  Cluster Value = makeCluster();
  settle(Value);
  const std::size_t Victim = leaderOf(Value);
  Value.m_Daemons[Victim].m_Paused = true;
  const Duration Took = Value.runUntilServed(Shards, seconds(10));
  CHECK(Took <= LossLimit);
  Value.run(seconds(3));
  Value.m_Daemons[Victim].m_Paused = false;
  Value.run(seconds(8));
  CHECK(Value.m_MostOwners == 1);
  CHECK(Value.served(Shards) == Shards);
  CHECK(Value.at(Victim).status(Value.m_Now).m_ShardsOwned > 0);
}

TEST_CASE("a table outage with all daemons healthy costs nothing") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.m_TableDown = true;
  CHECK(Value.unservedDuring(Shards, seconds(60)) == Duration(0));
  Value.m_TableDown = false;
  CHECK(Value.unservedDuring(Shards, seconds(10)) == Duration(0));
  CHECK(Value.m_MostOwners == 1);
  for (std::size_t Index = 0; Index < 6; ++Index)
    CHECK_FALSE(Value.at(Index).status(Value.m_Now).m_LeaseExtended);
}

TEST_CASE("a slow table costs nothing") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.m_TableDelay = seconds(2);
  CHECK(Value.unservedDuring(Shards, seconds(30)) == Duration(0));
  Value.m_TableDelay = milliseconds(2);
  CHECK(Value.unservedDuring(Shards, seconds(10)) == Duration(0));
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("a daemon lost in a table outage costs only its own shards") {
  for (std::size_t Victim = 0; Victim < 6; ++Victim) {
    Cluster Value = makeCluster(Victim + 1);
    settle(Value);
    const std::size_t Owned =
        Value.at(Victim).status(Value.m_Now).m_ShardsOwned;
    Value.m_TableDown = true;
    Value.run(seconds(5));
    Value.m_Daemons[Victim].m_Dead = true;
    Value.run(seconds(20));
    CHECK(Value.served(Shards) == Shards - Owned);
    Value.m_TableDown = false;
    const Duration Took = Value.runUntilServed(Shards, seconds(10));
    CHECK(Took <= LossLimit);
    CHECK(Value.m_MostOwners == 1);
  }
}

TEST_CASE("a daemon cut off from everything loses its shards") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.m_Daemons[2].m_NoPeers = Value.m_Daemons[2].m_NoTable = true;
  Value.run(LossLimit);
  CHECK(Value.served(Shards) == Shards);
  Value.run(seconds(2));
  Value.m_Daemons[2].m_NoPeers = Value.m_Daemons[2].m_NoTable = false;
  Value.run(seconds(8));
  CHECK(Value.m_MostOwners == 1);
  CHECK(Value.at(2).status(Value.m_Now).m_ShardsOwned > 0);
}

TEST_CASE("a leader cut off from the table is relayed by others") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.m_Daemons[leaderOf(Value)].m_NoTable = true;
  CHECK(Value.unservedDuring(Shards, seconds(20)) == Duration(0));
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("a daemon without peers renews in the table itself") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.m_Daemons[1].m_NoPeers = true;
  CHECK(Value.unservedDuring(Shards, seconds(20)) == Duration(0));
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("commits whose answers are lost are settled") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.m_LoseAnswers = 20;
  CHECK(Value.unservedDuring(Shards, seconds(15)) == Duration(0));
  Value.m_LoseAnswers = 6;
  Value.m_Daemons[0].m_Dead = true;
  CHECK(Value.runUntilServed(Shards, seconds(10)) <= LossLimit);
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("a domain taken out is empty after the grace, and returns") {
  Cluster Value = makeCluster();
  settle(Value);
  Config Next = makeKeyedConfig(2, Shards);
  Next.m_DomainsOut = {DomainName("a")};
  Value.commitConfig(Next);
  CHECK(Value.unservedDuring(Shards, milliseconds(3500)) == Duration(0));
  CHECK(Value.at(0).status(Value.m_Now).m_ShardsOwned == 0);
  CHECK(Value.at(3).status(Value.m_Now).m_ShardsOwned == 0);
  CHECK(Value.served(Shards) == Shards);
  Value.commitConfig(makeKeyedConfig(3, Shards));
  CHECK(Value.unservedDuring(Shards, seconds(10)) == Duration(0));
  for (std::size_t Index = 0; Index < 6; ++Index)
    CHECK(Value.at(Index).status(Value.m_Now).m_ShardsOwned == Shards / 6);
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("a shutdown hands every shard over and leaves") {
  Cluster Value = makeCluster();
  settle(Value);
  Value.at(4).beginShutdown(Value.m_Now);
  Value.run(seconds(5));
  CHECK(Value.at(4).drained());
  CHECK(Value.served(Shards) == Shards);
  CHECK(Value.at(0).status(Value.m_Now).m_Members == 5);
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("all daemons killed and started again serve again") {
  Cluster Value = makeCluster();
  settle(Value);
  for (std::size_t Index = 0; Index < 6; ++Index)
    Value.restart(Index);
  const Duration Took = Value.runUntilServed(Shards, seconds(20));
  CHECK(Took <= LossLimit + seconds(1));
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("all daemons frozen for long come back without a second owner") {
  Cluster Value = makeCluster();
  settle(Value);
  for (auto &Daemon : Value.m_Daemons)
    Daemon.m_Paused = true;
  Value.run(seconds(20));
  for (auto &Daemon : Value.m_Daemons)
    Daemon.m_Paused = false;
  Value.run(milliseconds(1));
  CHECK(Value.served(Shards) == 0);
  CHECK(Value.runUntilServed(Shards, seconds(10)) <= LossLimit);
  CHECK(Value.m_MostOwners == 1);
}

TEST_CASE("nothing moves in steady state") {
  Cluster Value = makeCluster();
  settle(Value);
  const Row Before = Value.m_Table.get(HeadRowKey);
  Value.run(seconds(60));
  CHECK(Value.m_Table.get(HeadRowKey) == Before);
}
