// Complete routers on loopback: their connections to each other.
#include "link/peer_link.h"
#include "router_rig.h"
#include "support/peer_stand_in.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

TEST_CASE("a daemon that can't reach the table gets rows from its peers") {
  Rig Rig;
  Rig.add("a", "plain");
  Instance &B = Rig.add("b", "plain");
  Rig.startServing();
  REQUIRE(Rig.runUntil([&] { return !Rig.m_Rows.m_Watches.empty(); }));
  B.m_Table.m_Unreachable = true;
  Rig.configure(2, R"(,{"Name":"new","Prefix":"/new/","Kind":"safe",
    "TimeoutS":2,"TargetLatencyS":1,"MaxAttempts":1,"Service":"plain"})");
  Rig.runFor(1s);
  CHECK(Rig.call(B, "/new/1").m_Status == 200);
}

TEST_CASE("a connection that fails in one direction only is closed") {
  // The peer's reports arrive, but nothing that is sent to it does.
  Rig Rig;
  Instance &Local = Rig.add("a", "plain");
  int RequestCount = 0;
  PeerStandIn Unresponsive(Rig.m_Loop, [&](PeerLink &, const LinkFrame &Frame) {
    RequestCount += Frame.kind == LinkFrameKind::Request ? 1 : 0;
  });
  std::function<void()> Report = [&] {
    Unresponsive.sendReports();
    Rig.m_Loop.after(100ms, Report);
  };
  Report();
  Rig.m_Rows.put(TableName::Own, "member/b", Unresponsive.memberRow("plain"));
  Rig.configure(1);
  REQUIRE(Rig.runUntil([&] { return Local.m_Router->ready(); }));
  REQUIRE(Rig.runUntil([&] { return Unresponsive.accepted() > 0; }));
  for (int Try = 0; Try < 50 && RequestCount == 0; ++Try) {
    Rig.start(Local, "/write/1", "POST");
    Rig.runFor(50ms);
  }
  REQUIRE(RequestCount > 0);
  CHECK(Rig.runUntil([&] { return Unresponsive.closed() > 0; }));
}

// Guards against the end of the planner (LOST): a daemon of an earlier version
// may report an id that can't be read.
TEST_CASE("a peer's target with an id that can't be read ended the daemon") {
  Rig Rig;
  Instance &Local = Rig.add("a", "keyed");
  PeerStandIn Peer(Rig.m_Loop);
  Peer.m_TargetId = "i-\xff";
  Rig.m_Rows.put(TableName::Own, "member/b", Peer.memberRow("keyed"));
  Rig.configure(1);
  std::function<void()> Report = [&] {
    Peer.sendReports();
    Rig.m_Loop.after(100ms, Report);
  };
  Report();
  Rig.waitUntilGranted(Local);
  REQUIRE(Rig.runUntil([&] { return Peer.accepted() > 0; }));
  const TimePoint End = bootNow() + 3s;
  REQUIRE(Rig.runUntil([&] {
    Local.sendHeartbeat();
    return bootNow() > End;
  }));
  CHECK(Rig.call(Local, "/key/1", "GET", 5).m_Status == 200);
}

// Guards against a caller that gets a status of 000, or waits until its
// deadline (MIXED): a daemon of an earlier version may pass such an answer on.
TEST_CASE("an invalid status in a peer's answer reached the caller") {
  Rig Rig;
  Instance &Local = Rig.add("a", "keyed");
  LinkFrame Answer;
  Answer.kind = LinkFrameKind::Answer;
  const PeerStandIn Peer(Rig.m_Loop,
                         [&](PeerLink &Link, const LinkFrame &Frame) {
                           if (Frame.kind != LinkFrameKind::Request)
                             return;
                           Answer.stream = Frame.stream;
                           Link.send(Answer);
                         });
  Rig.m_Rows.put(TableName::Own, "member/b", Peer.memberRow("plain"));
  Rig.configure(1);
  Answer.status = 200;
  Answer.reached_target = true;
  Rig.waitUntilServed(Local, "/read/1");
  for (const std::uint16_t Status : {0, 99, 100, 101, 199, 600, 999, 65535}) {
    CAPTURE(Status);
    Answer.status = Status;
    CHECK(Rig.call(Local, "/write/1", "POST").m_Status == 502);
  }
  // An outcome that this version doesn't know proves nothing.
  Answer.status = 200;
  Answer.outcome = 200;
  CHECK(Rig.call(Local, "/write/1", "POST").m_Status == 502);
  Answer.outcome = static_cast<std::uint8_t>(Outcome::Done);
  CHECK(Rig.call(Local, "/write/1", "POST").m_Status == 200);
}

