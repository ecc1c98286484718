// The client of the platform's store, against a scripted server: requests sent,
// and the meaning of each kind of answer and of none.
#include "platform/store_client.h"
#include "support/raw_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

RawReply answer(const std::string &Status, const std::string &Body) {
  return {.m_Bytes = "HTTP/1.1 " + Status + "\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body};
}

/// A store client and its scripted server.
class StoreRig {
public:
  explicit StoreRig(RawServer::Script Script)
      : m_Server(std::move(Script)), m_Loop({.m_MaxSleep = 20ms}),
        m_Log(m_Loop, {.m_Output = -1}),
        m_Store(m_Loop, *Endpoint::fromText(m_Server.address()), m_Metrics,
                m_Log) {}

  TableServiceReply
  run(const std::function<void(platform::StoreClient &, TableService::OnReply)>
          &Call) {
    std::optional<TableServiceReply> Result;
    Call(m_Store, [&](TableServiceReply Reply) { Result = std::move(Reply); });
    const TimePoint Limit = bootNow() + 10s;
    m_Loop.run([&] {
      if (Result || bootNow() > Limit)
        m_Loop.stop();
    });
    REQUIRE(Result.has_value());
    return *Result;
  }

  RawServer m_Server;
  EventLoop m_Loop;
  EventLog m_Log;
  RouterMetrics m_Metrics;
  platform::StoreClient m_Store;
};

TableServiceReply commitOnce(RawServer::Script Script,
                             std::string *Request = nullptr) {
  StoreRig Rig(std::move(Script));
  TableServiceReply Reply = Rig.run([](auto &Store, auto Done) {
    Store.commit({.m_Key = RowKey("keys/s"),
                  .m_Expected = RowVersion(7),
                  .m_Value = "node-1"},
                 Done);
  });
  if (Request)
    *Request = Rig.m_Server.requests().front();
  return Reply;
}

} // namespace

TEST_CASE("a commit sends its condition, and its reply contains the new row") {
  std::string Request;
  const TableServiceReply Reply = commitOnce(
      [](const std::string &, int) {
        return answer("200 OK", R"({"Ver":412,"NowS":51.2})");
      },
      &Request);
  CHECK(Reply.m_CallOutcome == TableCallOutcome::Ok);
  REQUIRE(Reply.m_Rows.size() == 1);
  CHECK(Reply.m_Rows[0].m_Version ==
        StoreVersion{.m_Version = RowVersion(412)});
  CHECK(Request.starts_with("POST /v1/rows-tx HTTP/1.1\r\n"));
  const auto Body =
      nlohmann::json::parse(Request.substr(Request.find("\r\n\r\n") + 4));
  CHECK(Body["Expected"][0]["Ver"] == 7);
  CHECK(Body["Writes"][0]["Value"] == "bm9kZS0x");
  CHECK(Body["Remove"].empty());
}

TEST_CASE("the reply to a conflict contains the current row") {
  const TableServiceReply Reply = commitOnce([](const std::string &, int) {
    return answer("412 Precondition Failed",
                  R"({"Rows":[{"Table":"balsamwheel","part":"","Key":"keys/s",
                  "Value":"bm9kZS0x","Ver":9}],"Ver":11})");
  });
  CHECK(Reply.m_CallOutcome == TableCallOutcome::Conflict);
  REQUIRE(Reply.m_Rows.size() == 1);
  CHECK(*Reply.m_Rows[0].m_Value == "node-1");
}

TEST_CASE("a call is refused only by a valid answer, else unanswered") {
  CHECK(commitOnce([](const std::string &, int) {
          return answer("503 Busy", "");
        }).m_CallOutcome == TableCallOutcome::Refused);
  CHECK(commitOnce([](const std::string &, int) {
          return answer("429 Too Many", "");
        }).m_CallOutcome == TableCallOutcome::Refused);
  CHECK(commitOnce([](const std::string &, int) {
          return RawReply{.m_Bytes = "HTTP/1.1 200", .m_Close = true};
        }).m_CallOutcome == TableCallOutcome::Unanswered);
  CHECK(commitOnce([](const std::string &, int) {
          return answer("200 OK", "not JSON");
        }).m_CallOutcome == TableCallOutcome::Unanswered);
  CHECK(commitOnce([](const std::string &, int) {
          return RawReply{.m_Silent = true};
        }).m_CallOutcome == TableCallOutcome::Unanswered);
}

