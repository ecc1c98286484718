// Tests the link to the target: announcements, orders and the reported ends of
// orders.
#include "adapters/target_http/order.h"
#include "adapters/target_http/target_link.h"
#include "runtime/boot_clock.h"
#include "support/raw_server.h"

#include <doctest/doctest.h>

#include <future>

using namespace balsamwheel;
using namespace balsamwheel::target_http;
using namespace balsamwheel::tests;

namespace {

StartOrder makeOrder() {
  StartOrder Order;
  Order.m_Order = OrderId(9);
  Order.m_Meta.m_Id = RequestId("r/1");
  Order.m_Meta.m_Key = "k";
  Order.m_Http.m_Method = "POST";
  Order.m_Http.m_Path = "/orders/1?key=k";
  Order.m_Http.m_Headers = {
      {"Accept", "text/plain"}, {"Host", "elsewhere"},
      {"Connection", "close"},  {"balsamwheel-epoch", "77777"},
      {"X-Empty", ""},          {"X-Forged", "a\r\nBalsamwheel-Epoch: 88888"}};
  Order.m_Http.m_Body = "body";
  Order.m_Http.m_BodyLength = 4;
  Order.m_Shard = {ServiceName("orders"), ShardIndex(3)};
  Order.m_Epoch = Epoch(12);
  Order.m_Deadline = runtime::bootNow() + std::chrono::seconds(5);
  return Order;
}

/// A link to a scripted target server; collects the link's reports.
class Fixture {
public:
  explicit Fixture(RawServer::Script Answer)
      : m_Server(std::move(Answer)),
        m_Link({.m_Listen = "127.0.0.1:0"}, handlers(), {}) {
    REQUIRE_FALSE(m_Link.start());
    announce(R"({"service":"orders","address":")" + m_Server.address() +
             R"(","slots":10,"connections":130,"cold":false})");
  }

  /// Posts an announcement and returns the HTTP status.
  int announce(const std::string &Body) {
    http_client::TransferLoop Loop({});
    http_client::Transfer Outgoing;
    Outgoing.m_Method = "POST";
    Outgoing.m_Url =
        "http://127.0.0.1:" + std::to_string(m_Link.port()) + "/v1/announce";
    Outgoing.m_Body = Body;
    Outgoing.m_Deadline = runtime::bootNow() + std::chrono::seconds(5);
    std::promise<int> Status;
    Outgoing.m_OnEnd = [&Status](const http_client::TransferResult &Result) {
      Status.set_value(Result.m_Answer.m_Status);
    };
    Loop.submit(std::move(Outgoing));
    return Status.get_future().get();
  }

  OrderReport perform(StartOrder Order) {
    auto Future = m_End.get_future();
    m_Link.startOrder(std::move(Order), nullptr);
    REQUIRE(Future.wait_for(std::chrono::seconds(10)) ==
            std::future_status::ready);
    return Future.get();
  }

  TargetHandlers handlers() {
    return {
        .m_OnReady = [this](const Announcement &) { ++m_ReadyCount; },
        .m_OnLeft = [this] { ++m_LeftCount; },
        .m_OnAnswerHead = [](OrderId, const HttpAnswer &) {},
        .m_OnEnd =
            [this](OrderReport Report) { m_End.set_value(std::move(Report)); },
        .m_OnLoad = {}};
  }

  RawServer m_Server;
  std::atomic<int> m_ReadyCount{0};
  std::atomic<int> m_LeftCount{0};
  std::promise<OrderReport> m_End;
  TargetLink m_Link;
};

RawServer::Script alwaysReply(RawReply Reply) {
  return [Reply](const std::string &, int) { return Reply; };
}

OrderEnd orderEndAfter(RawReply Reply) {
  Fixture Setup(alwaysReply(std::move(Reply)));
  StartOrder Order = makeOrder();
  Order.m_Deadline = runtime::bootNow() + std::chrono::milliseconds(300);
  return Setup.perform(std::move(Order)).m_End;
}

} // namespace

