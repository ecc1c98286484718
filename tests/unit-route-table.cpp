// Tests of the route table: longest-prefix match, weighted shares, and the
// rejection of invalid configurations with a reason.
#include "balsamwheel/detail/routing/route_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

Route route(const std::string &Name, const std::string &Host,
            const std::string &Prefix) {
  return {.m_Name = Name,
          .m_Host = Host,
          .m_Prefix = Prefix,
          .m_Kind = RouteKind::Idempotent,
          .m_Timeout = 1s,
          .m_LatencyObjective = 500ms,
          .m_MaxAttempts = 2,
          .m_Shares = {{.m_Service = ServiceName("a"), .m_Weight = 1}}};
}

RouteTable table(std::vector<Route> Routes) {
  return RouteTable(ConfigVersion(3), {{.m_Name = ServiceName("a")}}, {},
                    std::move(Routes));
}

} // namespace

TEST_CASE("the longest matching prefix of the host is chosen") {
  const RouteTable Table =
      table({route("short", "h", "/a/"), route("long", "h", "/a/b/"),
             route("other", "g", "/a/b/c/"), route("root", "r", "/")});
  CHECK(Table.match("h", "/a/b/c")->m_Name == "long");
  CHECK(Table.match("h", "/a/x")->m_Name == "short");
  CHECK(Table.match("h", "/a/b?q=/a/b/c/")->m_Name == "short");
  CHECK(Table.match("r", "/any/thing")->m_Name == "root");
  CHECK(Table.match("h", "/b/") == nullptr);
  CHECK(Table.match("h", "/a") == nullptr);
  CHECK(Table.match("unknown", "/a/b/") == nullptr);
  CHECK(Table.match("h", "") == nullptr);
}

TEST_CASE(
    "a route of the same name for other requests was taken for the same") {
  const RouteTable Previous =
      table({route("same", "h", "/a/"), route("moved", "h", "/b/"),
             route("other host", "h", "/c/"), route("other kind", "h", "/d/"),
             route("removed", "h", "/e/")});
  Route Kept = route("same", "h", "/a/");
  Kept.m_Timeout = 5s;
  Route OtherKind = route("other kind", "h", "/d/");
  OtherKind.m_Kind = RouteKind::Download;
  const RouteTable Next =
      table({Kept, route("moved", "h", "/f/"), route("other host", "g", "/c/"),
             OtherKind, route("added", "h", "/e/")});
  CHECK(keptRoutes(Previous, Next) == std::set<std::string>{"same"});
}

TEST_CASE("an invalid configuration is rejected with a reason") {
  CHECK_FALSE(table({route("r", "h", "/a/")}).problem().has_value());
  const auto Problem = [](auto Change) {
    Route Changed = route("r", "h", "/a/");
    Change(Changed);
    return table({Changed}).problem().value_or("");
  };
  CHECK(Problem([](Route &R) { R.m_Host.clear(); }) == "route r: no host");
  CHECK(Problem([](Route &R) { R.m_Timeout = 0s; }) == "route r: no timeout");
  CHECK(Problem([](Route &R) { R.m_MaxAttempts = 0; }) ==
        "route r: no attempts");
  CHECK(Problem([](Route &R) { R.m_Shares.clear(); }) == "route r: no service");
  CHECK(Problem([](Route &R) { R.m_Shares[0].m_Weight = 0; }) ==
        "route r: a share without weight");
  CHECK(Problem([](Route &R) { R.m_Shares[0].m_Service = ServiceName("b"); }) ==
        "route r: unknown service b");
  CHECK(Problem([](Route &R) { R.m_Prefix = "/a"; }) != "");
  CHECK(table({route("r", "h", "/a/"), route("s", "h", "/a/")})
            .problem()
            .has_value());
}

TEST_CASE("shares are chosen by weight") {
  rc::check([] {
    Route Split = route("r", "h", "/a/");
    const auto First = *rc::gen::inRange<std::uint32_t>(1, 100);
    const auto Second = *rc::gen::inRange<std::uint32_t>(1, 100);
    Split.m_Shares = {{.m_Service = ServiceName("a"), .m_Weight = First},
                      {.m_Service = ServiceName("b"), .m_Weight = Second}};
    std::map<ServiceName, std::uint32_t> Chosen;
    for (std::uint64_t Point = 0; Point < First + Second; ++Point)
      ++Chosen[chooseShare(Split, Point)];
    RC_ASSERT(Chosen[ServiceName("a")] == First);
    RC_ASSERT(Chosen[ServiceName("b")] == Second);
  });
}
