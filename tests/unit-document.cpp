// The stored format of the configuration and of its deltas.
#include "balsamwheel/coordination.h"

#include <doctest/doctest.h>

using namespace balsamwheel;

namespace {

Config makeConfig(std::uint64_t Version) {
  Config Result;
  Result.m_Version = ConfigVersion(Version);
  Result.m_Manifest.m_Deployment = "test";
  Result.m_Manifest.m_Domains = {{DomainName("a"), RegionName("r")}};
  Service Sharded;
  Sharded.m_Name = ServiceName("orders");
  Sharded.m_DividedByKey = true;
  Sharded.m_Shards = 16;
  RequestClass Class;
  Class.m_Name = ClassName("place");
  Class.m_Idempotent = false;
  Class.m_Match = {"POST /orders"};
  Sharded.m_Classes = {Class};
  Result.m_Manifest.m_Services = {Sharded};
  return Result;
}

} // namespace

TEST_CASE("a configuration converted to a document and back is unchanged") {
  const Config Value = makeConfig(3);
  CHECK(fromDocument(toDocument(Value)) == Value);
}

TEST_CASE("a document in an unexpected format is rejected") {
  CHECK_FALSE(fromDocument(nlohmann::json::array()).has_value());
  CHECK_FALSE(fromDocument({{"version", "three"}}).has_value());
}

TEST_CASE("a delta applies only to the version before it") {
  const Config Base = makeConfig(3);
  Config Next = Base;
  Next.m_Version = ConfigVersion(4);
  Next.m_DomainsOut = {DomainName("a")};
  const Transaction Commit = makeConfigCommit(
      {ConfigHeadRowKey, RowVersion(9), ""}, Base, Next, WriteId(77));

  REQUIRE(Commit.m_Writes.size() == 2);
  const std::string &Patch = *Commit.m_Writes.at(1).m_Value;
  CHECK(applyDelta(Base, Patch) == Next);
  CHECK_FALSE(applyDelta(Next, Patch).has_value());
  CHECK(configFromRow({ConfigHeadRowKey, RowVersion(10),
                       *Commit.m_Writes.at(0).m_Value}) == Next);
  CHECK(Commit.m_Conditions.at(0).m_Version == RowVersion(9));
}
