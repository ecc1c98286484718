// Complete routers on loopback whose store returns to an earlier copy: it loses
// acknowledged writes and gives out their versions again.
#include "platform/store_client.h"
#include "router_rig.h"
#include "support/foreign_texts.h"
#include "support/store_stand_in.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

constexpr const char *NewRoute =
    R"(,{"Name":"new","Prefix":"/new/","Kind":"safe","TimeoutS":2,
        "TargetLatencyS":1,"MaxAttempts":1,"Service":"plain"})";

/// A router whose tables are in a stand-in store.
struct StoredInstance {
  StoredInstance(EventLoop &Loop, EventLog &Log, const StoreStandIn &Store,
                 const std::string &Name, const std::string &Service)
      : m_Service(Loop, *Endpoint::fromText(Store.address()), m_Metrics, Log) {
    m_Settings.m_Instance = InstanceName(Name);
    m_Settings.m_Domain = DomainName("domain-" + Name);
    m_Settings.m_Service = ServiceName(Service);
    m_Settings.m_Target = m_Target.endpoint();
    m_Settings.m_Callers = freeEndpoint();
    m_Settings.m_Peers = freeEndpoint();
    m_Settings.m_HeartbeatInterval = 200ms;
    m_Router = std::make_unique<Router>(Loop, m_Settings, m_Format, m_Operators,
                                        m_Service, m_Metrics, Log);
    REQUIRE(m_Router->start());
    m_Callers = std::make_unique<HttpClient>(Loop, m_Settings.m_Callers,
                                             HttpClientOptions{});
  }

  HeartbeatReply sendHeartbeat() {
    TargetHeartbeat Heartbeat;
    Heartbeat.m_Target = {
        .m_Id = targetId("target-" + m_Settings.m_Instance.value()),
        .m_StartTimeMs = 1};
    Heartbeat.m_Service = m_Settings.m_Service;
    Heartbeat.m_Address = m_Settings.m_Target;
    Heartbeat.m_Slots = 4;
    Heartbeat.m_Sequence = ++m_Sequence;
    return m_Router->onHeartbeat(Heartbeat);
  }

  Target m_Target;
  RouterSettings m_Settings;
  platform::HttpExchangeFormat m_Format;
  platform::OperatorTables m_Operators;
  RouterMetrics m_Metrics;
  platform::StoreClient m_Service;
  std::unique_ptr<Router> m_Router;
  std::unique_ptr<HttpClient> m_Callers;
  std::uint64_t m_Sequence = 0;
  HeartbeatReply m_LastReply;
};

class RollbackRig {
public:
  RollbackRig()
      : m_Loop({.m_MaxSleep = 20ms}), m_Log(m_Loop, {.m_Output = -1}) {}

  StoredInstance &add(const std::string &Name, const std::string &Service) {
    m_Instances.push_back(std::make_unique<StoredInstance>(
        m_Loop, m_Log, m_Store, Name, Service));
    return *m_Instances.back();
  }

  /// Adds an instance, waits until it serves, and takes the store's copy.
  StoredInstance &startServing() {
    StoredInstance &Added = add("a", "plain");
    configure(1);
    Added.sendHeartbeat();
    REQUIRE(answeredWithin(Added, "/read/1", 200, 5s));
    m_Store.copy();
    return Added;
  }

  void configure(int Version, const std::string &Extra = "") {
    m_Store.put("op", "config", configuration(Version, Extra));
  }

  bool runUntil(const std::function<bool()> &Done, Duration Limit = 10s) {
    const TimePoint End = bootNow() + Limit;
    bool Reached = false;
    m_Loop.run([&] {
      Reached = Done();
      if (Reached || bootNow() > End)
        m_Loop.stop();
    });
    return Reached;
  }

  void runFor(Duration Time) {
    const TimePoint End = bootNow() + Time;
    runUntil([&] { return bootNow() >= End; }, Time + 1s);
  }

  unsigned call(StoredInstance &Entrance, const std::string &Path,
                int Key = -1) {
    HttpCall Call{.m_Timeout = 5s};
    Call.m_Request = {.m_Method = "GET", .m_Target = Path};
    Call.m_Request.m_Headers.add("Host", "h");
    Call.m_Request.m_Headers.add("X-Request-Id",
                                 "id" + std::to_string(++m_LastRequestId));
    Call.m_Request.m_Headers.add("X-Deadline-Ms", "3000");
    if (Key >= 0)
      Call.m_Request.m_Headers.add("X-Shard-Key", std::to_string(Key));
    std::optional<HttpCallResult> Result;
    Entrance.m_Callers->call(std::move(Call), [&](HttpCallResult Done) {
      Result = std::move(Done);
    });
    REQUIRE(runUntil([&] { return Result.has_value(); }));
    return Result->m_Answer.m_Status;
  }

  /// Calls \p Path until it is answered \p Status, for at most \p Limit.
  bool answeredWithin(StoredInstance &Entrance, const std::string &Path,
                      unsigned Status, Duration Limit) {
    const TimePoint End = bootNow() + Limit;
    while (bootNow() < End) {
      if (call(Entrance, Path) == Status)
        return true;
      runFor(20ms);
    }
    return false;
  }

  EventLoop m_Loop;
  EventLog m_Log;
  StoreStandIn m_Store;
  std::vector<std::unique_ptr<StoredInstance>> m_Instances;
  int m_LastRequestId = 0;
};

} // namespace

// ConfigApplyS of the smallest deployment.
constexpr Duration ConfigLimit = std::chrono::seconds(2);

