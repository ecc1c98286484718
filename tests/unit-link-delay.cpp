// Waits of frames on a busy link, told without a common clock.
#include "balsamwheel/detail/load/link_delay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;

namespace {

constexpr std::int64_t Ms = 1000;

TimePoint at(std::int64_t Millis) { return TimePoint(Duration(Millis * Ms)); }

} // namespace

TEST_CASE("link delay: clocks that are apart don't matter") {
  for (const std::int64_t Apart : {0L, 5'000'000L, -5'000'000L}) {
    LinkDelay Delay;
    CHECK(Delay.note((1000 + Apart) * Ms, at(1001)) == Duration(0));
    CHECK(Delay.note((1100 + Apart) * Ms, at(1101)) == Duration(0));
    CHECK(Delay.note((1200 + Apart) * Ms, at(1951)) == Duration(750 * Ms));
  }
}

TEST_CASE("link delay: a first frame that waited is made good by a quicker") {
  LinkDelay Delay;
  CHECK(Delay.note(0, at(400)) == Duration(0));
  CHECK(Delay.note(500 * Ms, at(501)) == Duration(0));
  CHECK(Delay.note(600 * Ms, at(1000)) == Duration(399 * Ms));
}

TEST_CASE("link delay: a busy spell of a minute is still seen") {
  LinkDelay Delay;
  Delay.note(0, at(1));
  for (std::int64_t Sent = 1000; Sent < 60000; Sent += 1000)
    CHECK(Delay.note(Sent * Ms, at(Sent + 901)) == Duration(900 * Ms));
}

TEST_CASE("link delay: clocks that drift don't add up to a delay") {
  // 100 ppm for an hour, far beyond what the windows keep.
  LinkDelay Delay;
  Duration Worst{0};
  for (std::int64_t Sent = 0; Sent < 3'600'000; Sent += 500)
    Worst = std::max(Worst, Delay.note(Sent * Ms - Sent / 10, at(Sent + 1)));
  CHECK(Worst < std::chrono::milliseconds(15));
}

TEST_CASE("link delay: no delay is below zero") {
  CHECK(rc::check("never below zero", [] {
    LinkDelay Delay;
    std::int64_t Sent = 0;
    for (int I = 0; I < 50; ++I) {
      Sent += *rc::gen::inRange<std::int64_t>(0, 20'000'000);
      const auto Wait = *rc::gen::inRange<std::int64_t>(0, 3'000'000);
      const Duration Told = Delay.note(Sent, TimePoint(Duration(Sent + Wait)));
      RC_ASSERT(Told >= Duration(0));
      RC_ASSERT(Told <= Duration(Wait));
    }
  }));
}
