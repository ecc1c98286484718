// Tests of configurations that add, drop and change the service of a daemon's
// target while calls to the table are in progress.
#include "router_rig.h"
#include "support/pick.h"

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

/// How a configuration contains the service "keyed".
enum class KeyedService { Missing, Undivided, GrantsByHeartbeat, GrantsByCall };

void configure(Rig &Rig, int Version, KeyedService Keyed) {
  std::string Text = configuration(Version);
  const auto Replace = [&](const std::string &From, const std::string &To) {
    Text.replace(Text.find(From), From.size(), To);
  };
  switch (Keyed) {
  case KeyedService::Missing: // Its route leads to the other service.
    Replace(R"(,
    {"Name":"keyed","MaxConnections":50,"Sharded":true})",
            "");
    Replace(R"("Service":"keyed")", R"("Service":"plain")");
    break;
  case KeyedService::Undivided:
    Replace(R"(,"Sharded":true)", "");
    break;
  case KeyedService::GrantsByCall:
    Replace(R"("Sharded":true)", R"("Sharded":true,"Grants":"direct")");
    break;
  case KeyedService::GrantsByHeartbeat:
    break;
  }
  Rig.m_Rows.put(TableName::Operators, "config", Text);
}

} // namespace

// Guards against a callback into the coordinator of a service that has left the
// configuration (LOST).
TEST_CASE("the reply to a commit ended the daemon when its service had left "
          "the configuration") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Rig.add("b", "plain").sendHeartbeat();
  Rig.configure(1);
  Rig.waitUntilGranted(A);
  Rig.waitUntilServed(A, "/read/1");
  A.m_Table.m_CommitDelay = 300ms;
  REQUIRE(Rig.runUntil([&] { return A.m_Table.m_CommitsInProgress > 0; }));
  configure(Rig, 2, KeyedService::Missing);
  REQUIRE(Rig.runUntil([&] {
    const HeartbeatReply Reply = A.sendHeartbeat();
    return Reply.m_Accepted && !Reply.m_Grants;
  }));
  REQUIRE(A.m_Table.m_CommitsInProgress > 0);
  REQUIRE(Rig.runUntil([&] { return A.m_Table.m_CommitsInProgress == 0; }));
  CHECK(Rig.call(A, "/read/2").m_Status == 200);
  CHECK(Rig.call(A, "/key/2", "GET", 5).m_Status == 200);
}

TEST_CASE("each request is answered while services come and go and the table "
          "answers late or not at all") {
  CHECK(rc::check([] {
    Rig Rig;
    Instance &A = Rig.add("a", "keyed");
    Instance &B = Rig.add("b", "keyed");
    Instance &C = Rig.add("c", "plain");
    const std::vector<Instance *> All{&A, &B, &C};
    Rig.configure(1);
    C.sendHeartbeat();
    Rig.waitUntilGranted(A);
    Rig.waitUntilServed(A, "/read/1");
    std::vector<std::shared_ptr<std::optional<HttpCallResult>>> Results;
    int Version = 1;
    for (Instance *Each : All)
      Each->m_Table.m_CommitDelay = 150ms;
    for (int Step = 0; Step < 200; ++Step) {
      Instance &Each = *All[static_cast<std::size_t>(pick(3))];
      switch (pick(8)) {
      case 0:
        configure(Rig, ++Version, static_cast<KeyedService>(pick(4)));
        break;
      case 1:
        Each.m_Table.m_CommitDelay = std::chrono::milliseconds(pick(300));
        break;
      case 2:
        Each.m_Table.m_Unreachable = pick(3) == 0;
        break;
      case 3:
        // The target starts anew, so that its keys get other fences.
        ++Each.m_TargetStartTimeMs;
        Each.m_Sequence = 0;
        [[fallthrough]];
      case 4:
      case 5:
        Each.sendHeartbeat();
        break;
      default:
        Results.push_back(Rig.start(Each, "/key/1", "GET", pick(65536)));
        break;
      }
      Rig.runFor(std::chrono::milliseconds(1 + pick(20)));
    }
    for (const auto &Each : Results) {
      RC_ASSERT(Rig.runUntil([&] { return Each->has_value(); }));
      RC_ASSERT((*Each)->m_CallOutcome == HttpCallOutcome::Answered);
    }
  }));
}
