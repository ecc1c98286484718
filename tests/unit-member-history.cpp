// Which members served a service recently.
#include "balsamwheel/detail/node/member_history.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const ServiceName Orders("orders");

Member member(std::uint64_t Session) {
  Member Result;
  Result.m_Session = SessionId(Session);
  Result.m_Service = Orders;
  return Result;
}

} // namespace

TEST_CASE("a member that had left counted as asked, so that a request ran "
          "twice") {
  MemberHistory History(1min);
  History.update({member(1), member(2)}, Start);
  History.update({member(1), member(2)}, Start + 1s);
  CHECK(History.completeSince(Orders, Start));
  // It leaves between two updates at the same time.
  History.update({member(1)}, Start + 1s);
  CHECK_FALSE(History.completeSince(Orders, Start));
  CHECK_FALSE(History.completeSince(Orders, Start + 1s));
  History.update({member(1)}, Start + 2s);
  CHECK(History.completeSince(Orders, Start + 1500ms));
}

TEST_CASE("a history that doesn't reach back is incomplete") {
  MemberHistory History(1min);
  CHECK_FALSE(History.completeSince(Orders, Start));
  History.update({member(1)}, Start);
  CHECK_FALSE(History.completeSince(Orders, Start - 1s));
  CHECK(History.completeSince(Orders, Start));
  History.update({member(1)}, Start + 2min);
  CHECK_FALSE(History.completeSince(Orders, Start));
}
