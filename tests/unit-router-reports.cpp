// Sizes of reports, the traffic that they make, and their exchange between
// complete routers.
#include "link/peer_link.h"
#include "router/report_format.h"
#include "router_rig.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

const RowsSeen Seen{
    .m_Operators = {.m_Era = StoreEra(3), .m_Version = RowVersion(81234)},
    .m_Own = {.m_Era = StoreEra(3), .m_Version = RowVersion(81236)},
    .m_Configuration = ConfigVersion(17)};
const TableFollower::Current Read{
    .m_Position = {.m_Era = StoreEra(3), .m_Version = RowVersion(81240)},
    .m_At = StoreTime(5'000'000'000)};
const GateReport Gate{.m_Running = 5,
                      .m_Waiting = 2,
                      .m_Slots = 12,
                      .m_Service = 123456us,
                      .m_RateLimit = 12.5,
                      .m_SpareTokens = -1.5,
                      .m_LinkWait = 2500us};

/// The report of a daemon whose target is in service.
LinkFrame fullReport() {
  LinkFrame Report;
  Report.kind = LinkFrameKind::Report;
  Report.gate = gateToWire(Gate);
  Report.target_id = "target-0017-5e2c";
  Report.target_born = 1'700'000'000'000;
  Report.condition = 2;
  Report.capacity = 97.2;
  Report.sees_table = true;
  setRowsSeen(Report, Seen);
  setCurrent(Report, Read);
  return Report;
}

LinkBeat beat() {
  return {.m_Gate = gateToBeat(Gate),
          .m_Rows = rowsToBeat(Seen),
          .m_Age = ageToBeat(Read, Seen)};
}

/// Bytes per second that a daemon sends as reports in a mesh of 75 daemons in
/// three failure domains.
///
/// \param Change changes the state before each round.
double bytesPerSecond(const std::function<void(ReportedState &, int)> &Change) {
  constexpr int OwnPeers = 24;
  constexpr int Peers = 74;
  const PeerMeshOptions Options;
  const Duration Interval =
      Options.m_ReportInterval + Options.m_ReportIntervalPerPeer * Peers;
  const ReportIntervals Intervals{.m_Interval = Interval,
                                  .m_IdleInterval = 2 * Interval,
                                  .m_FullInterval =
                                      Options.m_FullReportInterval};
  std::vector<ReportSchedule> Schedules;
  for (int Peer = 0; Peer < Peers; ++Peer)
    Schedules.emplace_back(Peer < OwnPeers);
  const double FullBytes =
      static_cast<double>(encodeFrame(fullReport(), {}).size());
  ReportedState State{.m_Gate = Gate};
  double Sum = 0;
  const int Rounds = 1000;
  for (int Round = 0; Round < Rounds; ++Round) {
    const TimePoint Now{1h + Round * Interval};
    Change(State, Round);
    for (ReportSchedule &Each : Schedules) {
      const DueReport Due = Each.due(State, Intervals, Now);
      LinkBeat Beat = beat();
      if (!Due.m_Rows)
        Beat.m_Rows.reset();
      if (!Due.m_Age)
        Beat.m_Age.reset();
      if (Due.m_Full)
        Sum += FullBytes;
      else if (Due.m_Beat)
        Sum += static_cast<double>(encodeBeatFrame(Beat).size());
      Each.sent(State, Due, Now);
    }
  }
  return Sum / (Rounds * static_cast<double>(Interval.count()) / 1e6);
}

} // namespace

TEST_CASE("a beat takes less than an eighth of a full report") {
  LinkBeat Beat = beat();
  LinkFrame Answer;
  Answer.kind = LinkFrameKind::Answer;
  const std::size_t WithoutGate = encodeFrame(Answer, {}).size();
  Answer.gate = gateToWire(Gate);
  MESSAGE("full report " << encodeFrame(fullReport(), {}).size()
                         << ", gate state in an answer "
                         << encodeFrame(Answer, {}).size() - WithoutGate
                         << ", beat with all parts "
                         << encodeBeatFrame(Beat).size());
  CHECK(encodeBeatFrame(Beat).size() == 4 + 24 + 40 + 16);
  Beat.m_Rows.reset();
  CHECK(encodeBeatFrame(Beat).size() == 4 + 24 + 16);
  Beat.m_Age.reset();
  CHECK(encodeBeatFrame(Beat).size() == 4 + 24);
  CHECK(8 * encodeBeatFrame(Beat).size() <=
        encodeFrame(fullReport(), {}).size());
}

TEST_CASE("a beat tells what it was made from") {
  const auto Beat = decodeBeat(encodeBeat(beat()));
  REQUIRE(Beat);
  CHECK(gateFromBeat(Beat->m_Gate) == Gate);
  REQUIRE(Beat->m_Rows);
  CHECK(rowsFromBeat(*Beat->m_Rows) == Seen);
  REQUIRE(Beat->m_Age);
  const TableFollower::Current Age = ageFromBeat(*Beat->m_Age, Seen);
  CHECK(Age.m_Position == Read.m_Position);
  CHECK(Age.m_At == Read.m_At);
}

TEST_CASE("values that don't fit into a beat are sent as the greatest") {
  const GateReport Sent = gateFromBeat(
      gateToBeat({.m_Running = 100'000, .m_Slots = 70'000, .m_Service = 2h}));
  CHECK(Sent.m_Running == 65535);
  CHECK(Sent.m_Slots == 65535);
  CHECK(Sent.m_Service > 1h);
}

TEST_CASE("a beat of a wrong size is rejected") {
  const std::string Text = encodeBeat(beat());
  for (std::size_t Size = 0; Size < Text.size(); ++Size)
    CHECK_FALSE(decodeBeat(Text.substr(0, Size)));
  CHECK_FALSE(decodeBeat(Text + "x"));
}

TEST_CASE("an era of the store that the rows don't have is left out") {
  RowsSeen Older = Seen;
  Older.m_Operators.m_Era = StoreEra(2);
  CHECK_FALSE(ageToBeat(Read, Older));
}

TEST_CASE("reports of 75 daemons take less than 3 KB a second each") {
  const double Idle = bytesPerSecond([](ReportedState &, int) {});
  // One of the two daemons of its domain that read the table each second.
  const double Watching = bytesPerSecond([](ReportedState &State, int Round) {
    State.m_AgeRevision += Round % 3 == 2 ? 0 : 1;
  });
  const double Loaded = bytesPerSecond([](ReportedState &State, int Round) {
    State.m_Gate.m_Running = static_cast<std::uint32_t>(Round * 7 % 12);
  });
  MESSAGE("bytes per second: idle " << Idle << ", that reads the table "
                                    << Watching << ", loaded " << Loaded);
  CHECK(Idle < 3000);
  CHECK((69 * Idle + 6 * Watching) / 75 < 3000);
  CHECK(Loaded < 4500);
}

TEST_CASE("a peer that knows beats gets one full report, then beats") {
  Rig Rig;
  Instance &Remote = Rig.add("new", "plain");
  Rig.configure(1);
  std::function<void()> SendHeartbeats = [&] {
    Remote.sendHeartbeat();
    Rig.m_Loop.after(500ms, SendHeartbeats);
  };
  SendHeartbeats();
  REQUIRE(Rig.runUntil([&] { return Remote.m_Router->ready(); }));
  int Reports = 0;
  std::vector<LinkBeat> Beats;
  PeerLink Link(Rig.m_Loop,
                {.m_OnFrame =
                     [&](std::unique_ptr<LinkFrame> Frame, const LinkBody &) {
                       Reports += Frame->kind == LinkFrameKind::Report ? 1 : 0;
                     },
                 .m_OnBeat =
                     [&](const LinkBeat &Beat) {
                       CHECK(Reports > 0);
                       Beats.push_back(Beat);
                     }});
  REQUIRE(Link.connect(Remote.m_Settings.m_Peers));
  LinkFrame Hello;
  Hello.kind = LinkFrameKind::Hello;
  Hello.instance = "a";
  Hello.beats = true;
  Link.send(Hello);
  // Until the target is in service.
  Rig.runFor(1s);
  const int Settled = Reports;
  CHECK(Settled > 0);
  Beats.clear();
  Rig.runFor(1500ms);
  CHECK(Reports == Settled);
  CHECK(Beats.size() >= 4);
  CHECK(Beats.size() <= 8);

  // A changed row is told by a beat.
  Rig.configure(2);
  const auto Told = [&] {
    return std::any_of(Beats.begin(), Beats.end(), [](const LinkBeat &Each) {
      return Each.m_Rows && Each.m_Rows->config_version() == 2;
    });
  };
  CHECK(Rig.runUntil(Told));

  // A gate that closes is told in full, because the target's condition changes.
  const int Before = Reports;
  Remote.m_Router->beginStop();
  CHECK(Rig.runUntil([&] { return Reports > Before; }));
}
