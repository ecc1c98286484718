// Complete routers whose organisations have quotas: what is over the quota
// reaches no target, and a killed keeper is replaced.
#include "router_rig.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// Returns the name of an organisation whose keeper is \p Keeper while all
/// three instances are up.
std::string organisationKeptBy(const std::string &Keeper) {
  const auto Score = [](const std::string &Name, QuotaGroup Group) {
    return mixHash(hashKey(Name).value(), Group.value());
  };
  for (int Index = 0;; ++Index) {
    const std::string Name = "org" + std::to_string(Index);
    const QuotaGroup Group = quotaGroupOf(OrganisationName(Name));
    std::string Best = "a";
    for (const char *Each : {"b", "c"})
      if (Score(Each, Group) > Score(Best, Group))
        Best = Each;
    if (Best == Keeper)
      return Name;
  }
}

/// Three instances; "a" and "b" are entrances without targets of the service.
struct QuotaRig {
  explicit QuotaRig(std::string Organisation = "org")
      : m_Organisation(std::move(Organisation)), m_A(m_Rig.add("a", "other")),
        m_B(m_Rig.add("b", "other")), m_Owner(m_Rig.add("c", "plain")) {
    m_Rig.m_ApiKey = "key-1";
  }

  void configure(int Version, double Rate, double Burst) {
    nlohmann::json Configuration =
        nlohmann::json::parse(configuration(Version));
    Configuration["Services"].push_back({{"Name", "other"}});
    Configuration["Tenants"] = {{{"Name", m_Organisation},
                                 {"ApiKeys", {"key-1"}},
                                 {"RatePerS", Rate},
                                 {"Burst", Burst}}};
    m_Rig.m_Rows.put(TableName::Operators, "config", Configuration.dump());
  }

  void startServing(double Rate, double Burst) {
    configure(1, Rate, Burst);
    for (const auto &Each : m_Rig.m_Instances)
      Each->sendHeartbeat();
    waitUntilServed(m_A);
    waitUntilServed(m_B);
  }

  void waitUntilServed(Instance &Entrance) {
    for (int Try = 0; Try < 100; ++Try) {
      if (m_Rig.call(Entrance, "/read/1").m_Status == 200)
        return;
      m_Rig.runFor(50ms);
    }
    FAIL("not served");
  }

  struct Counts {
    int m_Served = 0;
    int m_OverQuota = 0;
    int m_Other = 0;
  };

  /// Sends requests to the entrances in turn, one each \p Gap.
  Counts send(const std::vector<Instance *> &Entrances, Duration Time,
              Duration Gap) {
    std::vector<std::shared_ptr<std::optional<HttpCallResult>>> Calls;
    const TimePoint Started = bootNow();
    while (bootNow() - Started < Time) {
      if (bootNow() - Started >= Gap * static_cast<int>(Calls.size()))
        Calls.push_back(m_Rig.start(*Entrances[Calls.size() % Entrances.size()],
                                    "/read/1", "GET"));
      else
        m_Rig.runFor(Gap / 4);
    }
    const auto Ended = [](const auto &Call) { return Call->has_value(); };
    REQUIRE(m_Rig.runUntil(
        [&] { return std::all_of(Calls.begin(), Calls.end(), Ended); }));
    Counts Result;
    for (const auto &Call : Calls) {
      const unsigned Status = (*Call)->m_Answer.m_Status;
      Result.m_Served += Status == 200 ? 1 : 0;
      Result.m_OverQuota += Status == 429 ? 1 : 0;
      Result.m_Other += Status != 200 && Status != 429 ? 1 : 0;
    }
    return Result;
  }

  bool hasSharesRow() const {
    return m_Rig.m_Rows.m_Rows.contains(
        {TableName::Own, QuotaService::sharesRow()});
  }

  std::string m_Organisation;
  Rig m_Rig;
  Instance &m_A;
  Instance &m_B;
  Instance &m_Owner;
};

} // namespace

TEST_CASE("without a quota no shares are written") {
  QuotaRig Rig;
  Rig.startServing(0, 0);
  Rig.m_Rig.runFor(2500ms);
  CHECK(!Rig.hasSharesRow());
  CHECK(Rig.m_A.m_Metrics.toText().find("quota_requests_total{") ==
        std::string::npos);
}

