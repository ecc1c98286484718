// Settings files: complete ones, and every kind of fault with its line.
#include "daemon/settings.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace balsamwheel;
using namespace balsamwheel::daemon;

namespace {

const std::string Complete = R"(instance: tt-1
domain: a
region: r
peer_address: 127.0.0.1:7001
caller_address: 127.0.0.1:7002
target_address: 127.0.0.1:7003
admin_address: 127.0.0.1:7004
platform: http://127.0.0.1:7000
)";

Settings accept(const std::string &Text) {
  auto Result = parseSettings(Text, "file.yaml");
  REQUIRE(std::holds_alternative<Settings>(Result));
  return std::get<Settings>(Result);
}

std::vector<std::string> refuse(const std::string &Text) {
  auto Result = parseSettings(Text, "file.yaml");
  REQUIRE(std::holds_alternative<std::vector<SettingsError>>(Result));
  std::vector<std::string> Lines;
  for (const SettingsError &Error :
       std::get<std::vector<SettingsError>>(Result))
    Lines.push_back(daemon::toString(Error));
  return Lines;
}

/// Whether exactly one fault was found, and it starts as given.
bool onlyFault(const std::string &Text, const std::string &Start) {
  const std::vector<std::string> Faults = refuse(Text);
  CAPTURE(Faults.front());
  return Faults.size() == 1 && Faults.front().starts_with(Start);
}

} // namespace

TEST_CASE("settings without optional fields keep the defaults") {
  const Settings Given = accept(Complete);
  CHECK(Given.m_Instance == InstanceName("tt-1"));
  CHECK(Given.m_PlatformAddress == "127.0.0.1:7000");
  CHECK(Given.m_LogFormat == LogFormat::Text);
  CHECK(Given.m_Node.m_Coordinator.m_Peer == PeerAddress("127.0.0.1:7001"));
  CHECK(Given.m_Node.m_Coordinator.m_CallerAddress == "127.0.0.1:7002");
  CHECK(Given.m_Node.m_Coordinator.m_Timing.m_Lease ==
        CoordinationTiming().m_Lease);
  CHECK(Given.m_Node.m_Admission.m_Adaptive);
}

TEST_CASE("optional sections are read") {
  const Settings Given = accept(Complete + R"(log: {level: debug, format: json}
limits: {platform_timeout_ms: 500, caller_connections: 10}
coordination: {lease_ms: 3000, heartbeat_ms: 900}
policy:
  handover: drain-then-switch
  witnesses: false
  gate: fixed
  picker: round-robin
  hedge: false
  hedge_budget: 0.5
admission: {cold_slots: 3}
retry: {ratio: 0.2, burst: 5}
)");
  CHECK(Given.m_LogFormat == LogFormat::Json);
  CHECK(Given.m_LogLevel == "debug");
  CHECK(Given.m_PlatformTimeout == std::chrono::milliseconds(500));
  CHECK(Given.m_CallerConnections == 10);
  const CoordinatorOptions &Coordinator = Given.m_Node.m_Coordinator;
  CHECK(Coordinator.m_Timing.m_Lease == std::chrono::milliseconds(3000));
  CHECK(Coordinator.m_Handover == HandoverMode::DrainThenSwitch);
  CHECK_FALSE(Coordinator.m_UseWitnesses);
  CHECK_FALSE(Given.m_Node.m_Admission.m_Adaptive);
  CHECK(Given.m_Node.m_Admission.m_ColdSlots == 3);
  CHECK(Given.m_Node.m_Picker.m_Policy == PickPolicy::RoundRobin);
  CHECK_FALSE(Given.m_Node.m_Picker.m_Hedge);
  CHECK(Given.m_Node.m_Retry.m_Ratio == doctest::Approx(0.2));
}

TEST_CASE("a fault names file, line, field and reason") {
  CHECK(onlyFault(Complete + "colour: red\n",
                  "file.yaml:9: colour: is no known field"));
  CHECK(onlyFault(Complete + "policy:\n  gate: open\n",
                  "file.yaml:10: policy.gate: must be one of adaptive, fixed"));
  CHECK(onlyFault(Complete + "limits:\n  outcomes: many\n",
                  "file.yaml:10: limits.outcomes: must be a whole number"));
  CHECK(onlyFault(Complete + "limits:\n  outcomes: 0\n",
                  "file.yaml:10: limits.outcomes: must be a whole number"));
  CHECK(onlyFault(Complete + "retry: [1]\n", "file.yaml:9: retry: must be"));
  CHECK(onlyFault(Complete + "policy:\n  hedge: maybe\n",
                  "file.yaml:10: policy.hedge: must be true or false"));
  CHECK(onlyFault(Complete + "domain: b\n",
                  "file.yaml:9: domain: is given twice"));
  CHECK(onlyFault(Complete + "coordination: {lease_ms: 700}\n",
                  "file.yaml:1: coordination.lease_ms: must be at least"));
}

TEST_CASE("addresses and the platform's URL are checked") {
  std::string Text = Complete;
  Text.replace(Text.find("127.0.0.1:7001"), 14, "localhost:7001");
  CHECK(onlyFault(Text, "file.yaml:4: peer_address: must be an IPv4"));
  Text = Complete;
  Text.replace(Text.find("http://"), 7, "ftp://");
  CHECK(onlyFault(Text, "file.yaml:8: platform: must be as in"));
}

TEST_CASE("all faults are reported together") {
  const std::vector<std::string> Faults = refuse("instance: x\nextra: 1\n");
  const auto Has = [&Faults](const std::string &Line) {
    return std::find(Faults.begin(), Faults.end(), Line) != Faults.end();
  };
  CHECK(Has("file.yaml:1: domain: is missing"));
  CHECK(Has("file.yaml:1: platform: is missing"));
  CHECK(Has("file.yaml:2: extra: is no known field"));
}

TEST_CASE("text that is no YAML mapping is refused") {
  CHECK(refuse("a: [1, 2\n").front().starts_with("file.yaml:"));
  CHECK(refuse("- 1\n").front() == "file.yaml:1: must be a mapping");
  CHECK(refuse("").front() == "file.yaml:1: must be a mapping");
}

TEST_CASE("a file that cannot be read is named") {
  const auto Result = loadSettings("/nonexistent/settings.yaml");
  REQUIRE(std::holds_alternative<std::vector<SettingsError>>(Result));
  const auto &Errors = std::get<std::vector<SettingsError>>(Result);
  CHECK(daemon::toString(Errors.front()) ==
        "/nonexistent/settings.yaml:0: cannot be read");
}
