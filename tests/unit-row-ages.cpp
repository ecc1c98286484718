// Dating of operators' rows by the store's clock.
#include "router/row_ages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

StoreVersion version(std::uint64_t Version, std::uint64_t Era = 0) {
  return {.m_Era = StoreEra(Era), .m_Version = RowVersion(Version)};
}

/// Time of a store whose clock is at 500 s when the daemon's is at Start.
StoreTime shownAt(TimePoint Time) {
  return StoreTime((Time - Start + 500s).count());
}

} // namespace

TEST_CASE("row ages: a row is dated by the last state without it, however late "
          "it is read") {
  RowAges Ages;
  CHECK_FALSE(Ages.writtenAfter(version(8), Start));
  Ages.observeClock(shownAt(Start), Start);
  Ages.noteCurrent(version(5), shownAt(Start), Start);
  Ages.noteCurrent(version(5), shownAt(Start + 1s), Start + 1s);
  Ages.noteCurrent(version(7), shownAt(Start + 2s), Start + 2s);
  // A peer has read a state with the row before this daemon reads the row.
  Ages.noteCurrent(version(8), shownAt(Start + 3s), Start + 3s);
  const TimePoint Late = Start + 9s;
  const auto Written = Ages.writtenAfter(version(8), Late);
  REQUIRE(Written);
  CHECK(*Written <= Start + 2s);
  CHECK(*Written > Start + 1900ms);
  const auto Earlier = Ages.writtenAfter(version(6), Late);
  REQUIRE(Earlier);
  CHECK(*Earlier <= Start + 1s);
  CHECK_FALSE(Ages.writtenAfter(version(5), Late));
}

TEST_CASE("row ages: a slow call dates rows no later than a quick one") {
  RowAges Ages;
  // The reply showed the store's time 2 s after the call had started.
  Ages.observeClock(shownAt(Start + 2s), Start);
  CHECK(*Ages.earliest(shownAt(Start + 2s), Start + 2s) <= Start);
  CHECK(*Ages.earliest(shownAt(Start + 2s), Start + 2s) > Start - 10ms);
  Ages.observeClock(shownAt(Start + 3s), Start + 3s - 4ms);
  CHECK(*Ages.earliest(shownAt(Start + 3s), Start + 3s) >= Start + 2990ms);
  Ages.observeClock(shownAt(Start + 5s), Start + 4s);
  CHECK(*Ages.earliest(shownAt(Start + 5s), Start + 5s) >= Start + 4990ms);
}

TEST_CASE("row ages: positions of another era don't date a row") {
  RowAges Ages;
  Ages.observeClock(shownAt(Start), Start);
  Ages.noteCurrent(version(90, 1), shownAt(Start), Start);
  CHECK_FALSE(Ages.writtenAfter(version(80, 2), Start + 1s));
  CHECK_FALSE(Ages.writtenAfter(version(95, 2), Start + 1s));
  CHECK(Ages.writtenAfter(version(95, 1), Start + 1s));
}

TEST_CASE(
    "row ages: a clock of the store that starts anew dates nothing by its "
    "former times") {
  RowAges Ages;
  Ages.observeClock(shownAt(Start), Start);
  Ages.noteCurrent(version(5), shownAt(Start), Start);
  Ages.observeClock(StoreTime(1000000), Start + 2s);
  CHECK_FALSE(Ages.writtenAfter(version(6), Start + 2s));
  // A peer has read the table before the restart.
  Ages.noteCurrent(version(5), shownAt(Start + 1s), Start + 2s);
  CHECK_FALSE(Ages.writtenAfter(version(6), Start + 2s));
  CHECK(*Ages.earliest(StoreTime(1000000), Start + 3s) <= Start + 2s);
  CHECK(*Ages.earliest(StoreTime(1000000), Start + 3s) > Start + 1990ms);
}

TEST_CASE("row ages: a reply that others have overtaken changes nothing") {
  RowAges Ages;
  Ages.observeClock(shownAt(Start + 6s), Start + 6s);
  Ages.noteCurrent(version(5), shownAt(Start + 6s), Start + 6s);
  Ages.observeClock(shownAt(Start + 3s), Start + 3s);
  CHECK(Ages.writtenAfter(version(6), Start + 7s));
  CHECK(*Ages.earliest(shownAt(Start + 6s), Start + 7s) > Start + 5990ms);
}

TEST_CASE("row ages: the history is bounded") {
  RowAges Ages;
  Ages.observeClock(shownAt(Start), Start);
  for (int Step = 0; Step < 4000; ++Step)
    Ages.noteCurrent(version(5 + static_cast<std::uint64_t>(Step)),
                     shownAt(Start + Step * 10ms), Start + Step * 10ms);
  const TimePoint End = Start + 40s;
  CHECK_FALSE(Ages.writtenAfter(version(100), End));
  CHECK(*Ages.writtenAfter(version(4005), End) > End - 500ms);
}

TEST_CASE("row ages: property: no row is dated later than it was written") {
  rc::check([] {
    RowAges Ages;
    // The daemon's clock is off by a constant and runs at another rate.
    const double Rate = 1 + *rc::gen::inRange(-150, 151) * 1e-6;
    const auto Daemon = [&](double Seconds) {
      return Start + Duration(static_cast<Duration::rep>(Seconds * Rate * 1e6));
    };
    const auto Store = [](double Seconds) {
      return StoreTime(static_cast<std::int64_t>((Seconds + 77) * 1e6));
    };
    std::vector<double> WrittenAt{0};
    double Now = 0;
    for (int Step = *rc::gen::inRange(1, 200); Step > 0; --Step) {
      Now += *rc::gen::inRange(0, 3000) / 1000.0;
      const std::uint64_t Newest = WrittenAt.size();
      switch (*rc::gen::inRange(0, 4)) {
      case 0: { // A call of this daemon, started up to 9 s ago.
        const double Started = Now - *rc::gen::inRange(0, 9000) / 1000.0;
        Ages.observeClock(Store(Now), Daemon(std::max(Started, 0.0)));
        break;
      }
      case 1:
        Ages.noteCurrent(version(Newest), Store(Now), Daemon(Now));
        break;
      case 2: { // News that has been on its way for up to 4 s.
        const double At = Now - *rc::gen::inRange(0, 4000) / 1000.0;
        std::uint64_t Then = 0;
        for (const double Each : WrittenAt)
          Then += Each <= At ? 1 : 0;
        Ages.noteCurrent(version(Then), Store(At), Daemon(Now));
        break;
      }
      default:
        WrittenAt.push_back(Now);
      }
      for (std::uint64_t Row = 1; Row <= WrittenAt.size(); ++Row)
        if (const auto Dated = Ages.writtenAfter(version(Row), Daemon(Now)))
          RC_ASSERT(*Dated <= Daemon(WrittenAt[Row - 1]) + 1us);
    }
  });
}