TEST_CASE("requests over the quota are answered 429 and reach no target, over "
          "two entrances together") {
  QuotaRig Rig;
  Rig.startServing(10, 5);
  CHECK(Rig.hasSharesRow());
  Rig.m_Rig.runFor(3s);
  const int Before = Rig.m_Owner.m_Target.m_Arrivals;
  const auto Counts = Rig.send({&Rig.m_A, &Rig.m_B}, 3s, 20ms);
  CHECK(Counts.m_Other == 0);
  CHECK(Counts.m_Served >= 25);
  CHECK(Counts.m_Served <= 37);
  CHECK(Counts.m_OverQuota >= 60);
  CHECK(Rig.m_Owner.m_Target.m_Arrivals - Before == Counts.m_Served);
  CHECK(Rig.m_A.m_Metrics.toText().find(
            "balsamwheel_quota_requests_total{organisation=\"org\","
            "result=\"denied\"}") != std::string::npos);
}

TEST_CASE("requests within the quota are served at one entrance") {
  QuotaRig Rig;
  Rig.startServing(40, 20);
  Rig.m_Rig.runFor(3s);
  const auto Counts = Rig.send({&Rig.m_A}, 2s, 40ms);
  CHECK(Counts.m_OverQuota == 0);
  CHECK(Counts.m_Other == 0);
}

TEST_CASE("a request that no target could run costs no token") {
  QuotaRig Rig;
  Rig.startServing(0.5, 4);
  Rig.m_Rig.runFor(9s);
  Rig.m_Owner.m_Target.m_Behaviour = [](const std::string &Request) {
    return std::optional(
        RawReply{.m_Bytes = "HTTP/1.1 503 Busy\r\nX-Request-Id: " +
                            headerOf(Request, "X-Request-Id: ") +
                            "\r\nX-Server-Signature: s\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n"});
  };
  int Refused = 0;
  for (int Count = 0; Count < 12; ++Count) {
    Refused += Rig.m_Rig.call(Rig.m_A, "/read/1").m_Status == 503 ? 1 : 0;
    Rig.m_Rig.runFor(250ms);
  }
  CHECK(Refused == 12);
}

TEST_CASE("a killed keeper's organisations are served again in time") {
  QuotaRig Rig(organisationKeptBy("a"));
  Rig.startServing(50, 50);
  Rig.m_Rig.runFor(4s);
  REQUIRE(Rig.send({&Rig.m_B}, 1s, 100ms).m_Served >= 9);
  // Another daemon in its place: "a" itself is gone.
  Rig.m_A.m_Settings.m_Instance = InstanceName("z");
  Rig.m_A.restartRouter(Rig.m_Rig.m_Loop, Rig.m_Rig.m_Log);
  const TimePoint KilledAt = bootNow();
  Rig.waitUntilServed(Rig.m_B);
  MESSAGE("served again after ms: ", (bootNow() - KilledAt) / 1ms);
  CHECK(bootNow() - KilledAt < 2700ms);
  Rig.m_Rig.runFor(1s);
  CHECK(Rig.send({&Rig.m_B}, 1s, 100ms).m_Served >= 9);
}

TEST_CASE("a keeper that stops in order is left without a gap") {
  QuotaRig Rig(organisationKeptBy("a"));
  Rig.startServing(50, 50);
  Rig.m_Rig.runFor(4s);
  Rig.m_A.m_Router->beginStop();
  const auto Counts = Rig.send({&Rig.m_B}, 2s, 100ms);
  CHECK(Counts.m_Other == 0);
  CHECK(Counts.m_Served >= 18);
}

TEST_CASE("a lowered quota is in force, and a removed one ends") {
  QuotaRig Rig;
  Rig.startServing(50, 50);
  Rig.m_Rig.runFor(3s);
  Rig.configure(2, 5, 1);
  Rig.m_Rig.runFor(1500ms);
  CHECK(Rig.send({&Rig.m_A}, 2s, 50ms).m_Served <= 13);
  Rig.configure(3, 0, 0);
  Rig.m_Rig.runFor(1500ms);
  CHECK(Rig.send({&Rig.m_A}, 1s, 25ms).m_OverQuota == 0);
}

TEST_CASE("the metrics name the organisations with the most requests only") {
  RouterMetrics Metrics;
  const auto Count = [&](int First, int Last, int Times) {
    for (int Index = First; Index <= Last; ++Index)
      for (int Time = 0; Time < Times; ++Time)
        Metrics.quota().count(OrganisationName("o" + std::to_string(Index)),
                              "granted");
  };
  const auto Has = [&](const std::string &Label) {
    return Metrics.toText().find("organisation=\"" + Label + "\"") !=
           std::string::npos;
  };
  Count(100, 129, 1);
  CHECK(Has("o119"));
  CHECK(!Has("o120"));
  CHECK(Has("other"));
  Count(120, 129, 5);
  Metrics.quota().chooseLabels();
  Count(120, 129, 1);
  CHECK(Has("o129"));
  // Of those with one request each, the last by name stay.
  CHECK(!Has("o105"));
}
