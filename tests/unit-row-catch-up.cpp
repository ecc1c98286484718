// Requests for rows between daemons when many peers know newer ones.
#include "router/row_catch_up.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

RowsSeen versions(std::uint64_t Operators, std::uint64_t Own) {
  return {.m_Operators = StoreVersion{.m_Version = RowVersion(Operators)},
          .m_Own = StoreVersion{.m_Version = RowVersion(Own)}};
}

} // namespace

TEST_CASE("row catch-up: only one of many peers with newer rows is asked") {
  RowCatchUp CatchUp;
  int RequestCount = 0;
  for (int Peer = 0; Peer < 70; ++Peer)
    if (CatchUp.onReport(versions(5, 9), versions(5, 3), true,
                         Start + Peer * 1ms))
      ++RequestCount;
  CHECK(RequestCount == 1);
  CatchUp.onRows(false);
  CHECK(CatchUp.onReport(versions(5, 10), versions(5, 9), true, Start + 100ms));
}

TEST_CASE("row catch-up: an unanswered request is repeated") {
  RowCatchUp CatchUp;
  CHECK(CatchUp.onReport(versions(5, 9), versions(5, 3), true, Start));
  CHECK(!CatchUp.onReport(versions(5, 9), versions(5, 3), true, Start + 900ms));
  CHECK(CatchUp.onReport(versions(5, 9), versions(5, 3), true, Start + 1001ms));
}

TEST_CASE(
    "row catch-up: a daemon that can reach the table waits for its watch") {
  // A change every 300 ms, which the daemon's own watch returns 200 ms after
  // the peers report it.
  RowCatchUp CatchUp;
  for (std::uint64_t Change = 1; Change < 20; ++Change) {
    const TimePoint ReportedAt = Start + Change * 300ms;
    CHECK(!CatchUp.onReport(versions(Change, 0), versions(Change - 1, 0), true,
                            ReportedAt));
    CHECK(!CatchUp.onReport(versions(Change, 0), versions(Change, 0), true,
                            ReportedAt + 200ms));
  }
}

TEST_CASE(
    "row catch-up: a peer is asked when the daemon's watch stays silent") {
  RowCatchUp CatchUp;
  CHECK(!CatchUp.onReport(versions(6, 0), versions(5, 0), true, Start));
  CHECK(!CatchUp.onReport(versions(7, 0), versions(5, 0), true, Start + 700ms));
  const auto Wanted =
      CatchUp.onReport(versions(7, 0), versions(5, 0), true, Start + 1s);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == StoreVersion{.m_Version = RowVersion(5)});
}

TEST_CASE("row catch-up: a daemon that can't reach the table asks at once") {
  RowCatchUp CatchUp;
  const auto Wanted =
      CatchUp.onReport(versions(6, 0), versions(5, 0), false, Start);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == StoreVersion{.m_Version = RowVersion(5)});
}

TEST_CASE(
    "row catch-up: a request for own rows doesn't include operators' rows") {
  RowCatchUp CatchUp;
  const auto Wanted =
      CatchUp.onReport(versions(6, 4), versions(5, 3), true, Start);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == StoreVersion{.m_Version = RowVersion(6)});
  CHECK(Wanted->m_Own == StoreVersion{.m_Version = RowVersion(3)});
}

TEST_CASE("row catch-up: a newer configuration is asked for although the "
          "tables are equal") {
  RowCatchUp CatchUp;
  RowsSeen Peer = versions(5, 3);
  Peer.m_Configuration = ConfigVersion(9);
  RowsSeen Seen = versions(5, 3);
  Seen.m_Configuration = ConfigVersion(8);
  CHECK(!CatchUp.onReport(Peer, Seen, true, Start));
  const auto Wanted = CatchUp.onReport(Peer, Seen, true, Start + 1s);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Configuration == ConfigVersion(8));
}

TEST_CASE("row catch-up: a later era is newer, whatever its versions are") {
  RowCatchUp CatchUp;
  RowsSeen Peer = versions(50, 30);
  Peer.m_Own.m_Era = StoreEra(1);
  CHECK(CatchUp.onReport(Peer, versions(50, 90), true, Start));
}

TEST_CASE("row catch-up: operators' rows waited for the answer to a request "
          "for own rows") {
  RowCatchUp CatchUp;
  CHECK(CatchUp.onReport(versions(5, 4), versions(5, 3), false, Start));
  const auto Wanted =
      CatchUp.onReport(versions(6, 4), versions(5, 3), false, Start + 10ms);
  REQUIRE(Wanted);
  CHECK(Wanted->m_Operators == versions(5, 0).m_Operators);
  CatchUp.onRows(false);
  CHECK(!CatchUp.onReport(versions(6, 3), versions(5, 3), false, Start + 20ms));
  CatchUp.onRows(true);
  CHECK(CatchUp.onReport(versions(6, 3), versions(5, 3), false, Start + 30ms));
}

TEST_CASE("row catch-up: operators' rows waited for the answer of a lost "
          "peer") {
  RowCatchUp CatchUp;
  CHECK(CatchUp.onReport(versions(6, 3), versions(5, 3), false, Start));
  CatchUp.onPeerLost();
  CHECK(CatchUp.onReport(versions(6, 3), versions(5, 3), false, Start + 1ms));
}

TEST_CASE("row catch-up: each change counts from its own first report") {
  RowCatchUp CatchUp;
  CHECK_FALSE(CatchUp.behindSince());
  CatchUp.onReport(versions(6, 0), versions(5, 0), true, Start);
  CatchUp.onReport(versions(7, 0), versions(5, 0), true, Start + 100ms);
  CHECK(CatchUp.behindSince() == Start);
  // An older row has arrived meanwhile.
  CatchUp.noteSeen(versions(6, 0));
  CHECK(CatchUp.behindSince() == Start + 100ms);
  CatchUp.onReport(versions(7, 0), versions(6, 0), true, Start + 200ms);
  CHECK(CatchUp.behindSince() == Start + 100ms);
  CatchUp.noteSeen(versions(7, 0));
  CHECK_FALSE(CatchUp.behindSince());
}

TEST_CASE("row catch-up: many changes are remembered within bounds, from the "
          "earliest") {
  RowCatchUp CatchUp({.m_MaxUnseen = 2});
  for (std::uint64_t Version = 6; Version < 20; ++Version)
    CatchUp.onReport(versions(Version, 0), versions(5, 0), true,
                     Start + Version * 1ms);
  CHECK(CatchUp.behindSince() == Start + 6ms);
  CatchUp.noteSeen(versions(18, 0));
  CHECK(CatchUp.behindSince() == Start + 7ms);
}
