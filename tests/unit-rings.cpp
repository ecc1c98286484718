// Tests of BoundedRing and of Mailbox with a sleeping consumer.
#include "runtime/boot_clock.h"
#include "runtime/event_waker.h"
#include "runtime/mailbox.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <string>
#include <thread>

using namespace balsamwheel;
using namespace balsamwheel::runtime;

TEST_CASE("the ring behaves like a bounded FIFO queue") {
  CHECK(rc::check([](const std::vector<bool> &Pushes) {
    BoundedRing<std::string> Ring(4);
    std::deque<std::string> Model;
    int Next = 0;
    for (const bool Push : Pushes) {
      if (Push) {
        std::string Value = std::to_string(Next++);
        const bool HasRoom = Model.size() < 4;
        if (HasRoom)
          Model.push_back(Value);
        RC_ASSERT(Ring.tryPush(Value) == HasRoom);
      } else {
        std::string Value;
        RC_ASSERT(Ring.tryPop(Value) == !Model.empty());
        if (!Model.empty()) {
          RC_ASSERT(Value == Model.front());
          Model.pop_front();
        }
      }
      RC_ASSERT(Ring.size() == Model.size());
    }
  }));
}

TEST_CASE("a rejected push leaves the value unchanged") {
  for (const std::size_t Capacity : {1U, 2U}) {
    BoundedRing<std::string> Ring(Capacity);
    std::string First = "first";
    std::string Second = "second";
    std::string Third = "third";
    CHECK(Ring.tryPush(First));
    CHECK(Ring.tryPush(Second));
    CHECK_FALSE(Ring.tryPush(Third));
    CHECK(Third == "third");
  }
}

TEST_CASE("a consumer that sleeps receives every value of several producers in "
          "order") {
  constexpr int Producers = 3;
  constexpr int ValuesPerProducer = 20'000;
  EventWaker Waker;
  Mailbox<int, EventWaker> Box(64, Waker);
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Producers; ++Index)
    Threads.emplace_back([&Box, Index] {
      for (int I = 0; I < ValuesPerProducer; ++I)
        Box.push(Index * ValuesPerProducer + I);
    });
  std::vector<int> Last(Producers, -1);
  int Received = 0;
  while (Received < Producers * ValuesPerProducer) {
    int Value = 0;
    while (Box.tryPop(Value)) {
      const auto Producer = static_cast<std::size_t>(Value / ValuesPerProducer);
      CHECK_MESSAGE(Value % ValuesPerProducer > Last[Producer],
                    "order within a producer");
      Last[Producer] = Value % ValuesPerProducer;
      ++Received;
    }
    if (Received < Producers * ValuesPerProducer && Box.prepareToSleep()) {
      Waker.sleepUntil(bootNow() + std::chrono::seconds(5));
      Box.finishSleep();
    }
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Box.size() == 0);
}
