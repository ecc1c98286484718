// Rate at which changes of the platform's table are read.
#include "fake_table_service.h"
#include "router/table_follower.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// A table in which a row changes whenever it is read.
class ChangingTable : public TableService {
public:
  ChangingTable(EventLoop &Loop, std::size_t RowSize)
      : m_Loop(Loop), m_RowSize(RowSize) {}

  void read(TableName /*Table*/, OnReply Done) override { reply(Done); }
  void watch(TableName Table, RowVersion /*After*/, Duration /*Wait*/,
             OnReply Done) override {
    if (Table != TableName::Operators)
      return; // No change.
    ++m_Watches;
    reply(Done);
  }
  void commit(OwnRowCommit /*Commit*/, OnReply /*Done*/) override {}

  int m_Watches = 0;

private:
  void reply(const OnReply &Done) {
    TableServiceReply Reply{
        .m_CallOutcome = TableCallOutcome::Ok,
        .m_Version = StoreVersion{.m_Version = RowVersion(++m_Version)}};
    Reply.m_Rows.push_back({.m_Table = TableName::Operators,
                            .m_Key = RowKey("config"),
                            .m_Version = Reply.m_Version,
                            .m_Value = std::string(m_RowSize, 'x')});
    m_Loop.post([Done, Reply] { Done(Reply); });
  }

  EventLoop &m_Loop;
  std::size_t m_RowSize;
  std::uint64_t m_Version = 0;
};

/// Time needed for six watches of the operators' table.
std::chrono::steady_clock::duration timeForSixWatches(double BytesPerSecond,
                                                      std::size_t RowSize) {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ChangingTable Table(Loop, RowSize);
  TableFollower Follower(Loop, Log, Table, {.m_BytesPerSecond = BytesPerSecond},
                         1, [](const MirroredRow &) {});
  const auto Began = std::chrono::steady_clock::now();
  Follower.start();
  Loop.run([&] {
    if (Table.m_Watches >= 6)
      Loop.stop();
  });
  return std::chrono::steady_clock::now() - Began;
}

} // namespace

TEST_CASE("large rows that change often are read within the bandwidth limit") {
  // Five delays of 100 ms.
  CHECK(timeForSixWatches(2e6, 200000) >= 500ms);
}

namespace {

/// A table whose calls are answered by the test.
class ScriptedTable : public TableService {
public:
  struct Call {
    TableName m_Table;
    /// None for a complete read.
    std::optional<RowVersion> m_After;
    OnReply m_Done;
    Duration m_Wait{0};
  };

  void read(TableName Table, OnReply Done) override {
    m_Calls.push_back({Table, std::nullopt, std::move(Done)});
  }
  void watch(TableName Table, RowVersion After, Duration Wait,
             OnReply Done) override {
    m_Calls.push_back({Table, After, std::move(Done), Wait});
  }
  void commit(OwnRowCommit /*Commit*/, OnReply /*Done*/) override {}

  std::vector<Call> m_Calls;
};

StoreVersion at(std::uint64_t Era, std::uint64_t Version) {
  return {.m_Era = StoreEra(Era), .m_Version = RowVersion(Version)};
}

TableServiceReply replyWith(StoreVersion Version, const std::string &Value) {
  return {.m_CallOutcome = TableCallOutcome::Ok,
          .m_Rows = {{.m_Table = TableName::Operators,
                      .m_Key = RowKey("config"),
                      .m_Version = Version,
                      .m_Value = Value}},
          .m_Version = Version};
}

} // namespace

