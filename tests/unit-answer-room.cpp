// Tests of AnswerRoom, with a replay of callers that read large answers slowly.
#include "balsamwheel/detail/load/answer_room.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

using namespace balsamwheel;
using namespace std::chrono_literals;

TEST_CASE("requests with large answers are refused only while the limit is "
          "exceeded") {
  const AnswerRoom Room({.m_MaxBytes = 1000});
  CHECK_FALSE(Room.refusedFor(0));
  CHECK_FALSE(Room.refusedFor(1000));
  CHECK(Room.refusedFor(1001) == 300ms);
}

TEST_CASE("without a limit of the memory nothing is refused") {
  CHECK_FALSE(AnswerRoom({}).refusedFor(SIZE_MAX));
}

TEST_CASE("a refused caller returns when the link may have taken the excess, "
          "within bounds") {
  const AnswerRoom Room({.m_MaxBytes = 1000, .m_BytesPerSecond = 10000});
  CHECK(Room.refusedFor(1100) == 300ms);
  CHECK(Room.refusedFor(11000) == 1s);
  CHECK(Room.refusedFor(SIZE_MAX) == 2s);
}

TEST_CASE("slow readers of large answers: what is held stays within the limit "
          "and the answers that run, and all are served in the end") {
  // Answers of 4 MB, eight at a time, over a link that takes 2 MB a second.
  constexpr std::size_t AnswerBytes = std::size_t{4} << 20;
  constexpr std::size_t MaxBytes = std::size_t{40} << 20;
  const AnswerRoom Room({.m_MaxBytes = MaxBytes, .m_BytesPerSecond = 2 << 20});
  std::size_t Held = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  // When the callers that wait come, in steps of 10 ms.
  std::vector<std::size_t> Due(64, 0);
  std::size_t MostHeld = 0;
  for (std::size_t Step = 0; Served < 64 && Step < 100000; ++Step) {
    std::size_t Begun = 0;
    for (std::size_t &Each : Due) {
      if (Each > Step)
        continue;
      if (const auto RetryAfter = Room.refusedFor(Held)) {
        Each = Step + static_cast<std::size_t>(*RetryAfter / 10ms);
        ++Refused;
      } else if (Begun < 8) {
        Each = SIZE_MAX;
        ++Begun;
        ++Served;
      }
    }
    Held += Begun * AnswerBytes;
    MostHeld = std::max(MostHeld, Held);
    Held -= std::min<std::size_t>(Held, (std::size_t{2} << 20) / 100);
  }
  CHECK(Served == 64);
  CHECK(Refused > 0);
  CHECK(MostHeld <= MaxBytes + 8 * AnswerBytes);
}

TEST_CASE("the time until a return never decreases with the bytes held") {
  CHECK(rc::check([] {
    const AnswerRoom Room(
        {.m_MaxBytes = *rc::gen::inRange<std::size_t>(1, 1000000),
         .m_BytesPerSecond =
             static_cast<double>(*rc::gen::inRange(0, 10000000))});
    const auto Less = *rc::gen::inRange<std::size_t>(0, 100000000);
    const auto More = Less + *rc::gen::inRange<std::size_t>(0, 100000000);
    RC_ASSERT(Room.refusedFor(Less).value_or(0ms) <=
              Room.refusedFor(More).value_or(0ms));
  }));
}
