// Pipes for long bodies: order, bounds, length and hash.
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

TEST_CASE("bytes leave in the order they came, whatever the portions") {
  CHECK(rc::check([](const std::vector<std::string> &Parts) {
    std::string Whole;
    for (const std::string &Part : Parts)
      Whole += Part;
    BodyPipe Pipe(makeOptions("ab", Whole.size() + 2));
    std::string Received;
    for (const std::string &Part : Parts) {
      RC_ASSERT(Pipe.tryWrite(Part));
      Received += Pipe.take(*rc::gen::inRange<std::size_t>(0, 20));
    }
    Pipe.finish(bodyHash("ab" + Whole));
    Received += Pipe.take(Whole.size());
    RC_ASSERT(Received == Whole);
    RC_ASSERT(Pipe.state() == PipeState::Ended);
    RC_ASSERT(Pipe.readOffset() == Whole.size() + 2);
  }));
}

TEST_CASE("a body of another length or hash fails") {
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

TEST_CASE("a full pipe refuses and tells when there is room") {
  BodyPipeOptions Options = makeOptions("", std::nullopt);
  Options.m_Capacity = 10;
  BodyPipe Pipe(Options);
  CHECK(Pipe.tryWrite("12345678"));
  CHECK_FALSE(Pipe.tryWrite("abc"));
  int Room = 0;
  REQUIRE(Pipe.notifyWritable([&Room] { ++Room; }));
  CHECK(Pipe.take(2) == "12");
  CHECK(Room == 0);
  CHECK(Pipe.take(2) == "34");
  CHECK(Room == 1);
  CHECK(Pipe.tryWrite("abc"));
}

TEST_CASE("a reader is told of bytes and of the end") {
  BodyPipe Pipe(makeOptions("", std::nullopt));
  int Told = 0;
  REQUIRE(Pipe.notifyReadable([&Told] { ++Told; }));
  CHECK(Pipe.tryWrite("a"));
  CHECK(Told == 1);
  CHECK_FALSE(Pipe.notifyReadable([&Told] { ++Told; }));
  CHECK(Pipe.take(1) == "a");
  REQUIRE(Pipe.notifyReadable([&Told] { ++Told; }));
  Pipe.finish();
  CHECK(Told == 2);
  CHECK(Pipe.state() == PipeState::Ended);
}

TEST_CASE("a pipe has one reader") {
  BodyPipe Pipe(makeOptions("", std::nullopt));
  CHECK(Pipe.claimReader());
  CHECK_FALSE(Pipe.claimReader());
}

TEST_CASE("a reader that gives up is reported once and unblocks the writer") {
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
