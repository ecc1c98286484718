// Tests of finding the requests that crash targets among those that don't.
#include "balsamwheel/detail/load/crash_suspects.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};

RequestDigest digest(std::uint64_t Value) { return RequestDigest(Value); }

CrashedRun run(std::uint64_t Digest, TimePoint StartedAt, TimePoint CrashedAt) {
  return {.m_Digest = digest(Digest),
          .m_StartedAt = StartedAt,
          .m_CrashedAt = CrashedAt};
}

} // namespace

TEST_CASE("equal requests have equal digests") {
  const RequestDigest One = digestOf("h", "POST", "/p", "body");
  CHECK(One == digestOf("h", "POST", "/p", "body"));
  CHECK(One != digestOf("h", "POST", "/pb", "ody"));
  CHECK(One != digestOf("h", "GET", "/p", "body"));
  CHECK(One != digestOf("g", "POST", "/p", "body"));
}

TEST_CASE("a request is refused after its third crash, for a limited time") {
  CrashSuspects Suspects({.m_RefusalTime = 10min});
  for (int Crash = 0; Crash < 3; ++Crash) {
    CHECK_FALSE(Suspects.refusedFor(digest(1), Start + Crash * 1s));
    Suspects.recordCrash(run(1, Start + Crash * 1s, Start + Crash * 1s + 100ms),
                         Start + Crash * 1s + 200ms);
  }
  CHECK(Suspects.refusedFor(digest(1), Start + 3s));
  CHECK(Suspects.refused(Start + 3s).size() == 1);
  CHECK_FALSE(Suspects.refusedFor(digest(2), Start + 3s));
  CHECK_FALSE(Suspects.refusedFor(digest(1), Start + 11min));
}

TEST_CASE("targets that crash together count as one crash") {
  CrashSuspects Suspects({});
  for (int Target = 0; Target < 20; ++Target)
    Suspects.recordCrash(run(1, Start, Start + 1s), Start + 1s);
  CHECK_FALSE(Suspects.refusedFor(digest(1), Start + 2s));
}

TEST_CASE("a request that has completed is no suspect") {
  CrashSuspects Suspects({});
  Suspects.recordCrash(run(1, Start, Start), Start);
  Suspects.recordCrash(run(1, Start + 1s, Start + 1s), Start + 1s);
  CHECK(Suspects.isSuspect(digest(1), Start + 1s));
  CHECK(Suspects.recordCompletion(digest(1)));
  CHECK_FALSE(Suspects.recordCompletion(digest(1)));
  Suspects.recordCrash(run(1, Start + 2s, Start + 2s), Start + 2s);
  CHECK_FALSE(Suspects.refusedFor(digest(1), Start + 2s));
}

TEST_CASE("what a peer knows is taken over") {
  CrashSuspects Suspects({});
  Suspects.merge({.m_Digest = digest(1), .m_Crashes = 3, .m_LastCrash = Start},
                 Start);
  CHECK(Suspects.refusedFor(digest(1), Start));
}

TEST_CASE(
    "a caller with 100,000 different requests doesn't displace those that "
    "are refused, and memory stays bounded") {
  CrashSuspects Suspects({.m_MaxSuspects = 1000});
  for (int Crash = 0; Crash < 3; ++Crash)
    Suspects.recordCrash(run(1, Start + Crash * 1s, Start + Crash * 1s),
                         Start + Crash * 1s);
  for (std::uint64_t Other = 2; Other < 100002; ++Other)
    Suspects.recordCrash(run(Other, Start + 4s, Start + 4s), Start + 4s);
  CHECK(Suspects.size() <= 1000);
  CHECK(Suspects.refusedFor(digest(1), Start + 5s));
}

TEST_CASE("a guilty request is found among innocent ones that run beside it") {
  CHECK(rc::check([] {
    constexpr std::uint64_t Guilty = 1000;
    constexpr std::uint64_t Innocent = 40;
    CrashSuspects Suspects({});
    TimePoint Now = Start;
    int GuiltyRuns = 0;
    for (int Round = 0; Round < 200; ++Round) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(100, 1000));
      // Nine slots; the innocent requests are drawn at random.
      std::vector<std::uint64_t> Running;
      for (int Slot = 0; Slot < 8; ++Slot)
        Running.push_back(*rc::gen::inRange<std::uint64_t>(0, Innocent));
      const bool Crashes = *rc::gen::inRange(0, 4) == 0 &&
                           !Suspects.refusedFor(digest(Guilty), Now);
      if (Crashes)
        ++GuiltyRuns;
      for (const std::uint64_t Each : Running) {
        if (Crashes)
          Suspects.recordCrash(run(Each, Now, Now + 50ms), Now + 50ms);
        else
          Suspects.recordCompletion(digest(Each));
      }
      if (Crashes)
        Suspects.recordCrash(run(Guilty, Now, Now + 50ms), Now + 50ms);
    }
    RC_ASSERT(GuiltyRuns <= 3);
    for (std::uint64_t Each = 0; Each < Innocent; ++Each)
      RC_ASSERT(!Suspects.refusedFor(digest(Each), Now));
  }));
}

TEST_CASE("an innocent request is refused for only as long as it has no chance "
          "to complete between three crashes") {
  // Three crashes in a row, each beside the same innocent request, as when a
  // caller repeats it at once; it completes after the second.
  CrashSuspects Suspects({});
  Suspects.recordCrash(run(5, Start, Start), Start);
  Suspects.recordCrash(run(5, Start + 1s, Start + 1s), Start + 1s);
  Suspects.recordCompletion(digest(5));
  Suspects.recordCrash(run(5, Start + 2s, Start + 2s), Start + 2s);
  Suspects.recordCrash(run(5, Start + 3s, Start + 3s), Start + 3s);
  CHECK_FALSE(Suspects.refusedFor(digest(5), Start + 3s));
}
