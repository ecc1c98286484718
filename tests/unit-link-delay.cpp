// Tests of the estimate of frame delays without a common clock.
#include "balsamwheel/detail/load/link_delay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;

namespace {

constexpr std::int64_t Ms = 1000;

TimePoint atMillis(std::int64_t Millis) {
  return TimePoint(Duration(Millis * Ms));
}

} // namespace

TEST_CASE("link delay: an offset between the clocks has no effect") {
  for (const std::int64_t OffsetMs : {0L, 5'000'000L, -5'000'000L}) {
    LinkDelay Delay;
    CHECK(Delay.recordFrame((1000 + OffsetMs) * Ms, atMillis(1001)) ==
          Duration(0));
    CHECK(Delay.recordFrame((1100 + OffsetMs) * Ms, atMillis(1101)) ==
          Duration(0));
    CHECK(Delay.recordFrame((1200 + OffsetMs) * Ms, atMillis(1951)) ==
          Duration(750 * Ms));
  }
}

TEST_CASE("link delay: a faster frame corrects the estimate of a delayed first "
          "one") {
  LinkDelay Delay;
  CHECK(Delay.recordFrame(0, atMillis(400)) == Duration(0));
  CHECK(Delay.recordFrame(500 * Ms, atMillis(501)) == Duration(0));
  CHECK(Delay.recordFrame(600 * Ms, atMillis(1000)) == Duration(399 * Ms));
}

TEST_CASE("link delay: a minute of saturation is still detected at its end") {
  LinkDelay Delay;
  Delay.recordFrame(0, atMillis(1));
  for (std::int64_t Sent = 1000; Sent < 60000; Sent += 1000)
    CHECK(Delay.recordFrame(Sent * Ms, atMillis(Sent + 901)) ==
          Duration(900 * Ms));
}

TEST_CASE("link delay: clock drift does not accumulate to a delay") {
  // 100 ppm for an hour, which is much longer than the windows.
  LinkDelay Delay;
  Duration Worst{0};
  for (std::int64_t Sent = 0; Sent < 3'600'000; Sent += 500)
    Worst = std::max(
        Worst, Delay.recordFrame(Sent * Ms - Sent / 10, atMillis(Sent + 1)));
  CHECK(Worst < std::chrono::milliseconds(15));
}

TEST_CASE("link delay: no delay is negative") {
  CHECK(rc::check("never negative", [] {
    LinkDelay Delay;
    std::int64_t Sent = 0;
    for (int I = 0; I < 50; ++I) {
      Sent += *rc::gen::inRange<std::int64_t>(0, 20'000'000);
      const auto Wait = *rc::gen::inRange<std::int64_t>(0, 3'000'000);
      const Duration Estimate =
          Delay.recordFrame(Sent, TimePoint(Duration(Sent + Wait)));
      RC_ASSERT(Estimate >= Duration(0));
      RC_ASSERT(Estimate <= Duration(Wait));
    }
  }));
}
