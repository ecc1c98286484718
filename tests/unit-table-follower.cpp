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
    TableServiceReply Reply{.m_CallOutcome = TableCallOutcome::Ok,
                            .m_Version = RowVersion(++m_Version)};
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
