// Tests of the link budget for large answers.
#include "balsamwheel/detail/load/link_budget.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
// 10 Mbit/s.
const LinkBudgetOptions SlowLink{.m_BytesPerSecond = 1.25e6, .m_Share = 0.85};

LinkBudget budget(std::size_t Bytes) {
  LinkBudget Budget(SlowLink);
  for (int Count = 0; Count < 100; ++Count)
    Budget.sent(Bytes);
  return Budget;
}

} // namespace

TEST_CASE("answers that the link can't carry in time are refused") {
  LinkBudget Budget = budget(90000);
  int Admitted = 0;
  for (int Count = 0; Count < 50; ++Count)
    Admitted += Budget.reserve(1s, Start) ? 1 : 0;
  // Each transfer takes 85 ms; the wait may be 700 ms.
  CHECK(Admitted == 8);
}

TEST_CASE("in a minute of overload the link is fully used and no answer is "
          "late") {
  LinkBudget Budget = budget(90000);
  int Admitted = 0;
  // 20 answers per second are requested; the share of the link carries 11.8.
  for (TimePoint Now = Start; Now < Start + 60s; Now += 50ms) {
    Admitted += Budget.reserve(1s, Now) ? 1 : 0;
    CHECK(Budget.wait(Now) <= 700ms);
  }
  CHECK(Admitted >= 11 * 60);
  CHECK(Admitted <= 12 * 60 + 8);
}

TEST_CASE("a link without a limit refuses nothing") {
  LinkBudget Budget({});
  for (int Count = 0; Count < 1000; ++Count)
    CHECK(Budget.reserve(1ms, Start));
}