TEST_CASE("a table is read again once any call shows a new era") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  std::vector<std::string> Applied;
  TableFollower Follower(Loop, Log, Table, {}, 1, [&](const MirroredRow &Row) {
    Applied.push_back(*Row.m_Value);
  });
  Follower.start();
  Table.m_Calls[0].m_Done(replyWith(at(1, 90), "first"));
  REQUIRE(Table.m_Calls.size() == 3);
  CHECK(Table.m_Calls[2].m_After == RowVersion(90));
  CHECK(Follower.hasRead(TableName::Operators));

  SUBCASE("shown by the watch, whose rows say nothing about lost ones") {
    Table.m_Calls[2].m_Done(replyWith(at(2, 95), "unordered"));
  }
  SUBCASE("shown by an error") {
    Table.m_Calls[2].m_Done({.m_CallOutcome = TableCallOutcome::HistoryLost,
                             .m_Version = at(2, 0)});
  }
  SUBCASE("shown by another daemon") {
    Follower.noteEra(StoreEra(2));
    // The reply to the abandoned watch.
    Table.m_Calls[2].m_Done(replyWith(at(1, 95), "late"));
  }
  REQUIRE(Table.m_Calls.size() == 4);
  CHECK_FALSE(Table.m_Calls[3].m_After);
  CHECK_FALSE(Follower.hasRead(TableName::Operators));
  CHECK(Applied == std::vector<std::string>{"first"});
  Table.m_Calls[3].m_Done(replyWith(at(2, 80), "second"));
  CHECK(Applied == std::vector<std::string>{"first", "second"});
  CHECK(Table.m_Calls.back().m_After == RowVersion(80));
}

TEST_CASE("a read that was answered before a rollback is repeated") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  int Changes = 0;
  TableFollower Follower(Loop, Log, Table, {.m_MinRetryDelay = 1ms}, 1,
                         [&](const MirroredRow &) { ++Changes; });
  Follower.start();
  Follower.noteEra(StoreEra(2));
  Table.m_Calls[0].m_Done(replyWith(at(1, 90), "late"));
  CHECK(Changes == 0);
  Loop.run([&] {
    if (Table.m_Calls.size() == 3)
      Loop.stop();
  });
  CHECK_FALSE(Table.m_Calls[2].m_After);
}

TEST_CASE("a table that peers watch costs no calls, and is resumed where they "
          "were") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  TableFollower Follower(Loop, Log, Table, {}, 1, [](const MirroredRow &) {});
  Follower.start();
  Table.m_Calls[0].m_Done(replyWith(at(0, 90), "first"));
  REQUIRE(Table.m_Calls.size() == 3);
  CHECK(Follower.follows(TableName::Operators));
  Follower.setMode(TableName::Operators, FollowMode::FromPeers);
  Table.m_Calls[2].m_Done(
      {.m_CallOutcome = TableCallOutcome::Ok, .m_Version = at(0, 95)});
  CHECK(Table.m_Calls.size() == 3);
  CHECK_FALSE(Follower.follows(TableName::Operators));
  Follower.advance(TableName::Operators, at(0, 120));
  Follower.advance(TableName::Operators, at(0, 110));

  SUBCASE("when they fall silent") {
    Follower.setMode(TableName::Operators, FollowMode::Watch);
  }
  SUBCASE("when another call has failed") {
    Follower.probe(TableName::Operators);
    CHECK_FALSE(Follower.isReachable(TableName::Operators));
  }
  REQUIRE(Table.m_Calls.size() == 4);
  CHECK(Table.m_Calls[3].m_After == RowVersion(120));
}

TEST_CASE("peers are told of a watch only if its reply is recent") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  int Told = 0;
  TableFollower Follower(
      Loop, Log, Table, {.m_WaitForOthers = 20ms}, 1,
      [](const MirroredRow &) {}, {}, [&](TableName) { ++Told; });
  Follower.start();
  Follower.setMode(TableName::Operators, FollowMode::WatchForOthers);
  Table.m_Calls[0].m_Done(replyWith(at(0, 90), "first"));
  Table.m_Calls[2].m_Done(
      {.m_CallOutcome = TableCallOutcome::Ok, .m_Version = at(0, 95)});
  CHECK(Told == 1);
  const TimePoint End = bootNow() + 60ms;
  while (bootNow() < End) {
  }
  Table.m_Calls[3].m_Done(
      {.m_CallOutcome = TableCallOutcome::Ok, .m_Version = at(0, 99)});
  CHECK(Told == 1);
}