TEST_CASE("a watch returns changes, removals and lost history") {
  StoreRig Rig([](const std::string &Request, int) {
    if (Request.find("after=5&") != std::string::npos)
      return answer("410 Gone", "{}");
    return answer("200 OK", R"({"Rows":[
      {"Table":"op","part":"","Key":"config","Value":"e30=","Ver":531},
      {"Table":"op","part":"","Key":"evacuate/z","Removed":true,"Ver":532},
      {"Table":"foreign","part":"","Key":"x","Value":"e30=","Ver":533}],
      "Ver":533})");
  });
  const auto Watch = [&](std::uint64_t After) {
    return Rig.run([&](auto &Store, auto Done) {
      Store.watch(TableName::Operators, RowVersion(After), 2s, Done);
    });
  };
  CHECK(Watch(5).m_CallOutcome == TableCallOutcome::HistoryLost);
  const TableServiceReply Reply = Watch(530);
  CHECK(Reply.m_CallOutcome == TableCallOutcome::Ok);
  CHECK(Reply.m_Version == StoreVersion{.m_Version = RowVersion(533)});
  REQUIRE(Reply.m_Rows.size() == 2);
  CHECK(*Reply.m_Rows[0].m_Value == "{}");
  CHECK_FALSE(Reply.m_Rows[1].m_Value.has_value());
}

TEST_CASE("all pages of a table are read, as of the version of the first") {
  StoreRig Rig([](const std::string &Request, int) {
    nlohmann::json Body{{"Rows", nlohmann::json::array()}};
    const bool First = Request.find("From=") == std::string::npos;
    const int Begin = First ? 0 : 499;
    const int End = First ? 500 : 502;
    for (int Index = Begin; Index < End; ++Index)
      Body["Rows"].push_back({{"Table", "balsamwheel"},
                              {"part", ""},
                              {"Key", "member/" + std::to_string(1000 + Index)},
                              {"Value", "e30="},
                              {"Ver", Index + 1}});
    Body["Ver"] = First ? 600 : 700;
    return answer("200 OK", Body.dump());
  });
  const TableServiceReply Reply =
      Rig.run([](auto &Store, auto Done) { Store.read(TableName::Own, Done); });
  CHECK(Reply.m_CallOutcome == TableCallOutcome::Ok);
  CHECK(Reply.m_Version == StoreVersion{.m_Version = RowVersion(600)});
  CHECK(Reply.m_Rows.size() == 503);
  CHECK(Rig.m_Server.requests().back().find("From=member%2F1499") !=
        std::string::npos);
}

TEST_CASE("one row that can't be read hid all others of its reply") {
  const char *OddRows[] = {"1",
                           "null",
                           "[]",
                           R"({"Key":"k"})",
                           R"({"Table":"op","Key":7,"Ver":5})",
                           R"({"Table":"op","Key":"k","Ver":"5"})",
                           R"({"Table":"op","Key":"k","Ver":-5})",
                           R"({"Table":"op","Key":"k","Ver":1e300})"};
  for (const std::string Odd : OddRows) {
    CAPTURE(Odd);
    StoreRig Rig([&](const std::string &, int) {
      return answer(
          "200 OK",
          R"({"Rows":[{"Table":"op","Key":"a","Value":"e30=","Ver":1},)" + Odd +
              R"(,{"Table":"op","Key":"b","Value":"e30=","Ver":3}],"Ver":4})");
    });
    const TableServiceReply Reply = Rig.run([](auto &Store, auto Done) {
      Store.watch(TableName::Operators, RowVersion(), 1ms, Done);
    });
    CHECK(Reply.m_CallOutcome == TableCallOutcome::Ok);
    CHECK(Reply.m_Version.m_Version == RowVersion(4));
    REQUIRE(Reply.m_Rows.size() == 2);
    CHECK(Reply.m_Rows[1].m_Key == RowKey("b"));
  }
}

