// Mirror of the platform's tables: versions of rows never decrease.
#include "balsamwheel/detail/router/table_mirror.h"

#include <doctest/doctest.h>

using namespace balsamwheel;

namespace {

MirroredRow row(const std::string &Key, std::uint64_t Version,
                std::optional<std::string> Value) {
  return {.m_Table = TableName::Own,
          .m_Key = RowKey(Key),
          .m_Version = RowVersion(Version),
          .m_Value = std::move(Value)};
}

} // namespace

TEST_CASE("older versions of a row that arrive late are ignored") {
  TableMirror Mirror;
  CHECK(Mirror.apply(row("a", 5, "new")));
  CHECK_FALSE(Mirror.apply(row("a", 4, "old")));
  CHECK_FALSE(Mirror.apply(row("a", 5, "new")));
  CHECK(*Mirror.find(TableName::Own, RowKey("a"))->m_Value == "new");
}

TEST_CASE("a removed row stays removed when an older version arrives late") {
  TableMirror Mirror;
  Mirror.apply(row("a", 5, "value"));
  Mirror.apply(row("a", 6, std::nullopt));
  CHECK(Mirror.find(TableName::Own, RowKey("a")) == nullptr);
  CHECK_FALSE(Mirror.apply(row("a", 5, "value")));
  CHECK(Mirror.newerThan(TableName::Own, RowVersion(5)).size() == 1);
}

TEST_CASE("a complete read removes the rows that it lacks, except newer ones") {
  TableMirror Mirror;
  Mirror.apply(row("gone", 3, "x"));
  Mirror.apply(row("kept", 4, "x"));
  Mirror.apply(row("newer", 9, "x"));
  const auto Dropped = Mirror.removeMissing(
      TableName::Own, {row("kept", 4, "x")}, RowVersion(7));
  CHECK(Dropped == std::vector<RowKey>{RowKey("gone")});
  CHECK(Mirror.find(TableName::Own, RowKey("newer")) != nullptr);
}

TEST_CASE("rows are found by prefix within one table") {
  TableMirror Mirror;
  Mirror.apply(row("member/a", 1, "x"));
  Mirror.apply(row("member/b", 2, "x"));
  Mirror.apply(row("other", 3, "x"));
  CHECK(Mirror.withPrefix(TableName::Own, "member/").size() == 2);
  CHECK(Mirror.withPrefix(TableName::Operators, "member/").empty());
  CHECK(Mirror.highestVersion(TableName::Own) == RowVersion(3));
  CHECK(Mirror.highestVersion(TableName::Operators) == RowVersion());
}
