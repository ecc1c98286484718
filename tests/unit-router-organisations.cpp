// Complete routers that serve organisations: authentication by API key, and
// what targets and logs learn of it.
#include "router_rig.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <mutex>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// Two instances; the requests that their targets get are recorded.
struct OrganisationRig {
  OrganisationRig()
      : m_Entrance(m_Rig.add("a", "other")), m_Owner(m_Rig.add("b", "plain")) {
    m_Owner.m_Target.m_Behaviour =
        [this](const std::string &Request) -> std::optional<RawReply> {
      const std::lock_guard Lock(m_Mutex);
      m_LastRequest = Request;
      return std::nullopt;
    };
    m_Rig.m_ApiKey = "key-1";
    configure(1, {{{"Name", "org"}, {"ApiKeys", {"key-1"}}}});
    for (const auto &Each : m_Rig.m_Instances)
      Each->sendHeartbeat();
    m_Rig.waitUntilServed(m_Entrance, "/read/1");
  }

  void configure(int Version, const nlohmann::json &Organisations) {
    nlohmann::json Configuration = nlohmann::json::parse(
        configuration(Version,
                      R"(,{"Name":"open","Prefix":"/open/","Kind":"safe",
        "TimeoutS":2,"TargetLatencyS":1,"MaxAttempts":2,"Priority":1,
        "Service":"plain","Public":true})"));
    Configuration["Services"].push_back({{"Name", "other"}});
    Configuration["Tenants"] = Organisations;
    m_Rig.m_Rows.put(TableName::Operators, "config", Configuration.dump());
  }

  unsigned statusWithKey(const std::string &Key,
                         const std::string &Path = "/read/1") {
    m_Rig.m_ApiKey = Key;
    return m_Rig.call(m_Entrance, Path).m_Status;
  }

  std::string lastRequest() {
    const std::lock_guard Lock(m_Mutex);
    return m_LastRequest;
  }

  Rig m_Rig;
  Instance &m_Entrance;
  Instance &m_Owner;
  std::mutex m_Mutex;
  std::string m_LastRequest;
};

} // namespace

TEST_CASE("a target gets the organisation's name and never the key") {
  OrganisationRig Rig;
  CHECK(Rig.statusWithKey("key-1") == 200);
  CHECK(headerOf(Rig.lastRequest(), "X-Tenant-Id: ") == "org");
  CHECK(Rig.lastRequest().find("key-1") == std::string::npos);
}

TEST_CASE("a request with an unknown key or none is answered 401 and reaches "
          "no target") {
  OrganisationRig Rig;
  const int Before = Rig.m_Owner.m_Target.m_Arrivals;
  for (const char *Key : {"key-2", "KEY-1", ""})
    CHECK(Rig.statusWithKey(Key) == 401);
  CHECK(Rig.m_Owner.m_Target.m_Arrivals == Before);
  CHECK(Rig.statusWithKey("key-2", "/unknown/") == 404);
}

TEST_CASE("a public route needs no key, and names no organisation") {
  OrganisationRig Rig;
  CHECK(Rig.statusWithKey("", "/open/1") == 200);
  CHECK(Rig.lastRequest().find("X-Tenant-Id") == std::string::npos);
  CHECK(Rig.statusWithKey("key-2", "/open/1") == 200);
  CHECK(Rig.lastRequest().find("key-2") == std::string::npos);
}

TEST_CASE("a new configuration ends old keys and starts new ones on open "
          "connections") {
  OrganisationRig Rig;
  Rig.configure(2, {{{"Name", "org"}, {"ApiKeys", {"key-2"}}}});
  REQUIRE(Rig.m_Rig.runUntil(
      [&, Done = std::shared_ptr<std::optional<HttpCallResult>>()]() mutable {
        Rig.m_Rig.m_ApiKey = "key-2";
        if (Done && Done->has_value() && (*Done)->m_Answer.m_Status == 200)
          return true;
        if (!Done || Done->has_value())
          Done = Rig.m_Rig.start(Rig.m_Entrance, "/read/1", "GET");
        return false;
      }));
  CHECK(Rig.statusWithKey("key-1") == 401);
  CHECK(Rig.statusWithKey("key-2") == 200);
}

TEST_CASE("an invalid list of organisations leaves the earlier version in "
          "force") {
  OrganisationRig Rig;
  Rig.configure(2, {{{"Name", "org"}, {"ApiKeys", {"key-2"}}},
                    {{"Name", "org"}, {"ApiKeys", {"key-3"}}}});
  Rig.m_Rig.runFor(300ms);
  CHECK(Rig.statusWithKey("key-1") == 200);
  CHECK(Rig.statusWithKey("key-2") == 401);
}

TEST_CASE("a nested request whose parent isn't known is refused as not run, "
          "not as unauthenticated") {
  OrganisationRig Rig;
  Rig.m_Rig.m_ApiKey.clear();
  auto Result =
      Rig.m_Rig.start(Rig.m_Entrance, "/read/1", "GET", -1, "parent.1");
  REQUIRE(Rig.m_Rig.runUntil([&] { return Result->has_value(); }));
  CHECK((*Result)->m_Answer.m_Status == 503);
}