TEST_CASE("rows behind a page that was full by its size weren't read") {
  StoreRig Rig([](const std::string &Request, int) {
    const bool First = Request.find("From=") == std::string::npos;
    return answer(
        "200 OK",
        First
            ? R"({"Rows":[{"Table":"balsamwheel","Key":"a","Value":"e30=","Ver":1}],
                "Ver":4,"HasMore":true})"
            : R"({"Rows":[{"Table":"balsamwheel","Key":"a","Value":"e30=","Ver":1},
                {"Table":"balsamwheel","Key":"b","Value":"e30=","Ver":2}],
                "Ver":4,"HasMore":false})");
  });
  const TableServiceReply Reply =
      Rig.run([](auto &Store, auto Done) { Store.read(TableName::Own, Done); });
  CHECK(Reply.m_CallOutcome == TableCallOutcome::Ok);
  REQUIRE_FALSE(Reply.m_Rows.empty());
  CHECK(Reply.m_Rows.back().m_Key == RowKey("b"));
}

TEST_CASE("replies carry the era of the store, errors included") {
  StoreRig Rig([](const std::string &Request, int) {
    RawReply Reply = Request.starts_with("POST")
                         ? answer("503 Busy", "")
                         : answer("200 OK", R"({"Rows":[{"Table":"op","part":"",
                     "Key":"config","Value":"e30=","Ver":5}],"Ver":6})");
    Reply.m_Bytes.insert(Reply.m_Bytes.find("\r\n") + 2, "Store-Era: 7\r\n");
    return Reply;
  });
  const TableServiceReply Refused = Rig.run([](auto &Store, auto Done) {
    Store.commit({.m_Key = RowKey("a"), .m_Value = "x"}, Done);
  });
  CHECK(Refused.m_CallOutcome == TableCallOutcome::Refused);
  CHECK(Refused.m_Version.m_Era == StoreEra(7));
  const TableServiceReply Read = Rig.run(
      [](auto &Store, auto Done) { Store.read(TableName::Operators, Done); });
  CHECK(Read.m_Version ==
        StoreVersion{.m_Era = StoreEra(7), .m_Version = RowVersion(6)});
  REQUIRE(Read.m_Rows.size() == 1);
  CHECK(Read.m_Rows[0].m_Version ==
        StoreVersion{.m_Era = StoreEra(7), .m_Version = RowVersion(5)});
}

TEST_CASE("pages of two eras aren't joined") {
  StoreRig Rig([](const std::string &Request, int) {
    nlohmann::json Body{{"Rows", nlohmann::json::array()}, {"Ver", 600}};
    const bool First = Request.find("From=") == std::string::npos;
    for (int Index = 0; Index < (First ? 500 : 1); ++Index)
      Body["Rows"].push_back({{"Table", "balsamwheel"},
                              {"part", ""},
                              {"Key", std::to_string(1000 + Index)},
                              {"Value", "e30="},
                              {"Ver", 3}});
    RawReply Reply = answer("200 OK", Body.dump());
    Reply.m_Bytes.insert(Reply.m_Bytes.find("\r\n") + 2,
                         First ? "Store-Era: 1\r\n" : "Store-Era: 2\r\n");
    return Reply;
  });
  const TableServiceReply Reply =
      Rig.run([](auto &Store, auto Done) { Store.read(TableName::Own, Done); });
  CHECK(Reply.m_CallOutcome == TableCallOutcome::Refused);
  CHECK(Reply.m_Version.m_Era == StoreEra(2));
}
