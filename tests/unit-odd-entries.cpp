// Rows and heartbeats of other writers, with anything in them: they name no
// target to use, and the others hold.
#include "balsamwheel/detail/quota/shares.h"

#include "platform/operator_tables.h"
#include "platform/settings_file.h"
#include "platform/target_control.h"

#include "router_rig.h"
#include "support/platform_texts.h"

#include <nlohmann/json.hpp>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace balsamwheel::platform;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// Texts that may stand in place of any value of a JSON text.
std::vector<std::string> oddValues() {
  return {"null",
          "true",
          "-1",
          "0.5",
          "1e300",
          "-1e300",
          "18446744073709551616",
          "99999999999999999999999999",
          "\"\"",
          "\"\xff\xfe\"",
          "\"10.0.0.1:70000\"",
          "\"10.0.0.1:0\"",
          "\"name.example:80\"",
          "{}",
          "[]",
          "[1,2]",
          "[[0,65536,1]]",
          "[[-1,5,1]]",
          "[[9,5,1]]",
          "[[0,5,-1]]",
          "[[0,5,1e300]]",
          nested(40),
          nested(1000000)};
}

/// The JSON text of \p Object with one of its values replaced.
std::string withValue(const json &Object, const std::string &Name,
                      const std::string &Value) {
  json Marked = Object;
  Marked[Name] = "@";
  std::string Text = Marked.dump();
  return Text.replace(Text.find("\"@\""), 3, Value);
}

json heartbeatWithKeys() {
  json Result = heartbeat();
  Result["Holds"] = json::array();
  Result["Released"] = json::array();
  return Result;
}

const json Heartbeat = heartbeatWithKeys();

} // namespace

TEST_CASE("a heartbeat with an odd value ended the daemon or was believed") {
  for (const auto &[Name, Good] : Heartbeat.items())
    for (const std::string &Value : oddValues()) {
      CAPTURE(Name);
      CAPTURE(Value.substr(0, 40));
      std::string Problem;
      const auto Read =
          decodeHeartbeat("i", withValue(Heartbeat, Name, Value), Problem);
      if (!Read) {
        CHECK_FALSE(Problem.empty());
        continue;
      }
      CHECK(Read->m_Slots <= 65535);
      CHECK(Read->m_ColdLeft >= 0ms);
      CHECK(Read->m_Target.m_StartTimeMs >= 0);
      CHECK(Read->m_Address.m_Port != 0);
      for (const HeldSpan &Each : Read->m_Keys.m_Holds)
        CHECK(Each.m_First <= Each.m_Last);
    }
  std::string Problem;
  CHECK_FALSE(decodeHeartbeat("i", nested(1'000'000), Problem));
  // 2^32 more than a small number of slots.
  CHECK_FALSE(decodeHeartbeat("i", withValue(Heartbeat, "Slots", "4294967297"),
                              Problem));
}

// Guards against the end of a daemon with all its requests (LOST): the owner of
// keys could not be encoded.
TEST_CASE("a heartbeat whose id can't be read ended the daemon") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Rig.configure(1);
  REQUIRE(Rig.runUntil([&] { return A.m_Router->ready(); }));
  TargetControl Control(*A.m_Router, A.m_Settings, Rig.m_Log);
  json Body = heartbeatWithKeys();
  Body["Service"] = "keyed";
  Body["Address"] = A.m_Settings.m_Target.toText();
  int Sequence = 0;
  const auto Call = [&](const std::string &Kind, const std::string &Id) {
    Body["Sequence"] = ++Sequence;
    return Control.handle(
        {.m_Method = "POST",
         .m_Target = "/v1/rpc?call=instances." + Kind + "&of=" + Id,
         .m_Body = Body.dump()});
  };
  const std::string OddIds[] = {"i-\xff",
                                "\xc0\xaf",
                                "i-\xed\xa0\x80",
                                "",
                                std::string(201, 'i'),
                                std::string(100'000, 'i')};
  REQUIRE(Rig.runUntil([&] {
    for (const std::string &Each : OddIds)
      CHECK(Call("heartbeat", Each).m_Status == 400);
    A.sendHeartbeat();
    return Rig.m_Rows.m_Rows.contains({TableName::Own, RowKey("keys/0/keyed")});
  }));
  for (const std::string &Each : OddIds)
    CHECK(Call("deregister", Each).m_Status == 400);
  // The real target is still the one to use.
  Rig.waitUntilGranted(A);
  Rig.runFor(50ms);
  CHECK(Rig.call(A, "/key/1", "GET", 5).m_Status == 200);
}

TEST_CASE("an address with a name or an impossible port was used") {
  for (const char *Each :
       {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:", ":80",
        "10.0.0.1", "name.example:80", "10.0.0.256:80", "10.0.0.1:80x"})
    CHECK_FALSE(Endpoint::fromText(Each));
  CHECK(Endpoint::fromText("10.0.0.1:65535"));
}

TEST_CASE("an odd row ended the daemon, or the others weren't followed") {
  Rig Rig;
  Instance &A = Rig.add("a", "plain");
  Instance &B = Rig.add("b", "plain");
  Rig.startServing();
  const json Member{
      {"address", "127.0.0.1:1"}, {"domain", "domain-c"}, {"service", "plain"}};
  int Number = 0;
  for (const auto &[Name, Good] : Member.items())
    for (const std::string &Value : oddValues())
      Rig.m_Rows.put(TableName::Own, "member/odd" + std::to_string(++Number),
                     withValue(Member, Name, Value));
  for (const std::string &Value : oddValues())
    for (const char *Key : {"member/", "keys/0/keyed", "keys/0/plain",
                            "keys/18446744073709551615/keyed", "keys/x/keyed",
                            "quota/shares", "other"}) {
      Rig.m_Rows.put(TableName::Own, Key, Value);
      Rig.runFor(1ms);
    }
  for (const std::string &Value : oddValues())
    for (const char *Key : {"config", "evacuate/", "evacuate/domain-z"}) {
      Rig.m_Rows.put(TableName::Operators, Key, Value);
      Rig.runFor(1ms);
    }
  Rig.runFor(2s);
  // The rows behind the odd ones are followed.
  Rig.configure(5, R"(,{"Name":"new","Prefix":"/new/","Kind":"safe",
    "TimeoutS":2,"MaxAttempts":2,"Service":"plain"})");
  CHECK(Rig.runUntil([&] {
    A.sendHeartbeat();
    B.sendHeartbeat();
    return Rig.call(A, "/new/1").m_Status == 200 &&
           Rig.call(B, "/new/1").m_Status == 200;
  }));
}