TEST_CASE("a configuration written after a rollback is applied in time") {
  RollbackRig Rig;
  StoredInstance &A = Rig.startServing();
  // The lost version of the configuration's row is above the later one.
  Rig.m_Store.skipVersions(100);
  Rig.configure(2);
  Rig.runFor(200ms);
  Rig.m_Store.rollBack();
  Rig.configure(3, NewRoute);
  CHECK(Rig.answeredWithin(A, "/new/1", 200, ConfigLimit));
}

TEST_CASE("a configuration whose row version was given out before is applied") {
  RollbackRig Rig;
  StoredInstance &A = Rig.startServing();
  Rig.configure(2);
  Rig.runFor(200ms);
  // The rollback and the next write fall between two watches.
  Rig.m_Store.setUnavailable(true);
  Rig.runFor(50ms);
  Rig.m_Store.rollBack();
  Rig.configure(3, NewRoute);
  Rig.m_Store.setUnavailable(false);
  CHECK(Rig.answeredWithin(A, "/new/1", 200, ConfigLimit));
}

TEST_CASE("a daemon that starts after a rollback gets the lost configuration "
          "from a peer") {
  RollbackRig Rig;
  StoredInstance &A = Rig.startServing();
  Rig.configure(2, NewRoute);
  REQUIRE(Rig.answeredWithin(A, "/new/1", 200, ConfigLimit));
  Rig.m_Store.rollBack();
  StoredInstance &B = Rig.add("b", "plain");
  B.sendHeartbeat();
  CHECK(Rig.answeredWithin(B, "/new/1", 200, 5s));
  CHECK(Rig.call(A, "/new/1") == 200);
}

TEST_CASE("an evacuation that the store has lost stays in force") {
  RollbackRig Rig;
  StoredInstance &A = Rig.startServing();
  Rig.m_Store.put("op", "evacuate/domain-a", "{}");
  REQUIRE(Rig.answeredWithin(A, "/read/1", 503, 5s));
  const int Arrivals = A.m_Target.m_Arrivals;
  Rig.m_Store.rollBack();
  Rig.runFor(1s);
  CHECK(Rig.call(A, "/read/1") == 503);
  CHECK(A.m_Target.m_Arrivals == Arrivals);
  // The operators' next write decides again.
  Rig.m_Store.put("op", "evacuate/domain-a", "{}");
  Rig.runFor(200ms);
  Rig.m_Store.put("op", "evacuate/domain-a", std::nullopt);
  CHECK(Rig.answeredWithin(A, "/read/1", 200, 5s));
}

TEST_CASE("member rows that the store has lost are back within two seconds") {
  RollbackRig Rig;
  Rig.m_Store.copy();
  Rig.add("a", "plain");
  Rig.add("b", "plain");
  const auto Present = [&] {
    return Rig.m_Store.value("balsamwheel", "member/a") &&
           Rig.m_Store.value("balsamwheel", "member/b");
  };
  REQUIRE(Rig.runUntil(Present));
  Rig.runFor(200ms);
  Rig.m_Store.rollBack();
  REQUIRE_FALSE(Present());
  CHECK(Rig.runUntil(Present, 2s));
}

namespace {

/// Sends heartbeats of all instances until \p Done returns true.
bool beatUntil(RollbackRig &Rig, const std::function<bool()> &Done,
               Duration Limit) {
  const TimePoint End = bootNow() + Limit;
  while (bootNow() < End) {
    for (const auto &Each : Rig.m_Instances)
      Each->m_LastReply = Each->sendHeartbeat();
    Rig.runFor(50ms);
    if (Done())
      return true;
  }
  return false;
}

bool hasKeys(const StoredInstance &Instance) {
  return Instance.m_LastReply.m_Grants &&
         !Instance.m_LastReply.m_Grants->empty();
}

bool sameGrants(const std::vector<GrantSpan> &Left,
                const std::vector<GrantSpan> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const GrantSpan &One, const GrantSpan &Other) {
                      return One.m_First == Other.m_First &&
                             One.m_Last == Other.m_Last &&
                             One.m_Fence == Other.m_Fence;
                    });
}

} // namespace

TEST_CASE("targets keep their keys and fences when the store loses the map") {
  RollbackRig Rig;
  Rig.configure(1);
  Rig.m_Store.copy();
  StoredInstance &A = Rig.add("a", "keyed");
  StoredInstance &B = Rig.add("b", "keyed");
  REQUIRE(beatUntil(Rig, [&] { return hasKeys(A) && hasKeys(B); }, 8s));
  const auto GrantsOfA = *A.m_LastReply.m_Grants;
  const auto GrantsOfB = *B.m_LastReply.m_Grants;
  Rig.m_Store.rollBack();
  // No heartbeat takes keys away, and both are granted again before their
  // holds of 7 s end.
  bool Kept = true;
  bool Renewed = false;
  beatUntil(
      Rig,
      [&] {
        const bool Granted = A.m_LastReply.m_Grants && B.m_LastReply.m_Grants;
        if (A.m_LastReply.m_Grants)
          Kept &= sameGrants(*A.m_LastReply.m_Grants, GrantsOfA);
        if (B.m_LastReply.m_Grants)
          Kept &= sameGrants(*B.m_LastReply.m_Grants, GrantsOfB);
        Renewed |= Granted &&
                   Rig.m_Store.value("balsamwheel", "keys/2/keyed").has_value();
        return false;
      },
      5s);
  CHECK(Kept);
  CHECK(Renewed);
}
