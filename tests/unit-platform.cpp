// Decoding and encoding of the platform's settings, headers, heartbeats and
// configuration.
#include "platform/http_exchange_format.h"
#include "platform/operator_tables.h"
#include "platform/settings_file.h"
#include "platform/target_control.h"

#include "support/foreign_texts.h"
#include "support/platform_texts.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace balsamwheel;
using namespace balsamwheel::platform;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

HttpAnswer answer(unsigned Status,
                  std::initializer_list<const char *> Headers) {
  HttpAnswer Result{.m_Status = Status};
  for (const char *Each : Headers)
    Result.m_Headers.add(Each, "1");
  return Result;
}

} // namespace

TEST_CASE("a settings file is read, and unknown fields are ignored") {
  std::string Problem;
  const auto Read = parseSettings(settings().dump(), Problem);
  REQUIRE(Read.has_value());
  CHECK(Read->m_Peers == Endpoint{.m_Host = "10.0.0.1", .m_Port = 7600});
  CHECK(Read->m_DrainLimit == 2500ms);
  CHECK(Read->m_MaxHold == 5s);
  CHECK(Read->m_EvacuationLimit == 5s);
  CHECK(Read->m_LinkBytesPerSecond == 0);
  nlohmann::json Limited = settings();
  Limited["Limits"]["LinkMbps"] = 10.0;
  CHECK(parseSettings(Limited.dump(), Problem)->m_LinkBytesPerSecond ==
        doctest::Approx(1.25e6));
}

TEST_CASE("a settings file that doesn't say so was read as the first start of "
          "the system") {
  auto File = settings();
  std::string Problem;
  File.erase("Bootstrap");
  CHECK_FALSE(parseSettings(File.dump(), Problem)->m_SystemStart);
  File["Bootstrap"] = true;
  CHECK(parseSettings(File.dump(), Problem)->m_SystemStart);
}

TEST_CASE("room is shared by priority where the contracts hold pressure, and "
          "no contract has the capacity measured") {
  std::string Problem;
  nlohmann::json File = settings();
  CHECK_FALSE(parseSettings(File.dump(), Problem)->m_ShareRoom);
  const nlohmann::json Without[] = {nlohmann::json::array({"keys", 1}),
                                    "pressure", nullptr};
  for (const nlohmann::json &Each : Without) {
    File["Contracts"] = Each;
    CHECK_FALSE(parseSettings(File.dump(), Problem)->m_ShareRoom);
  }
  File["Contracts"] = {"keys", "pressure"};
  CHECK(parseSettings(File.dump(), Problem)->m_ShareRoom);
  CHECK_FALSE(parseSettings(File.dump(), Problem)->m_MeasureCapacity);
}

TEST_CASE("an invalid settings file is rejected with the name of the field") {
  std::string Problem;
  CHECK_FALSE(parseSettings("{", Problem).has_value());
  for (const char *Field :
       {"NodeName", "AppAddr", "ListenAddrs", "InternalPortRange", "Platform",
        "HeartbeatS", "Limits"}) {
    nlohmann::json Wrong = settings();
    Wrong[Field] = false;
    CHECK_FALSE(parseSettings(Wrong.dump(), Problem).has_value());
    CHECK(Problem.starts_with(Field));
  }
}

TEST_CASE("a heartbeat is decoded, and invalid ones are rejected") {
  std::string Problem;
  nlohmann::json Good = heartbeat();
  Good["Holds"] = {{0, 4095, 7}};
  Good["Released"] = {{4096, 8191, "token"}};
  const auto Read = decodeHeartbeat("i-1", Good.dump(), Problem);
  REQUIRE(Read.has_value());
  CHECK(Read->m_ColdLeft == 1500ms);
  CHECK(Read->m_Target.m_StartTimeMs == 1700000000000);
  CHECK(Read->m_Keys.m_Holds.front().m_Last == 4095);
  CHECK(Read->m_Keys.m_Released.front().m_HandoverToken ==
        handoverToken("token"));
  for (const char *Field : {"Service", "Address", "Slots", "State",
                            "ColdRemainingS", "Sequence", "born"}) {
    nlohmann::json Missing = heartbeat();
    Missing.erase(Field);
    CHECK_FALSE(decodeHeartbeat("i-1", Missing.dump(), Problem).has_value());
    nlohmann::json Wrong = heartbeat();
    Wrong[Field] = nlohmann::json::array({1});
    CHECK_FALSE(decodeHeartbeat("i-1", Wrong.dump(), Problem).has_value());
  }
  nlohmann::json Strange = heartbeat();
  Strange["State"] = "dancing";
  CHECK_FALSE(decodeHeartbeat("i-1", Strange.dump(), Problem).has_value());
  CHECK_FALSE(decodeHeartbeat("i-1", "\xff\xfe", Problem).has_value());
}

