// Tests of BodyPipe: byte order, capacity, checks of length and hash.
#include "runtime/body_pipe.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace balsamwheel::runtime;

namespace {

BodyPipeOptions makeOptions(std::string_view Prefix,
                            std::optional<std::uint64_t> Length) {
  BodyPipeOptions Options;
  Options.m_Prefix = Prefix;
  Options.m_Length = Length;
  return Options;
}

} // namespace

TEST_CASE(
    "bytes are read in the order written, whatever the sizes of the writes") {
  CHECK(rc::check([](const std::vector<std::string> &Parts) {
    std::string Body;
    for (const std::string &Part : Parts)
      Body += Part;
    BodyPipe Pipe(makeOptions("ab", Body.size() + 2));
    std::string Received;
    for (const std::string &Part : Parts) {
      RC_ASSERT(Pipe.tryWrite(Part));
      Received += Pipe.take(*rc::gen::inRange<std::size_t>(0, 20));
    }
    Pipe.finish(bodyHash("ab" + Body));
    Received += Pipe.take(Body.size());
    RC_ASSERT(Received == Body);
    RC_ASSERT(Pipe.state() == PipeState::Ended);
    RC_ASSERT(Pipe.readOffset() == Body.size() + 2);
  }));
}

TEST_CASE("a body whose length or hash does not match fails") {
  BodyPipe Short(makeOptions("ab", 5));
  CHECK(Short.tryWrite("c"));
  Short.finish();
  CHECK(Short.state() == PipeState::Failed);

  BodyPipe Long(makeOptions("ab", 3));
  CHECK(Long.tryWrite("cd"));
  CHECK(Long.state() == PipeState::Failed);

  BodyPipe Damaged(makeOptions("ab", 3));
  CHECK(Damaged.tryWrite("X"));
  Damaged.finish(bodyHash("abc"));
  CHECK(Damaged.state() == PipeState::Failed);
}

TEST_CASE(
    "a full pipe rejects writes and notifies the writer when half is free") {
  BodyPipeOptions Options = makeOptions("", std::nullopt);
  Options.m_Capacity = 10;
  BodyPipe Pipe(Options);
  CHECK(Pipe.tryWrite("12345678"));
  CHECK_FALSE(Pipe.tryWrite("abc"));
  int Notifications = 0;
  REQUIRE(Pipe.notifyWritable([&Notifications] { ++Notifications; }));
  CHECK(Pipe.take(2) == "12");
  CHECK(Notifications == 0);
  CHECK(Pipe.take(2) == "34");
  CHECK(Notifications == 1);
  CHECK(Pipe.tryWrite("abc"));
}

TEST_CASE("the reader is notified of bytes and of the end") {
  BodyPipe Pipe(makeOptions("", std::nullopt));
  int Notifications = 0;
  REQUIRE(Pipe.notifyReadable([&Notifications] { ++Notifications; }));
  CHECK(Pipe.tryWrite("a"));
  CHECK(Notifications == 1);
  CHECK_FALSE(Pipe.notifyReadable([&Notifications] { ++Notifications; }));
  CHECK(Pipe.take(1) == "a");
  REQUIRE(Pipe.notifyReadable([&Notifications] { ++Notifications; }));
  Pipe.finish();
  CHECK(Notifications == 2);
  CHECK(Pipe.state() == PipeState::Ended);
}

TEST_CASE("a pipe can be claimed by one reader only") {
  BodyPipe Pipe(makeOptions("", std::nullopt));
  CHECK(Pipe.claimReader());
  CHECK_FALSE(Pipe.claimReader());
}

TEST_CASE("abandoning a pipe is reported once and unblocks the writer") {
  int Abandoned = 0;
  BodyPipeOptions Options = makeOptions("", std::nullopt);
  Options.m_OnAbandoned = [&Abandoned] { ++Abandoned; };
  BodyPipe Pipe(Options);
  Pipe.abandon();
  Pipe.abandon();
  CHECK(Abandoned == 1);
  CHECK(Pipe.tryWrite("anything"));
  CHECK(Pipe.state() == PipeState::Failed);
}
