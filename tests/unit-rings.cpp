// Bounded rings and the sleep of their consumer.
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

TEST_CASE("a ring behaves like a bounded queue") {
  CHECK(rc::check([](const std::vector<bool> &Pushes) {
    BoundedRing<std::string> Ring(4);
    std::deque<std::string> Model;
    int Next = 0;
    for (const bool Push : Pushes) {
      if (Push) {
        std::string Value = std::to_string(Next++);
        const bool Room = Model.size() < 4;
        if (Room)
          Model.push_back(Value);
        RC_ASSERT(Ring.tryPush(Value) == Room);
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

TEST_CASE("a full ring leaves the value with the producer") {
  for (const std::size_t Asked : {1U, 2U}) {
    BoundedRing<std::string> Ring(Asked);
    std::string First = "first";
    std::string Second = "second";
    std::string Third = "third";
    CHECK(Ring.tryPush(First));
    CHECK(Ring.tryPush(Second));
    CHECK_FALSE(Ring.tryPush(Third));
    CHECK(Third == "third");
  }
}

TEST_CASE("a sleeping consumer misses nothing from several producers") {
  constexpr int Producers = 3;
  constexpr int Each = 20'000;
  EventWaker Waker;
  Mailbox<int, EventWaker> Box(64, Waker);
  std::vector<std::thread> Threads;
  for (int P = 0; P < Producers; ++P)
    Threads.emplace_back([&Box, P] {
      for (int I = 0; I < Each; ++I)
        Box.push(P * Each + I);
    });
  std::vector<int> Last(Producers, -1);
  int Received = 0;
  while (Received < Producers * Each) {
    int Value = 0;
    while (Box.tryPop(Value)) {
      const auto From = static_cast<std::size_t>(Value / Each);
      CHECK_MESSAGE(Value % Each > Last[From], "order within a producer");
      Last[From] = Value % Each;
      ++Received;
    }
    if (Received < Producers * Each && Box.prepareToSleep()) {
      Waker.sleepUntil(bootNow() + std::chrono::seconds(5));
      Box.awake();
    }
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Box.size() == 0);
}
