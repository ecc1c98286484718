// Rows of the table: encoding, merging into the view, commits without a reply.
#include "balsamwheel/detail/coordination/cluster_view.h"
#include "balsamwheel/detail/coordination/table_client.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace balsamwheel;

namespace {

SessionId anySession() {
  return SessionId(*rc::gen::arbitrary<std::uint64_t>());
}

GroupRow makeGroup(std::size_t Members) {
  GroupRow Result;
  Result.m_Group = 4;
  for (std::size_t Index = 0; Index < Members; ++Index) {
    GroupMember &Added = Result.m_Members.emplace_back();
    Added.m_Member.m_Session = SessionId(Index + 1);
    Added.m_Member.m_Domain = DomainName(std::string(1, 'a' + Index % 3));
  }
  return Result;
}

Row configRow(std::uint64_t Version) {
  Config Value;
  Value.m_Version = ConfigVersion(Version);
  const nlohmann::json Document = {
      {"version", Version}, {"write_id", 1}, {"document", toDocument(Value)}};
  return {ConfigHeadRowKey, RowVersion(Version), Document.dump()};
}

} // namespace

TEST_CASE("a map row is unchanged after encoding and parsing") {
  CHECK(rc::check("map row", [] {
    const auto Part = *rc::gen::inRange<std::uint32_t>(0, 9);
    const auto Count = *rc::gen::inRange<std::uint32_t>(1, 300);
    MapRow Original =
        makeMapRow(ServiceName("a/b"), Part, Part * ShardsPerRow + Count);
    Original.m_Counter = *rc::gen::arbitrary<std::uint64_t>();
    for (ShardEntry &Entry : Original.m_Entries)
      Entry = {.m_Owner = anySession(),
               .m_Epoch = Epoch(*rc::gen::arbitrary<std::uint64_t>()),
               .m_FormerOwner = anySession()};
    const auto Parsed =
        parseMapRow({mapRowKey(Original.m_Service, Part), RowVersion(1),
                     toValue(Original, WriteId(5))});
    RC_ASSERT(Parsed.has_value());
    RC_ASSERT(Parsed->m_Entries == Original.m_Entries);
    RC_ASSERT(Parsed->m_Counter == Original.m_Counter);
    RC_ASSERT(Parsed->m_ShardCount == Original.m_ShardCount);
    RC_ASSERT(Parsed->m_Service == Original.m_Service);
  }));
}

TEST_CASE("a malformed row is rejected") {
  CHECK(rc::check("rows", [] {
    const std::string Text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!parseMapRow({RowKey("map/s/0"), RowVersion(1), Text}));
    RC_ASSERT(!parseGroupRow({RowKey("group/0"), RowVersion(1), Text}));
    RC_ASSERT(!parseHeadRow({HeadRowKey, RowVersion(1), Text}));
  }));
}

TEST_CASE("a group row is unchanged after encoding and parsing") {
  GroupRow Group = makeGroup(5);
  Group.m_Members[2].m_Sequence = 77;
  Group.m_Members[2].m_Member.m_Service = ServiceName("orders");
  Group.remove(SessionId(1));
  assignWitnesses(Group);
  const auto Result = parseGroupRow(
      {groupRowKey(4), RowVersion(3), toValue(Group, WriteId(5))});
  REQUIRE(Result.has_value());
  CHECK(toValue(*Result, WriteId(5)) == toValue(Group, WriteId(5)));
  CHECK(Result->wasExpelled(SessionId(1)));
  CHECK(Result->find(SessionId(3))->m_Sequence == 77);
}

