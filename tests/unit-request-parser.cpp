// Tests the validation and classification of request heads.
#include "adapters/caller_http/request_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace balsamwheel::caller_http;

namespace {

const RequestId GeneratedId{"fresh"};

Config makeConfig() {
  RequestClass Read;
  Read.m_Name = ClassName("read");
  Read.m_Match = {"GET /orders"};
  RequestClass PlaceOrder;
  PlaceOrder.m_Name = ClassName("place");
  PlaceOrder.m_Urgency = Urgency::Urgent;
  PlaceOrder.m_Idempotent = false;
  PlaceOrder.m_Deadline = std::chrono::milliseconds(700);
  PlaceOrder.m_Match = {"POST /orders", "GET /orders/now"};
  Service Orders;
  Orders.m_Name = ServiceName("orders");
  Orders.m_DividedByKey = true;
  Orders.m_Shards = 8;
  Orders.m_MaxBodyBytes = 1000;
  Orders.m_Classes = {Read, PlaceOrder};
  Service Documents;
  Documents.m_Name = ServiceName("documents");
  Documents.m_Classes = {Read};
  Config Result;
  Result.m_Manifest.m_Services = {Orders, Documents};
  return Result;
}

RequestHead makeHead(const std::string &Method, const std::string &Target) {
  RequestHead Head;
  Head.m_Method = Method;
  Head.m_RequestTarget = Target;
  Head.m_QueryKey = "k1";
  return Head;
}

ParsedRequest accept(const RequestHead &Head) {
  const Config ActiveConfig = makeConfig();
  auto Result = parseRequest(Head, &ActiveConfig, GeneratedId);
  REQUIRE(std::holds_alternative<ParsedRequest>(Result));
  return std::get<ParsedRequest>(Result);
}

Refusal refuse(const RequestHead &Head) {
  const Config ActiveConfig = makeConfig();
  auto Result = parseRequest(Head, &ActiveConfig, GeneratedId);
  REQUIRE(std::holds_alternative<Refusal>(Result));
  return std::get<Refusal>(Result);
}

} // namespace

TEST_CASE("service, key and class come from path, query and manifest") {
  const ParsedRequest Request = accept(makeHead("POST", "/orders/7?key=k1"));
  CHECK(Request.m_Meta.m_Service == ServiceName("orders"));
  CHECK(Request.m_Meta.m_Key == "k1");
  CHECK(Request.m_Meta.m_Class == ClassName("place"));
  CHECK_FALSE(Request.m_Meta.m_Idempotent);
  CHECK(Request.m_Meta.m_Id == GeneratedId);
  CHECK(Request.m_Urgency == Urgency::Urgent);
  CHECK(Request.m_TimeLeft == std::chrono::milliseconds(700));
}

TEST_CASE("headers take precedence over path and query") {
  RequestHead Head = makeHead("GET", "/elsewhere");
  Head.m_Headers = {{"balsamwheel-service", "orders"},
                    {"BALSAMWHEEL-KEY", "k2"},
                    {"Balsamwheel-Class", "place"},
                    {"Balsamwheel-Request-Id", "r-1"},
                    {"Balsamwheel-Attempt", "3"},
                    {"Balsamwheel-First-Attempt-Age-Ms", "1500"},
                    {"Balsamwheel-Deadline-Ms", "200"},
                    {"Content-Length", "1000"}};
  const ParsedRequest Request = accept(Head);
  CHECK(Request.m_Meta.m_Key == "k2");
  CHECK(Request.m_Meta.m_Class == ClassName("place"));
  CHECK(Request.m_Meta.m_Id == RequestId("r-1"));
  CHECK(Request.m_Meta.m_Attempt == 3);
  CHECK(Request.m_Meta.m_FirstAttemptAge == std::chrono::milliseconds(1500));
  CHECK(Request.m_TimeLeft == std::chrono::milliseconds(200));
  CHECK(Request.m_BodyLength == 1000);
}

TEST_CASE(
    "the longest matching pattern selects the class, else the first class") {
  CHECK(accept(makeHead("GET", "/orders/now/1")).m_Meta.m_Class ==
        ClassName("place"));
  CHECK(accept(makeHead("GET", "/orders/1")).m_Meta.m_Class ==
        ClassName("read"));
  CHECK(accept(makeHead("PATCH", "/orders/1")).m_Meta.m_Class ==
        ClassName("read"));
}

TEST_CASE("a deadline beyond that of the class is reduced to it") {
  RequestHead Head = makeHead("POST", "/orders/7");
  Head.m_Headers = {{"Balsamwheel-Deadline-Ms", "90000"}};
  CHECK(accept(Head).m_TimeLeft == std::chrono::milliseconds(700));
}

TEST_CASE("a service that is not divided by key ignores keys") {
  CHECK(accept(makeHead("GET", "/documents/a")).m_Meta.m_Key.empty());
}