TEST_CASE("a target's answer is classified by whether the request ran") {
  const HttpExchangeFormat Format;
  CHECK(Format.classify(answer(200, {"X-Server-Signature"})) ==
        TargetAnswerKind::Ran);
  CHECK(Format.classify(answer(500, {"X-Server-Signature"})) ==
        TargetAnswerKind::Ran);
  CHECK(Format.classify(answer(503, {"X-Not-Executed"})) ==
        TargetAnswerKind::Shed);
  CHECK(Format.classify(answer(421, {"X-Not-Executed"})) ==
        TargetAnswerKind::Misdirected);
  // Without the header it is unknown whether the request ran.
  CHECK(Format.classify(answer(503, {})) == TargetAnswerKind::Invalid);
  CHECK(Format.classify(answer(200, {})) == TargetAnswerKind::Invalid);
  CHECK(Format.classify(
            answer(200, {"X-Server-Signature", "Content-Encoding"})) ==
        TargetAnswerKind::Invalid);
}

TEST_CASE("headers for targets are replaced if a caller sets them") {
  const HttpExchangeFormat Format;
  HttpRequest Request{.m_Method = "GET", .m_Target = "/"};
  Request.m_Headers.add("Host", "h:80");
  Request.m_Headers.add("X-Request-Id", "parent.child");
  Request.m_Headers.add("X-Caller-Service", "forged");
  Request.m_Headers.add("X-Target-Instance", "forged");
  Request.m_Headers.add("X-Shard-Key", "65536");
  Request.m_Headers.add("X-Deadline-Ms", "1500");
  const RequestMetadata Read = Format.read(Request);
  CHECK(Read.m_Host == "h");
  CHECK(Read.m_ParentId == "parent");
  CHECK(Read.m_DeadlineLeft == 1500ms);
  CHECK_FALSE(Read.m_Key.has_value()); // Above the highest key.
  Format.prepare(Request, ServiceName("mine"), std::nullopt);
  Format.addTargetMetadata(
      Request, {.m_DeadlineLeft = 900ms, .m_TargetId = targetId("t")});
  CHECK(Request.m_Headers.get("X-Caller-Service") == "mine");
  CHECK(Request.m_Headers.get("X-Target-Instance") == "t");
  CHECK(Request.m_Headers.get("X-Deadline-Ms") == "900");
  const HttpAnswer Refusal =
      Format.notRunAnswer(RefusalKind::Unavailable, 250ms);
  CHECK(Refusal.m_Status == 503);
  CHECK(Refusal.m_Headers.get("Retry-After") == "0.250");
  CHECK(Format.notRunAnswer(RefusalKind::OverQuota, 250ms).m_Status == 429);
}

TEST_CASE("calls for keys are encoded, and their answers decoded") {
  const HttpExchangeFormat Format;
  HoldCall Call{.m_Kind = HoldCallKind::Grant,
                .m_Span = {.m_First = 4096,
                           .m_Last = 8191,
                           .m_Fence = Epoch(12),
                           .m_HandoverToken = handoverToken("token")}};
  const HttpRequest Grant = Format.holdRequest(Call, 4s);
  CHECK(Grant.m_Target == "/v1/grant");
  CHECK(nlohmann::json::parse(Grant.m_Body.toText()) ==
        nlohmann::json{{"From", 4096},
                       {"Target", 8191},
                       {"fence", 12},
                       {"HoldS", 4.0},
                       {"Handover", "token"}});
  Call.m_Kind = HoldCallKind::Release;
  const HttpRequest Release = Format.holdRequest(Call, 4s);
  CHECK(Release.m_Target == "/v1/release");
  CHECK(nlohmann::json::parse(Release.m_Body.toText()) ==
        nlohmann::json{{"From", 4096}, {"Target", 8191}, {"fence", 12}});
  const auto Outcome = [&](HoldCallKind Kind, const HttpAnswer &Answer) {
    return Format.holdAnswer(Kind, Answer).m_Outcome;
  };
  CHECK(Outcome(HoldCallKind::Grant, answer(200, {})) ==
        HoldCallOutcome::Applied);
  CHECK(Outcome(HoldCallKind::Grant, answer(409, {})) ==
        HoldCallOutcome::FenceTooLow);
  CHECK(Outcome(HoldCallKind::Grant, answer(400, {})) ==
        HoldCallOutcome::Unknown);
  CHECK(Outcome(HoldCallKind::Release, answer(200, {"X-Lease-Handover"})) ==
        HoldCallOutcome::Applied);
}

