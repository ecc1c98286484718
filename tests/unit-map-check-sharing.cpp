// Sharing of key map checks among the owners of a service.
#include "router/map_check_sharing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const InstanceName A("a");
const InstanceName B("b");
const InstanceName C("c");

} // namespace

TEST_CASE("the first daemon that can reach the table checks for the others") {
  MapCheckAsker Asker({});
  CHECK(Asker.choose({A, B}, B, Start) == A);
  CHECK_FALSE(Asker.choose({B}, B, Start));
  CHECK_FALSE(Asker.choose({}, B, Start));
}

TEST_CASE("a daemon that doesn't answer isn't asked again for a while") {
  MapCheckAsker Asker({.m_AvoidTime = 4s});
  Asker.failed(A, Start);
  CHECK(Asker.choose({A, B, C}, C, Start + 1s) == B);
  Asker.failed(B, Start + 1s);
  CHECK_FALSE(Asker.choose({A, B, C}, C, Start + 2s));
  CHECK(Asker.choose({A, B, C}, C, Start + 4s) == A);
}

TEST_CASE("a check answers only questions that had arrived when it started") {
  CHECK(rc::check([] {
    MapCheckCollector Collector({});
    std::set<std::uint64_t> Open;
    std::map<std::uint64_t, TimePoint> ReceivedAt;
    TimePoint Now = Start;
    std::uint64_t Last = 0;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      if (*rc::gen::inRange(0, 3) != 0) {
        Collector.add({.m_Link = 1, .m_Stream = ++Last, .m_ReceivedAt = Now});
        Open.insert(Last);
        ReceivedAt[Last] = Now;
        continue;
      }
      const TimePoint CheckStarted =
          Now - std::chrono::milliseconds(*rc::gen::inRange(0, 300));
      for (const MapCheckQuestion &Each :
           Collector.takeAnswered(CheckStarted)) {
        RC_ASSERT(ReceivedAt[Each.m_Stream] <= CheckStarted);
        RC_ASSERT(Open.erase(Each.m_Stream) == 1);
      }
      for (const std::uint64_t Each : Open)
        RC_ASSERT(ReceivedAt[Each] > CheckStarted);
    }
    RC_ASSERT(Collector.due().has_value() == !Open.empty());
  }));
}

TEST_CASE("the number of checks doesn't grow with the number of owners") {
  const MapCheckSharingOptions Options;
  for (const int Owners : {30, 100, 300}) {
    MapCheckCollector Collector(Options);
    int Checks = 0;
    for (TimePoint Now = Start; Now < Start + 10s; Now += 10ms) {
      // Each owner asks once in 1.5 s, at times of its own.
      for (int Owner = 0; Owner < Owners; ++Owner)
        if (((Now - Start) / 10ms + Owner) % 150 == 0)
          Collector.add({.m_Stream = 1, .m_ReceivedAt = Now});
      if (const auto Due = Collector.due(); Due && Now >= *Due) {
        ++Checks;
        Collector.takeAnswered(Now);
      }
    }
    CHECK(Checks <= 10s / Options.m_CollectTime);
  }
}