TEST_CASE("a key map of an era that hasn't begun replaced the one in force") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Rig.configure(1);
  Rig.waitUntilGranted(A);
  Rig.runFor(50ms);
  Rig.m_Rows.put(TableName::Own, "keys/7/keyed", KeyMap().toText());
  const TimePoint End = bootNow() + 2s;
  REQUIRE(Rig.runUntil([&] {
    A.sendHeartbeat();
    return bootNow() > End;
  }));
  CHECK(Rig.call(A, "/key/1", "GET", 5).m_Status == 200);
}

TEST_CASE("a row with numbers beyond their types was read as another one") {
  const auto IsMap = [](const std::string &Spans) {
    return KeyMap::fromText(R"({"last_fence":1,"owners":[["i","t",1]],)" +
                            Spans + "}")
        .has_value();
  };
  CHECK(IsMap(R"("spans":[[0,65535,1,0,-1,1,""]])"));
  CHECK_FALSE(IsMap(R"("spans":[[65536,131071,1,0,-1,1,""]])"));
  CHECK_FALSE(IsMap(R"("spans":[[0,-1,1,0,-1,1,""]])"));
  CHECK_FALSE(IsMap(R"("spans":[[0,65535,4294967297,0,-1,1,""]])"));
  CHECK_FALSE(IsMap(R"("spans":[[0,65535,1,4294967296,-1,1,""]])"));
  CHECK_FALSE(IsMap(R"("spans":[[0,65535,1,0,-1,-1,""]])"));
  CHECK_FALSE(
      IsMap(R"("spans":[[0,65535,1,0,-1,1,""]],"revocations":[[1,2]])"));
  CHECK_FALSE(IsMap(R"("spans":[],"revocations":[[0,2]])"));
  CHECK_FALSE(SharesRow::fromText(
      R"({"revision":1,"units":{"a":4294967297},"settled":true,"earlier":{}})"));
  for (const std::string &Value : oddValues()) {
    CAPTURE(Value.substr(0, 40));
    CHECK_FALSE(KeyMap::fromText(Value));
    CHECK_FALSE(SharesRow::fromText(Value));
  }
}

TEST_CASE("a configuration or settings file with odd values ended the daemon") {
  const OperatorTables Tables;
  const json Service{{"Name", "a"},         {"Sharded", true},
                     {"MaxConnections", 5}, {"ColdStartS", 1},
                     {"ColdPerS", 1},       {"Grants", "heartbeat"}};
  const json Route{{"Name", "r"},         {"Prefix", "/p/"}, {"Kind", "safe"},
                   {"TimeoutS", 1},       {"Priority", 1},   {"MaxAttempts", 2},
                   {"TargetLatencyS", 1}, {"Service", "a"},  {"Public", true}};
  const auto Decode = [&](const std::string &Services, const std::string &Rules,
                          const std::string &Rest) {
    std::string Problem;
    const auto Table = Tables.configuration(
        {.m_Key = RowKey("config"),
         .m_Value = R"({"Version":1,"Services":[)" + Services +
                    R"(],"VirtualHosts":[{"Host":"h","PathRules":[)" + Rules +
                    "]}]" + Rest + "}"},
        Problem);
    CHECK(Problem.empty() == (Table != nullptr));
    return Table;
  };
  REQUIRE(Decode(Service.dump(), Route.dump(), ""));
  for (const std::string &Value : oddValues()) {
    CAPTURE(Value.substr(0, 40));
    for (const auto &[Name, Good] : Service.items())
      Decode(withValue(Service, Name, Value), Route.dump(), "");
    for (const auto &[Name, Good] : Route.items())
      if (const auto Table =
              Decode(Service.dump(), withValue(Route, Name, Value), ""))
        CHECK(Table->match("h", "/p/1") != nullptr);
    for (const char *Name : {"Limits", "Tenants", "Version"})
      Decode(Service.dump(), Route.dump(),
             std::string(",\"") + Name + "\":" + Value);
  }
  json Settings = settings();
  Settings["Bootstrap"] = true;
  Settings["Contracts"] = {"base"};
  std::string Problem;
  REQUIRE(parseSettings(Settings.dump(), Problem));
  for (const std::string &Value : oddValues())
    for (const auto &[Name, Good] : Settings.items()) {
      CAPTURE(Value.substr(0, 40));
      CAPTURE(Name);
      const auto Read =
          parseSettings(withValue(Settings, Name, Value), Problem);
      CHECK(Problem.empty() == Read.has_value());
    }
}
