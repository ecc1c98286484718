// Tests of the stand-ins for the platform and for targets.
#include "bench/core/payload.h"
#include "bench/core/table_store.h"
#include "bench/core/target_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace balsamwheel::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{std::chrono::hours(1)};

Transaction makeWrite(const std::string &Key, std::uint64_t Expected,
                      std::optional<std::string> Value) {
  Transaction Result;
  Result.m_Conditions = {{RowKey(Key), RowVersion(Expected)}};
  Result.m_Writes = {{RowKey(Key), std::move(Value)}};
  return Result;
}

TargetOrder makeOrder(const std::string &Id, std::uint64_t EpochNumber = 1) {
  return {.m_RequestId = Id,
          .m_Service = "orders",
          .m_Key = "k",
          .m_Shard = "3",
          .m_Epoch = Epoch(EpochNumber),
          .m_ServiceTime = milliseconds(10)};
}

} // namespace

TEST_CASE("a transaction with a failed condition changes no row") {
  TableStore Table;
  CHECK(Table.commit(makeWrite("a", 0, "1")).m_Status == TableStatus::Ok);
  Transaction Both = makeWrite("a", 1, "2");
  Both.m_Conditions.push_back({RowKey("b"), RowVersion(5)});
  Both.m_Writes.push_back({RowKey("b"), "2"});
  const TableReply Reply = Table.commit(Both);
  CHECK(Reply.m_Status == TableStatus::Conflict);
  REQUIRE(Reply.m_Rows.size() == 1);
  CHECK(Reply.m_Rows[0].m_Key == RowKey("b"));
  const auto Rows = Table.read({{RowKey("a"), RowKey("b")}, {}});
  CHECK(Rows[0].m_Value == "1");
  CHECK(Rows[1].m_Version == RowVersion(0));
}

TEST_CASE(
    "the version of a row keeps growing when it is deleted and rewritten") {
  TableStore Table;
  Table.commit(makeWrite("a", 0, "1"));
  Table.commit(makeWrite("a", 1, std::nullopt));
  CHECK(Table.read({{}, {"a"}}).empty());
  CHECK(Table.commit(makeWrite("a", 1, "2")).m_Status == TableStatus::Conflict);
  const TableReply Rewritten = Table.commit(makeWrite("a", 0, "2"));
  CHECK(Rewritten.m_Rows.at(0).m_Version == RowVersion(3));
}

TEST_CASE("a target runs no more orders than it has slots") {
  rc::check("at most as many orders end in one step as there are slots", [] {
    const auto Count = *rc::gen::inRange(1, 60);
    TargetModel Model({.m_Slots = 4}, Start);
    for (int Index = 0; Index < Count; ++Index)
      Model.arrive(Index, makeOrder(std::to_string(Index)), Start);
    std::size_t Ended = 0;
    for (int Step = 0; Step < 200; ++Step) {
      const std::size_t Before = Ended;
      Ended += Model.advance(Start + milliseconds(10) * Step).size();
      RC_ASSERT(Ended - Before <= 4U);
    }
    RC_ASSERT(Ended == static_cast<std::size_t>(Count));
  });
}

TEST_CASE("an overloaded cold target collapses and restarts cold") {
  TargetModel Model({.m_StartsCold = true}, Start);
  CHECK(Model.usableSlots(Start) == 2);
  for (int Index = 0; Index < 5; ++Index) {
    TargetOrder Order = makeOrder(std::to_string(Index));
    Order.m_ServiceTime = seconds(60);
    Model.arrive(Index, Order, Start);
  }
  CHECK(Model.advance(Start).empty());
  const TimePoint CollapseTime = Start + milliseconds(1000);
  CHECK(Model.advance(CollapseTime).size() == 5);
  CHECK(Model.collapses() == 1);
  CHECK(Model.restarting(CollapseTime + milliseconds(1999)));
  CHECK(Model.usableSlots(CollapseTime + seconds(2)) == 2);
  CHECK(Model.usableSlots(CollapseTime + seconds(12)) == 10);
}

TEST_CASE(
    "a cold target with at most twice as many orders as usable slots does "
    "not collapse") {
  TargetModel Model({.m_StartsCold = true}, Start);
  for (int Index = 0; Index < 4; ++Index) {
    TargetOrder Order = makeOrder(std::to_string(Index));
    Order.m_ServiceTime = seconds(60);
    Model.arrive(Index, Order, Start);
  }
  for (int Step = 0; Step < 50; ++Step)
    CHECK(Model.advance(Start + milliseconds(100) * Step).empty());
  CHECK(Model.collapses() == 0);
}

TEST_CASE("only a target that checks fences refuses an old epoch") {
  for (const bool Checks : {false, true}) {
    TargetModel Model({.m_ChecksFences = Checks}, Start);
    Model.grant("orders", "3", Epoch(7));
    Model.arrive(1, makeOrder("r", 6), Start);
    const auto Events = Model.advance(Start + milliseconds(20));
    REQUIRE(Events.size() == 1);
    CHECK((Events[0].m_End == TargetEnd::Fenced) == Checks);
    CHECK(Events[0].m_Execution.has_value() != Checks);
  }
}

TEST_CASE("cancelling withdraws a waiting order and aborts a running one") {
  TargetModel Model({.m_Slots = 1}, Start);
  Model.arrive(1, makeOrder("runs"), Start);
  Model.arrive(2, makeOrder("waits"), Start);
  CHECK(Model.cancel("waits", Start));
  CHECK(Model.cancel("runs", Start));
  CHECK_FALSE(Model.cancel("unheard", Start));
  const auto Events = Model.advance(Start);
  REQUIRE(Events.size() == 2);
  CHECK(Events[0].m_End == TargetEnd::Withdrawn);
  CHECK(Events[1].m_End == TargetEnd::Aborted);
  CHECK_FALSE(Events[1].m_Execution->m_Completed);
}

TEST_CASE("a target that was suspended past a deadline ends its orders") {
  TargetModel Model({.m_Slots = 1}, Start);
  TargetOrder Order = makeOrder("runs");
  Order.m_TimeLeft = milliseconds(30);
  Model.arrive(1, Order, Start);
  Order.m_RequestId = "waits";
  Model.arrive(2, Order, Start);
  const auto Events = Model.advance(Start + seconds(5));
  REQUIRE(Events.size() == 2);
  CHECK(Events[0].m_End == TargetEnd::Aborted);
  CHECK(Events[0].m_Execution->m_End == Start + milliseconds(30));
  CHECK(Events[1].m_End == TargetEnd::Withdrawn);
}

TEST_CASE("only the intact payload of the same request is accepted") {
  rc::check("truncated, changed and foreign bodies are rejected", [] {
    const auto Size = *rc::gen::inRange<std::size_t>(1, 3000);
    const std::string Body = makePayload("r-1", Size);
    RC_ASSERT(isIntactPayload(Body, "r-1"));
    RC_ASSERT(!isIntactPayload(Body, "r-2"));
    const auto Cut = *rc::gen::inRange<std::size_t>(0, Body.size());
    RC_ASSERT(!isIntactPayload(std::string_view(Body).substr(0, Cut), "r-1"));
    std::string Changed = Body;
    Changed[Cut] ^= 1;
    RC_ASSERT(!isIntactPayload(Changed, "r-1"));
  });
}