TEST_CASE("a daemon that had lost its peers waited seconds for a watch on a "
          "connection that had failed silently") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  TableFollower Follower(Loop, Log, Table, {.m_MinRetryDelay = 1ms}, 1,
                         [](const MirroredRow &) {});
  Follower.setWatchers(74);
  Follower.start();
  Table.m_Calls[0].m_Done(replyWith(at(0, 90), "first"));
  Follower.setMode(TableName::Operators, FollowMode::FromPeers);
  Table.m_Calls[2].m_Done(
      {.m_CallOutcome = TableCallOutcome::Ok, .m_Version = at(0, 95)});
  Follower.setMode(TableName::Operators, FollowMode::Watch);
  REQUIRE(Table.m_Calls.size() == 4);
  CHECK(Table.m_Calls[3].m_Wait <= 500ms);
  Table.m_Calls[3].m_Done({.m_CallOutcome = TableCallOutcome::Unanswered});
  Loop.run([&] {
    if (Table.m_Calls.size() == 5)
      Loop.stop();
  });
  CHECK(Table.m_Calls[4].m_Wait <= 500ms);
  Table.m_Calls[4].m_Done(
      {.m_CallOutcome = TableCallOutcome::Ok, .m_Version = at(0, 95)});
  REQUIRE(Table.m_Calls.size() == 6);
  CHECK(Table.m_Calls[5].m_Wait >= 2s);
}

TEST_CASE("a watch that hung kept a daemon from rows that others knew") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  std::vector<std::string> Applied;
  TableFollower Follower(Loop, Log, Table, {}, 1, [&](const MirroredRow &Row) {
    Applied.push_back(*Row.m_Value);
  });
  Follower.start();
  Table.m_Calls[0].m_Done(replyWith(at(0, 90), "first"));
  REQUIRE(Table.m_Calls.size() == 3);
  Follower.readNewer(TableName::Operators);
  REQUIRE(Table.m_Calls.size() == 4);
  CHECK_FALSE(Table.m_Calls[3].m_After);
  Follower.readNewer(TableName::Operators);
  CHECK(Table.m_Calls.size() == 4);
  // Late, and of an older state than the read.
  Table.m_Calls[2].m_Done(replyWith(at(0, 95), "late"));
  Table.m_Calls[3].m_Done(replyWith(at(0, 99), "second"));
  CHECK(Applied == std::vector<std::string>{"first", "second"});
  REQUIRE(Table.m_Calls.size() == 5);
  CHECK(Table.m_Calls[4].m_After == RowVersion(99));
}

TEST_CASE("each version of a large row was transferred, also those that had "
          "been replaced") {
  EventLoop Loop({.m_MaxSleep = 5ms});
  EventLog Log(Loop, {.m_Output = -1});
  ScriptedTable Table;
  TableFollower Follower(Loop, Log, Table, {.m_BytesPerSecond = 1e6}, 1,
                         [](const MirroredRow &) {});
  Follower.start();
  Table.m_Calls[0].m_Done(replyWith(at(0, 90), "first"));
  Table.m_Calls[2].m_Done(replyWith(at(0, 95), std::string(100000, 'x')));
  REQUIRE(Table.m_Calls.size() == 3);
  bool Newer = false;
  SUBCASE("a newer version is known") {
    Newer = true;
    Follower.noteHeard(at(0, 96));
  }
  SUBCASE("no newer version is known") { Follower.noteHeard(at(0, 95)); }
  Loop.run([&] {
    if (Table.m_Calls.size() == 4)
      Loop.stop();
  });
  CHECK(Table.m_Calls[3].m_After.has_value() != Newer);
}
