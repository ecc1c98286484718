// Complete routers on loopback: their connections to each other.
#include "link/peer_link.h"
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

TEST_CASE("a daemon that the table turns away learns rows from its peers") {
  Rig Rig;
  Rig.add("a", "plain");
  Instance &B = Rig.add("b", "plain");
  Rig.begin();
  REQUIRE(Rig.until([&] { return !Rig.m_Rows.m_Watches.empty(); }));
  B.m_Table.m_Down = true;
  Rig.configure(2, R"(,{"Name":"new","Prefix":"/new/","Kind":"safe",
    "TimeoutS":2,"TargetLatencyS":1,"MaxAttempts":1,"Service":"plain"})");
  Rig.settle(1s);
  CHECK(Rig.call(B, "/new/1").m_Status == 200);
}

TEST_CASE("a connection that has gone silent one way is given up") {
  // The peer's reports arrive, but nothing that is sent to it does.
  Rig Rig;
  Instance &Here = Rig.add("a", "plain");
  const Endpoint Address = freeEndpoint();
  int Ended = 0;
  int Requests = 0;
  std::vector<std::unique_ptr<PeerLink>> Links;
  Acceptor Deaf(Rig.m_Loop, [&](ACE_HANDLE Handle) {
    Links.push_back(std::make_unique<PeerLink>(
        Rig.m_Loop,
        PeerLinkEvents{
            .m_OnFrame =
                [&](std::unique_ptr<LinkFrame> Frame, const std::string &) {
                  Requests += Frame->kind == LinkFrameKind::Request ? 1 : 0;
                },
            .m_OnEnd = [&](const char *) { ++Ended; }}));
    REQUIRE(Links.back()->adopt(Handle));
  });
  REQUIRE(Deaf.listen(Address));
  std::function<void()> Report = [&] {
    LinkFrame Frame;
    Frame.kind = LinkFrameKind::Report;
    Frame.gate = std::make_unique<link_wire::GateStateT>();
    Frame.gate->slots = 4;
    Frame.target_id = "t";
    for (const auto &Link : Links)
      Link->send(Frame);
    Rig.m_Loop.after(100ms, Report);
  };
  Report();
  Rig.m_Rows.put(TableName::Own, "member/b",
                 R"({"address":")" + Address.toText() +
                     R"(","domain":"d","service":"plain"})");
  Rig.configure(1);
  REQUIRE(Rig.until([&] { return Here.m_Router->ready(); }));
  REQUIRE(Rig.until([&] { return !Links.empty(); }));
  for (int Try = 0; Try < 50 && Requests == 0; ++Try) {
    Rig.start(Here, "/write/1", "POST");
    Rig.settle(50ms);
  }
  REQUIRE(Requests > 0);
  CHECK(Rig.until([&] { return Ended > 0; }));
}

TEST_CASE("a daemon at another one's former address isn't taken for it") {
  Rig Rig;
  Instance &There = Rig.add("new", "plain");
  Rig.configure(1);
  There.beat();
  REQUIRE(Rig.until([&] { return There.m_Router->ready(); }));
  struct Seen {
    std::unique_ptr<PeerLink> m_Link;
    int m_Reports = 0;
    int m_Ended = 0;
  };
  const auto Open = [&](const std::string &Wanted) {
    auto Result = std::make_unique<Seen>();
    Seen &Of = *Result;
    PeerLinkEvents Events;
    Events.m_OnFrame = [&Of](std::unique_ptr<LinkFrame> Frame,
                             const std::string &) {
      Of.m_Reports += Frame->kind == LinkFrameKind::Report ? 1 : 0;
    };
    Events.m_OnEnd = [&Of](const char *) { ++Of.m_Ended; };
    Of.m_Link = std::make_unique<PeerLink>(Rig.m_Loop, std::move(Events));
    REQUIRE(Of.m_Link->connect(There.m_Settings.m_Peers));
    LinkFrame Hello;
    Hello.kind = LinkFrameKind::Hello;
    Hello.instance = "a";
    Hello.wanted = Wanted;
    Of.m_Link->send(Hello);
    return Result;
  };
  const auto Former = Open("former");
  const auto Present = Open("new");
  CHECK(Rig.until([&] { return Present->m_Reports > 0; }));
  CHECK(Rig.until([&] { return Former->m_Ended > 0; }));
  CHECK(Former->m_Reports == 0);
  CHECK(Present->m_Ended == 0);
}

TEST_CASE("a request that waited on the link past its deadline isn't run") {
  Rig Rig;
  Instance &There = Rig.add("b", "plain");
  Rig.configure(1);
  There.beat();
  REQUIRE(Rig.until([&] { return There.m_Router->ready(); }));

  std::vector<std::unique_ptr<LinkFrame>> Answers;
  PeerLink Link(Rig.m_Loop, {.m_OnFrame = [&](auto Frame, std::string) {
                  if (Frame->kind == LinkFrameKind::Answer)
                    Answers.push_back(std::move(Frame));
                }});
  REQUIRE(Link.connect(There.m_Settings.m_Peers));
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
  REQUIRE(Rig.until([&] { return Answers.size() == 1; }));
  CHECK(Answers[0]->outcome != static_cast<std::uint8_t>(Outcome::Done));
  CHECK(!Answers[0]->reached_target);
  CHECK(There.m_Target.m_Arrivals == 0);
  Send(LinkFrameKind::Request, 0s);
  REQUIRE(Rig.until([&] { return Answers.size() == 2; }));
  CHECK(There.m_Target.m_Arrivals == 1);
}