TEST_CASE("a release is not taken as applied without its token") {
  const HttpExchangeFormat Format;
  CHECK(Format.holdAnswer(HoldCallKind::Release, answer(200, {})).m_Outcome ==
        HoldCallOutcome::Unknown);
  HttpAnswer Huge{.m_Status = 200};
  Huge.m_Headers.add("X-Lease-Handover", std::string(1 << 20, 'x'));
  const HoldCallAnswer Answer = Format.holdAnswer(HoldCallKind::Release, Huge);
  CHECK(Answer.m_Outcome == HoldCallOutcome::Applied);
  CHECK(Answer.m_HandoverToken.empty());
}

// Guards against the end of a daemon with all its requests (LOST): the key map
// with the token could not be encoded.
TEST_CASE("a handover token that can't be read ended the daemon") {
  const HttpExchangeFormat Format;
  for (const char *Each : {"\xff", "t\xc3", "\xed\xa0\x80"}) {
    HttpAnswer Answer{.m_Status = 200};
    Answer.m_Headers.add("X-Lease-Handover", Each);
    const auto Read = Format.holdAnswer(HoldCallKind::Release, Answer);
    CHECK(Read.m_Outcome == HoldCallOutcome::Applied);
    const KeyOwner Owner{.m_Instance = InstanceName("i")};
    const KeySpan Releasing{.m_Last = 65535,
                            .m_State = SpanState::Releasing,
                            .m_Owner = Owner,
                            .m_NextOwner = Owner};
    KeyMap Map;
    Map.assign(Releasing);
    CHECK(KeyMap::fromText(
        completeRelease(Map, Owner, 0, 65535, Read.m_HandoverToken).toText()));
  }
}

TEST_CASE("an unknown way of granting keys rejects the configuration") {
  const OperatorTables Tables;
  std::string Problem;
  const auto Decode = [&](const std::string &Grants) {
    return Tables.configuration(
        {.m_Key = RowKey("config"),
         .m_Value = R"({"Version":7,"Services":[{"Name":"a","Sharded":true,
                    "Grants":")" +
                    Grants + R"("}],"VirtualHosts":[]})"},
        Problem);
  };
  const auto Direct = Decode("direct");
  REQUIRE(Direct);
  CHECK(Direct->service(ServiceName("a"))->m_GrantMode == GrantMode::Call);
  CHECK_FALSE(Decode("other"));
  CHECK(Problem.find("other") != std::string::npos);
}

TEST_CASE("an invalid configuration is rejected with a reason") {
  const OperatorTables Tables;
  const nlohmann::json Good = nlohmann::json::parse(
      R"({"Version":7,"Services":[{"Name":"a","Sharded":true},{"Name":"b"}],
      "Limits":{"HeaderTimeoutS":3},
      "VirtualHosts":[{"Host":"h","PathRules":[{"Name":"r","Prefix":"/p/",
      "Kind":"download","TimeoutS":1.5,"TargetLatencyS":0.6,"Priority":2,
      "MaxAttempts":2,"TrafficSplit":[{"Service":"a","Weight":90},
      {"Service":"b","Weight":10}]}]}]})");
  std::string Problem;
  const auto Decode = [&](const nlohmann::json &From) {
    return Tables.configuration(
        {.m_Key = RowKey("config"), .m_Value = From.dump()}, Problem);
  };
  const auto Table = Decode(Good);
  REQUIRE(Table);
  const Route *Found = Table->match("h", "/p/x");
  REQUIRE(Found);
  CHECK(Found->m_Kind == RouteKind::Download);
  CHECK(Found->m_Timeout == 1500ms);
  CHECK(Found->m_Shares.size() == 2);
  for (const char *Field :
       {"Prefix", "Kind", "TimeoutS", "MaxAttempts", "Name"}) {
    nlohmann::json Wrong = Good;
    Wrong["VirtualHosts"][0]["PathRules"][0].erase(Field);
    CHECK(Decode(Wrong) == nullptr);
    CHECK_FALSE(Problem.empty());
  }
  nlohmann::json Wrong = Good;
  Wrong["VirtualHosts"][0]["PathRules"][0]["Kind"] = "odd";
  CHECK(Decode(Wrong) == nullptr);
  Wrong = Good;
  Wrong["VirtualHosts"][0]["PathRules"][0]["TrafficSplit"][1]["Service"] = "c";
  CHECK(Decode(Wrong) == nullptr);
  Wrong = Good;
  Wrong["VirtualHosts"][0]["PathRules"][0]["TrafficSplit"][0].erase("Weight");
  CHECK(Decode(Wrong) == nullptr);
  CHECK(Tables.evacuatedDomain(RowKey("evacuate/z")) == DomainName("z"));
  CHECK_FALSE(Tables.evacuatedDomain(RowKey("config")).has_value());
}