TEST_CASE("witnesses are other members, are kept, and cover all domains") {
  CHECK(rc::check("witnesses", [] {
    GroupRow Group = makeGroup(*rc::gen::inRange<std::size_t>(1, 17));
    assignWitnesses(Group);
    const std::size_t Wanted =
        std::min(WitnessCount, Group.m_Members.size() - 1);
    for (const GroupMember &Subject : Group.m_Members) {
      RC_ASSERT(Subject.m_Witnesses.size() == Wanted);
      std::set<DomainName> Domains;
      for (SessionId Witness : Subject.m_Witnesses) {
        RC_ASSERT(Witness != Subject.m_Member.m_Session);
        Domains.insert(Group.find(Witness)->m_Member.m_Domain);
      }
      if (Group.m_Members.size() >= 6)
        RC_ASSERT(Domains.size() == 3U);
    }
    const std::vector<SessionId> Before = Group.m_Members[0].m_Witnesses;
    if (Before.empty())
      return;
    Group.remove(Before.front());
    assignWitnesses(Group);
    for (std::size_t Index = 1; Index < Before.size(); ++Index)
      RC_ASSERT(std::ranges::count(Group.m_Members[0].m_Witnesses,
                                   Before[Index]) == 1);
  }));
}

TEST_CASE("the configuration version never decreases in any order of rows") {
  CHECK(rc::check("monotone", [] {
    ConfigTracker Tracker;
    std::uint64_t Highest = 0;
    for (int Count = 0; Count < 20; ++Count) {
      const auto Next = *rc::gen::inRange<std::uint64_t>(1, 50);
      Tracker.merge(configRow(Next), RowVersion(Count + 1));
      Highest = std::max(Highest, Next);
      RC_ASSERT(Tracker.version() == ConfigVersion(Highest));
    }
  }));
}

TEST_CASE("a session counts as gone only in a complete view") {
  ClusterView View;
  GroupRow Group = makeGroup(2);
  Group.m_Counter = 3;
  Transaction Head;
  appendHeadUpdate(Head, HeadRow{}, {{groupRowKey(4), 3}, {groupRowKey(5), 1}});
  View.merge({{HeadRowKey, RowVersion(1), *Head.m_Writes[0].m_Value}});
  CHECK_FALSE(View.hasEnded(SessionId(9)));
  View.merge({{groupRowKey(4), RowVersion(2), toValue(Group, WriteId(1))}});
  CHECK_FALSE(View.hasEnded(SessionId(9)));
  CHECK(View.staleRows() == std::vector<RowKey>{groupRowKey(5)});
  GroupRow Other = makeGroup(0);
  Other.m_Counter = 1;
  View.merge({{groupRowKey(5), RowVersion(3), toValue(Other, WriteId(1))}});
  CHECK(View.isComplete());
  CHECK(View.hasEnded(SessionId(9)));
  CHECK_FALSE(View.hasEnded(SessionId(1)));
}

TEST_CASE("a commit without a reply is resolved by its write id") {
  for (const bool Applied : {true, false}) {
    Effects Out;
    TableClient Client(Out);
    const TimePoint Now{std::chrono::seconds(1)};
    Transaction Commit;
    Commit.m_Id = WriteId(42);
    Commit.m_Writes.push_back({RowKey("r"), R"({"write_id": 42})"});
    std::optional<CommitResult> Result;
    Client.commit(Commit, Now,
                  [&Result](CommitResult Value, const std::vector<Row> &,
                            TimePoint) { Result = Value; });
    const TableTicket Ticket = std::get<CommitTable>(Out.at(0)).m_Ticket;
    Client.onReply(Ticket, {TableStatus::Ambiguous, {}}, Now);
    CHECK_FALSE(Result.has_value());
    const auto &Read = std::get<ReadTable>(Out.at(1));
    CHECK(Read.m_Read.m_Keys == std::vector<RowKey>{RowKey("r")});
    const std::string Value =
        Applied ? R"({"write_id": 42})" : R"({"write_id": 41})";
    Client.onReply(Read.m_Ticket,
                   {TableStatus::Ok, {{RowKey("r"), RowVersion(8), Value}}},
                   Now);
    CHECK(Result == (Applied ? CommitResult::Applied : CommitResult::Refused));
  }
}