TEST_CASE("invalid requests are refused with a reason") {
  const Refusal Unknown = refuse(makeHead("GET", "/nothing/1"));
  CHECK(Unknown.m_Status == 404);
  CHECK((Unknown.m_Reason == Reason::UnknownService));

  RequestHead NoKey = makeHead("GET", "/orders/1");
  NoKey.m_QueryKey.reset();
  CHECK(refuse(NoKey).m_Status == 400);
  NoKey.m_QueryKey = std::string(MaxKeyLength + 1, 'k');
  CHECK(refuse(NoKey).m_Status == 400);

  RequestHead Large = makeHead("POST", "/orders/1");
  Large.m_Headers = {{"Content-Length", "1001"}};
  CHECK(refuse(Large).m_Status == 413);

  const std::vector<std::pair<std::string, std::string>> Bad{
      {"Balsamwheel-Deadline-Ms", "0"},
      {"Balsamwheel-Deadline-Ms", "-5"},
      {"Balsamwheel-Deadline-Ms", "soon"},
      {"Balsamwheel-Deadline-Ms", "5 "},
      {"Balsamwheel-Class", "unheard-of"},
      {"Balsamwheel-Request-Id", ""},
      {"Balsamwheel-Request-Id", std::string(65, 'a')},
      {"Balsamwheel-Request-Id", "a b"},
      {"Balsamwheel-Attempt", "0"},
      {"Balsamwheel-Attempt", "2"},
      {"Balsamwheel-First-Attempt-Age-Ms", "x"},
      {"Content-Length", "many"}};
  for (const auto &Header : Bad) {
    RequestHead Head = makeHead("POST", "/orders/1");
    Head.m_Headers = {Header};
    const Refusal Cause = refuse(Head);
    CHECK(Cause.m_Status == 400);
    CHECK((Cause.m_Outcome == Outcome::NotRun));
    CHECK_FALSE(Cause.m_Detail.empty());
  }
}

TEST_CASE("without a configuration requests get the outcome wait") {
  const auto Result =
      parseRequest(makeHead("GET", "/orders/1"), nullptr, GeneratedId);
  REQUIRE(std::holds_alternative<Refusal>(Result));
  CHECK((std::get<Refusal>(Result).m_Outcome == Outcome::Wait));
  CHECK(std::get<Refusal>(Result).m_Status == 503);
}

TEST_CASE("arbitrary headers give a request within bounds or a refusal") {
  const Config ActiveConfig = makeConfig();
  CHECK(rc::check(
      [&ActiveConfig](const std::string &Target, const std::string &Id,
                      const std::string &Deadline, const std::string &Attempt) {
        RequestHead Head = makeHead("GET", Target);
        Head.m_Headers = {{"Balsamwheel-Service", "orders"},
                          {"Balsamwheel-Request-Id", Id},
                          {"Balsamwheel-Deadline-Ms", Deadline},
                          {"Balsamwheel-Attempt", Attempt}};
        const auto Result = parseRequest(Head, &ActiveConfig, GeneratedId);
        if (const auto *Request = std::get_if<ParsedRequest>(&Result)) {
          RC_ASSERT(Request->m_Meta.m_Id.value().size() <= MaxRequestIdLength);
          RC_ASSERT(Request->m_TimeLeft > Duration::zero());
          RC_ASSERT(Request->m_Meta.m_Attempt >= 1U);
        } else {
          RC_ASSERT(std::get<Refusal>(Result).m_Status >= 400);
        }
      }));
}

TEST_CASE("a request whose body has no certain length was accepted") {
  using Fields = std::vector<std::pair<std::string, std::string>>;
  for (const Fields &Each :
       {Fields{{"Transfer-Encoding", "gzip"}},
        Fields{{"Transfer-Encoding", "xchunked"}},
        Fields{{"Transfer-Encoding", "gzip, chunked"}},
        Fields{{"transfer-encoding", "chunked"}, {"Transfer-Encoding", "gzip"}},
        Fields{{"Transfer-Encoding", "chunked"}, {"Content-Length", "5"}},
        Fields{{"Content-Length", "5"}, {"Content-Length", "6"}},
        Fields{{"Content-Length", "+5"}}, Fields{{"Content-Length", "5, 5"}},
        Fields{{"Content-Length ", "5"}}, Fields{{"X Y", "1"}},
        Fields{{"X\x01", "1"}}, Fields{{"", "1"}}, Fields{{"X", "a\rb"}}}) {
    RequestHead Head = makeHead("POST", "/orders/1");
    Head.m_Headers = Each;
    CAPTURE(Each.back().first);
    CAPTURE(Each.back().second);
    const Config ActiveConfig = makeConfig();
    const auto Result = parseRequest(Head, &ActiveConfig, GeneratedId);
    REQUIRE(std::holds_alternative<Refusal>(Result));
    CHECK(std::get<Refusal>(Result).m_Status == 400);
  }
  RequestHead Head = makeHead("POST", "/orders/1");
  Head.m_Headers = {{"Transfer-Encoding", "Chunked"}};
  CHECK_FALSE(accept(Head).m_BodyLength);
  Head.m_Headers = {{"Content-Length", "5"}, {"content-length", "5"}};
  CHECK(accept(Head).m_BodyLength == 5);
}
