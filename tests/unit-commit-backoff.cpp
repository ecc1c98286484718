// Number of commits when all owners change the same row at once.
#include "router/commit_backoff.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

struct Result {
  int m_Commits = 0;
  Duration m_Took{0};
};

/// Lets each owner commit one change. A commit succeeds if no other has
/// succeeded since it was sent, 10 ms before.
Result commitAll(std::size_t Owners) {
  struct Owner {
    CommitBackoff m_Backoff;
    std::optional<TimePoint> m_SentAt;
    bool m_Done = false;
  };
  std::vector<Owner> All;
  for (std::size_t Index = 0; Index < Owners; ++Index)
    All.push_back({.m_Backoff = CommitBackoff({}, Index)});
  Result Total;
  std::size_t Done = 0;
  TimePoint LastSuccess;
  TimePoint Now = Start;
  for (; Done < Owners && Now < Start + 1min; Now += 1ms)
    for (Owner &Each : All) {
      if (Each.m_Done)
        continue;
      if (!Each.m_SentAt && Now >= Each.m_Backoff.nextAttempt()) {
        Each.m_SentAt = Now;
        ++Total.m_Commits;
      }
      if (!Each.m_SentAt || Now - *Each.m_SentAt < 10ms)
        continue;
      if (LastSuccess > *Each.m_SentAt) {
        Each.m_Backoff.conflicted(Now);
      } else {
        LastSuccess = Now;
        Each.m_Done = true;
        ++Done;
      }
      Each.m_SentAt.reset();
    }
  Total.m_Took = Now - Start;
  return Total;
}

} // namespace

TEST_CASE("commits of many owners to one row don't grow with their square") {
  for (const std::size_t Owners : {30, 100, 300}) {
    CAPTURE(Owners);
    const Result Total = commitAll(Owners);
    CHECK(Total.m_Commits <= static_cast<int>(15 * Owners));
    CHECK(Total.m_Took < 20s);
  }
}