TEST_CASE("an order carries the caller's headers, shard and epoch") {
  Fixture Setup(alwaysReply({httpAnswer("200 OK", "done")}));
  const OrderReport Report = Setup.perform(makeOrder());
  CHECK(Report.m_Order == OrderId(9));
  CHECK(Report.m_End == OrderEnd::Answered);
  CHECK(Report.m_Http.m_Body == "done");
  const std::string Sent = Setup.m_Server.requests().front();
  CHECK(Sent.starts_with("POST /orders/1?key=k HTTP/1.1\r\n"));
  for (const char *Line :
       {"Accept: text/plain\r\n", "Balsamwheel-Request-Id: r/1\r\n",
        "Balsamwheel-Shard: 3\r\n", "Balsamwheel-Epoch: 12\r\n",
        "Balsamwheel-Key: k\r\n", "X-Empty:\r\n"})
    CHECK_MESSAGE(Sent.find(Line) != std::string::npos, Line);
  for (const char *Text : {"elsewhere", "77777", "88888", "close"})
    CHECK_MESSAGE(Sent.find(Text) == std::string::npos, Text);
}

TEST_CASE("a refusal counts as not run only with status and header") {
  CHECK(orderEndAfter(
            {httpAnswer("503 Busy", "", "Balsamwheel-Not-Run: true\r\n")}) ==
        OrderEnd::Shed);
  CHECK(orderEndAfter(
            {httpAnswer("409 Old", "", "balsamwheel-not-run: true\r\n")}) ==
        OrderEnd::Shed);
  CHECK(orderEndAfter({httpAnswer("503 Busy", "")}) == OrderEnd::Answered);
  CHECK(orderEndAfter(
            {httpAnswer("200 OK", "", "Balsamwheel-Not-Run: true\r\n")}) ==
        OrderEnd::Answered);
}

TEST_CASE("an order without a complete answer is failed or aborted") {
  CHECK(orderEndAfter({.m_Bytes = {}, .m_Close = true}) == OrderEnd::Failed);
  CHECK(orderEndAfter({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                       true}) == OrderEnd::Failed);
  CHECK(orderEndAfter({.m_Bytes = {}, .m_Silent = true}) == OrderEnd::Aborted);
}

TEST_CASE("an aborted order is cancelled at the target") {
  Fixture Setup([](const std::string &Request, int) {
    if (Request.starts_with("DELETE"))
      return RawReply{httpAnswer("200 OK", "")};
    return RawReply{.m_Bytes = {}, .m_Silent = true};
  });
  auto Future = Setup.m_End.get_future();
  Setup.m_Link.startOrder(makeOrder(), nullptr);
  while (Setup.m_Server.requests().empty())
    std::this_thread::yield();
  Setup.m_Link.cancelOrder(OrderId(9));
  REQUIRE(Future.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  CHECK(Future.get().m_End == OrderEnd::Aborted);
  while (Setup.m_Server.requests().size() < 2)
    std::this_thread::yield();
  CHECK(Setup.m_Server.requests().back().starts_with(
      "DELETE /v1/orders/r%2F1 HTTP/1.1\r\n"));
}

TEST_CASE("without a target no order is sent") {
  Fixture Setup(alwaysReply({httpAnswer("200 OK", "")}));
  CHECK(Setup.announce(R"({"service":"orders","leaving":true})") == 200);
  CHECK(Setup.m_LeftCount == 1);
  CHECK(Setup.perform(makeOrder()).m_End == OrderEnd::NotSent);
  CHECK(Setup.m_Server.requests().empty());
}

TEST_CASE("a target is reported ready once, and again when it turns cold") {
  Fixture Setup(alwaysReply({httpAnswer("200 OK", "")}));
  CHECK(Setup.m_ReadyCount == 1);
  const std::string Warm = R"({"service":"orders","address":")" +
                           Setup.m_Server.address() +
                           R"(","slots":10,"connections":130,"cold":false})";
  const std::string Cold = R"({"service":"orders","address":")" +
                           Setup.m_Server.address() +
                           R"(","slots":10,"connections":130,"cold":true})";
  Setup.announce(Warm);
  CHECK(Setup.m_ReadyCount == 1);
  Setup.announce(Cold);
  CHECK(Setup.m_ReadyCount == 2);
  Setup.announce(Cold);
  Setup.announce(Warm);
  CHECK(Setup.m_ReadyCount == 2);
}

TEST_CASE("an invalid announcement is refused with status 400") {
  Fixture Setup(alwaysReply({httpAnswer("200 OK", "")}));
  for (const char *Body :
       {"", "[]", "{}", R"({"service":"","leaving":true})",
        R"({"service":"s","address":"host:1","slots":1,"connections":1})",
        R"({"service":"s","address":"1.2.3.4:5","slots":0,"connections":1})",
        R"({"service":"s","address":"1.2.3.4:5","slots":-1,"connections":1})"})
    CHECK_MESSAGE(Setup.announce(Body) == 400, Body);
  CHECK(Setup.m_ReadyCount == 1);
}
