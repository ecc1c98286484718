// Tests the platform client: table transactions, objects, and the status of
// commits without a definite answer.
#include "adapters/platform_http/platform_client.h"
#include "adapters/platform_http/table_codec.h"
#include "support/raw_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace balsamwheel;
using namespace balsamwheel::platform_http;
using namespace balsamwheel::tests;

namespace {

Transaction makeCommit() {
  return {.m_Id = WriteId(18'000'000'000'000'000'001ULL),
          .m_Conditions = {{RowKey("a"), RowVersion(3)}},
          .m_Writes = {{RowKey("a"), "new"}, {RowKey("b"), std::nullopt}}};
}

TableReply commit(const std::string &Address) {
  PlatformClient Client(
      {.m_Address = Address, .m_Timeout = std::chrono::milliseconds(300)});
  std::promise<TableReply> Promise;
  Client.commit(makeCommit(), [&Promise](TableReply Reply) {
    Promise.set_value(std::move(Reply));
  });
  return Promise.get_future().get();
}

TableReply commitWith(RawReply Answer) {
  RawServer Server([&Answer](const std::string &, int) { return Answer; });
  return commit(Server.address());
}

} // namespace

TEST_CASE("a commit is encoded in the documented JSON form") {
  const auto Body = nlohmann::json::parse(encodeCommit(makeCommit()));
  CHECK(Body["write_id"] == "18000000000000000001");
  CHECK(Body["conditions"][0]["version"] == 3);
  CHECK(Body["writes"][0]["value"] == "new");
  CHECK(Body["writes"][1]["value"].is_null());
}

TEST_CASE("malformed rows are rejected") {
  CHECK_FALSE(decodeRows("[]").has_value());
  CHECK_FALSE(decodeRows("{\"rows\":[{\"key\":1}]}").has_value());
  CHECK_FALSE(decodeRows("{\"rows\":[").has_value());
  CHECK(decodeRows("{\"rows\":[]}")->empty());
}

TEST_CASE("the HTTP status of the answer gives the status of a commit") {
  const std::string Rows = R"({"rows":[{"key":"a","version":4}]})";
  const TableReply Ok = commitWith({httpAnswer("200 OK", Rows)});
  CHECK(Ok.m_Status == TableStatus::Ok);
  CHECK(Ok.m_Rows.at(0).m_Version == RowVersion(4));
  CHECK(commitWith({httpAnswer("409 Conflict", Rows)}).m_Status ==
        TableStatus::Conflict);
  CHECK(commitWith({httpAnswer("503 Service Unavailable", "")}).m_Status ==
        TableStatus::Unavailable);
}

TEST_CASE("a commit that may have been applied is ambiguous") {
  CHECK(commitWith({.m_Bytes = {}, .m_Close = true}).m_Status ==
        TableStatus::Ambiguous);
  CHECK(commitWith({.m_Bytes = {}, .m_Silent = true}).m_Status ==
        TableStatus::Ambiguous);
  CHECK(commitWith({httpAnswer("500 Internal Server Error", "")}).m_Status ==
        TableStatus::Ambiguous);
  CHECK(commitWith({httpAnswer("200 OK", "nonsense")}).m_Status ==
        TableStatus::Ambiguous);
}

TEST_CASE("a commit on a refused connection is unavailable, not ambiguous") {
  std::string ClosedAddress;
  {
    RawServer Server([](const std::string &, int) { return RawReply{}; });
    ClosedAddress = Server.address();
  }
  CHECK(commit(ClosedAddress).m_Status == TableStatus::Unavailable);
}

TEST_CASE("a read sends keys and prefixes and returns rows") {
  RawServer Server([](const std::string &, int) {
    return RawReply{httpAnswer(
        "200 OK", R"({"rows":[{"key":"a","version":0,"value":""}]})")};
  });
  PlatformClient Client({.m_Address = Server.address()});
  std::promise<TableReply> Promise;
  Client.read(
      {.m_Keys = {RowKey("a")}, .m_Prefixes = {"map/"}},
      [&Promise](TableReply Reply) { Promise.set_value(std::move(Reply)); });
  const TableReply Reply = Promise.get_future().get();
  CHECK(Reply.m_Status == TableStatus::Ok);
  CHECK(Reply.m_Rows.at(0) == Row{RowKey("a"), RowVersion(0), ""});
  const std::string Sent = Server.requests().front();
  CHECK(Sent.starts_with("POST /v1/read "));
  CHECK(Sent.find(R"("prefixes":["map/"])") != std::string::npos);
}

TEST_CASE("objects are stored and fetched by name") {
  RawServer Server([](const std::string &Request, int) {
    return RawReply{Request.starts_with("PUT /v1/objects/n ")
                        ? httpAnswer("204 No Content", "")
                        : httpAnswer("200 OK", "bytes")};
  });
  PlatformClient Client({.m_Address = Server.address()});
  std::promise<bool> Stored;
  Client.putObject("n", "bytes", [&Stored](bool Ok) { Stored.set_value(Ok); });
  CHECK(Stored.get_future().get());
  std::promise<std::optional<std::string>> Fetched;
  Client.getObject("n", [&Fetched](std::optional<std::string> Object) {
    Fetched.set_value(std::move(Object));
  });
  CHECK(Fetched.get_future().get() == "bytes");
}