TEST_CASE(
    "a daemon rejects connections meant for the former user of its address") {
  Rig Rig;
  Instance &Remote = Rig.add("new", "plain");
  Rig.configure(1);
  Remote.sendHeartbeat();
  REQUIRE(Rig.runUntil([&] { return Remote.m_Router->ready(); }));
  struct Observed {
    std::unique_ptr<PeerLink> m_Link;
    int m_Reports = 0;
    int m_Ended = 0;
  };
  const auto Open = [&](const std::string &Wanted) {
    auto Result = std::make_unique<Observed>();
    Observed &Entry = *Result;
    PeerLinkEvents Events;
    Events.m_OnFrame = [&Entry](std::unique_ptr<LinkFrame> Frame,
                                const LinkBody &) {
      Entry.m_Reports += Frame->kind == LinkFrameKind::Report ? 1 : 0;
    };
    Events.m_OnEnd = [&Entry](const char *) { ++Entry.m_Ended; };
    Entry.m_Link = std::make_unique<PeerLink>(Rig.m_Loop, std::move(Events));
    REQUIRE(Entry.m_Link->connect(Remote.m_Settings.m_Peers));
    LinkFrame Hello;
    Hello.kind = LinkFrameKind::Hello;
    Hello.instance = "a";
    Hello.wanted = Wanted;
    Entry.m_Link->send(Hello);
    return Result;
  };
  const auto Former = Open("former");
  const auto Present = Open("new");
  CHECK(Rig.runUntil([&] { return Present->m_Reports > 0; }));
  CHECK(Rig.runUntil([&] { return Former->m_Ended > 0; }));
  CHECK(Former->m_Reports == 0);
  CHECK(Present->m_Ended == 0);
}

TEST_CASE("a request delayed on the link beyond its deadline isn't run") {
  Rig Rig;
  Instance &Remote = Rig.add("b", "plain");
  Rig.configure(1);
  Remote.sendHeartbeat();
  REQUIRE(Rig.runUntil([&] { return Remote.m_Router->ready(); }));

  std::vector<std::unique_ptr<LinkFrame>> Answers;
  PeerLink Link(Rig.m_Loop, {.m_OnFrame = [&](auto Frame, const LinkBody &) {
                  if (Frame->kind == LinkFrameKind::Answer)
                    Answers.push_back(std::move(Frame));
                }});
  REQUIRE(Link.connect(Remote.m_Settings.m_Peers));
  const auto Send = [&](LinkFrameKind Kind, Duration Ago) {
    LinkFrame Frame;
    Frame.kind = Kind;
    Frame.instance = "a";
    Frame.service = "plain";
    Frame.method = "GET";
    Frame.target = "/read/1";
    Frame.route = "read";
    Frame.stream = 1;
    Frame.objective_left = Frame.deadline_left = Duration(2s).count();
    Frame.sent_at = (bootNow() - Ago).time_since_epoch().count();
    Link.send(Frame);
  };
  Send(LinkFrameKind::Hello, 0s);
  Send(LinkFrameKind::Request, 3s);
  REQUIRE(Rig.runUntil([&] { return Answers.size() == 1; }));
  CHECK(Answers[0]->outcome != static_cast<std::uint8_t>(Outcome::Done));
  CHECK(!Answers[0]->reached_target);
  CHECK(Remote.m_Target.m_Arrivals == 0);
  Send(LinkFrameKind::Request, 0s);
  REQUIRE(Rig.runUntil([&] { return Answers.size() == 2; }));
  CHECK(Remote.m_Target.m_Arrivals == 1);
}

namespace {

/// Peers of a failure domain that only send what the test tells them to.
class SilentPeers {
public:
  explicit SilentPeers(Rig &Rig, const std::string &Domain, int Count)
      : m_Rig(Rig), m_Address(freeEndpoint()),
        m_Acceptor(Rig.m_Loop, [this](ACE_HANDLE Handle) {
          m_Links.push_back(std::make_unique<PeerLink>(
              m_Rig.m_Loop,
              PeerLinkEvents{.m_OnFrame = [](std::unique_ptr<LinkFrame>,
                                             const LinkBody &) {}}));
          REQUIRE(m_Links.back()->adopt(Handle));
        }) {
    REQUIRE(m_Acceptor.listen(m_Address));
    for (int Each = 0; Each < Count; ++Each)
      Rig.m_Rows.put(TableName::Own, "member/a" + std::to_string(100 + Each),
                     R"({"address":")" + m_Address.toText() +
                         R"(","domain":")" + Domain +
                         R"(","service":"plain"})");
  }

  void send(const LinkFrame &Frame) {
    for (const auto &Link : m_Links)
      Link->send(Frame);
  }

  Rig &m_Rig;
  Endpoint m_Address;
  std::vector<std::unique_ptr<PeerLink>> m_Links;
  Acceptor m_Acceptor;
};

} // namespace

