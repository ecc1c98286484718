// Requests for rows between daemons when many peers know newer ones.
#include "router/row_catch_up.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

RowsSeen seen(std::uint64_t Operators, std::uint64_t Own) {
  return {.m_Operators = RowVersion(Operators), .m_Own = RowVersion(Own)};
}

} // namespace

TEST_CASE("row catch-up: one of many peers that know more is asked") {
  RowCatchUp Asks;
  int Asked = 0;
  for (int Peer = 0; Peer < 70; ++Peer)
    if (Asks.onReport(seen(5, 9), seen(5, 3), true, Start + Peer * 1ms))
      ++Asked;
  CHECK(Asked == 1);
  Asks.onRows();
  CHECK(Asks.onReport(seen(5, 10), seen(5, 9), true, Start + 100ms));
}

TEST_CASE("row catch-up: a request without an answer is made again") {
  RowCatchUp Asks;
  CHECK(Asks.onReport(seen(5, 9), seen(5, 3), true, Start));
  CHECK(!Asks.onReport(seen(5, 9), seen(5, 3), true, Start + 900ms));
  CHECK(Asks.onReport(seen(5, 9), seen(5, 3), true, Start + 1001ms));
}

TEST_CASE("row catch-up: whoever watches the table waits for its watch") {
  // A change every 300 ms, which the daemon's own watch returns 200 ms after
  // the peers report it.
  RowCatchUp Asks;
  for (std::uint64_t Change = 1; Change < 20; ++Change) {
    const TimePoint At = Start + Change * 300ms;
    CHECK(!Asks.onReport(seen(Change, 0), seen(Change - 1, 0), true, At));
    CHECK(!Asks.onReport(seen(Change, 0), seen(Change, 0), true, At + 200ms));
  }
}

TEST_CASE("row catch-up: a watch that has gone silent is made up for") {
  RowCatchUp Asks;
  CHECK(!Asks.onReport(seen(6, 0), seen(5, 0), true, Start));
  CHECK(!Asks.onReport(seen(7, 0), seen(5, 0), true, Start + 700ms));
  const auto Wanted = Asks.onReport(seen(7, 0), seen(5, 0), true, Start + 1s);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == RowVersion(5));
}

TEST_CASE("row catch-up: whoever can't reach the table asks at once") {
  RowCatchUp Asks;
  const auto Wanted = Asks.onReport(seen(6, 0), seen(5, 0), false, Start);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == RowVersion(5));
}

TEST_CASE("row catch-up: asking for own rows doesn't bring operators' rows") {
  RowCatchUp Asks;
  const auto Wanted = Asks.onReport(seen(6, 4), seen(5, 3), true, Start);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == RowVersion(6));
  CHECK(Wanted->m_Own == RowVersion(3));
}