TEST_CASE("a peer's word of the operators' table counted from its arrival, "
          "however long it had been on the way") {
  Rig Rig;
  Instance &B = Rig.add("b", "plain");
  B.m_Settings.m_ConfigLimit = 2500ms;
  Duration LateAge = 3s;
  SUBCASE("too long ago for any configuration") {}
  SUBCASE("too long ago for the limit of the configuration") {
    B.m_Settings.m_ConfigLimit = 1400ms;
    LateAge = 1s;
  }
  B.restartRouter(Rig.m_Loop, Rig.m_Log);
  SilentPeers Peers(Rig, B.m_Settings.m_Domain.value(), 13);
  Rig.configure(1);
  REQUIRE(Rig.runUntil([&] { return Peers.m_Links.size() == 13; }));
  Duration Age = 0ms;
  std::function<void()> Tell = [&] {
    LinkFrame Report;
    Report.kind = LinkFrameKind::Report;
    Report.gate = std::make_unique<link_wire::GateStateT>();
    Report.sees_table = true;
    Peers.send(Report);
    LinkFrame Fresh;
    Fresh.kind = LinkFrameKind::TableFresh;
    Fresh.operator_rows_seen = Rig.m_Rows.m_Version;
    Fresh.operator_rows_position = Rig.m_Rows.m_Version;
    Fresh.operator_rows_time = FakeRows::now().value() - Age.count();
    Peers.send(Fresh);
    Rig.m_Loop.after(200ms, Tell);
  };
  Tell();
  const auto Watches = [&] {
    return std::any_of(Rig.m_Rows.m_Watches.begin(), Rig.m_Rows.m_Watches.end(),
                       [](const FakeRows::Watch &Each) {
                         return Each.m_Table == TableName::Operators;
                       });
  };
  Rig.runFor(1s);
  // Ends the daemon's own watch.
  Rig.m_Rows.put(TableName::Operators, "other", "{}");
  REQUIRE(Rig.runUntil([&] { return !Watches(); }));
  Rig.runFor(2500ms);
  CHECK_FALSE(Watches());
  Age = LateAge;
  Rig.runFor(2500ms);
  CHECK(Watches());
}

TEST_CASE("a configuration wasn't in force while the daemon's watch hung and "
          "no peer answered") {
  Rig Rig;
  Instance &B = Rig.add("b", "plain");
  Rig.configure(1);
  B.sendHeartbeat();
  Rig.waitUntilServed(B, "/read/1");
  SilentPeers Peers(Rig, "elsewhere", 2);
  REQUIRE(Rig.runUntil([&] { return Peers.m_Links.size() == 2; }));
  B.m_Table.m_ReplyDelay = 60s;
  Rig.configure(2, R"(,{"Name":"new","Prefix":"/new/","Kind":"safe",
    "TimeoutS":2,"TargetLatencyS":1,"MaxAttempts":1,"Service":"plain"})");
  std::function<void()> Tell = [&] {
    LinkFrame Report;
    Report.kind = LinkFrameKind::Report;
    Report.gate = std::make_unique<link_wire::GateStateT>();
    Report.sees_table = true;
    Report.operator_rows_seen = Rig.m_Rows.m_Version;
    Peers.send(Report);
    Rig.m_Loop.after(200ms, Tell);
  };
  Tell();
  Rig.waitUntilServed(B, "/new/1");
}

TEST_CASE("a daemon that started after a row was removed read the table again "
          "and again") {
  Rig Rig;
  Rig.configure(1);
  Rig.m_Rows.put(TableName::Operators, "evacuate/elsewhere", "{}");
  Rig.m_Rows.put(TableName::Operators, "evacuate/elsewhere", std::nullopt);
  const std::uint64_t Removal = Rig.m_Rows.m_Version;
  Instance &B = Rig.add("b", "plain");
  SilentPeers Peers(Rig, "elsewhere", 1);
  REQUIRE(Rig.runUntil([&] { return !Peers.m_Links.empty(); }));
  REQUIRE(Rig.runUntil([&] { return B.m_Router->ready(); }));
  for (int Each = 0; Each < 6; ++Each) {
    LinkFrame Report;
    Report.kind = LinkFrameKind::Report;
    Report.gate = std::make_unique<link_wire::GateStateT>();
    Report.sees_table = true;
    Report.operator_rows_seen = Removal;
    Peers.send(Report);
    Rig.runFor(300ms);
  }
  CHECK(B.m_Table.m_OperatorsReads == 1);
}
