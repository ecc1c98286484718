// Settings files: valid ones, and each kind of error with its line.
#include "daemon/settings.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace balsamwheel;
using namespace balsamwheel::daemon;

namespace {

const std::string RequiredOnly = R"(instance: tt-1
domain: a
region: r
peer_address: 127.0.0.1:7001
caller_address: 127.0.0.1:7002
target_address: 127.0.0.1:7003
admin_address: 127.0.0.1:7004
platform: http://127.0.0.1:7000
)";

Settings parseValid(const std::string &Text) {
  auto Result = parseSettings(Text, "file.yaml");
  REQUIRE(std::holds_alternative<Settings>(Result));
  return std::get<Settings>(Result);
}

std::vector<std::string> parseInvalid(const std::string &Text) {
  auto Result = parseSettings(Text, "file.yaml");
  REQUIRE(std::holds_alternative<std::vector<SettingsError>>(Result));
  std::vector<std::string> Lines;
  for (const SettingsError &Error :
       std::get<std::vector<SettingsError>>(Result))
    Lines.push_back(daemon::toString(Error));
  return Lines;
}

/// Whether exactly one error is reported and it starts with \p Start.
bool onlyError(const std::string &Text, const std::string &Start) {
  const std::vector<std::string> Errors = parseInvalid(Text);
  CAPTURE(Errors.front());
  return Errors.size() == 1 && Errors.front().starts_with(Start);
}

} // namespace

TEST_CASE("settings without optional fields keep the defaults") {
  const Settings Given = parseValid(RequiredOnly);
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
  const Settings Given =
      parseValid(RequiredOnly + R"(log: {level: debug, format: json}
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

TEST_CASE("an error is reported with file, line, field and reason") {
  CHECK(onlyError(RequiredOnly + "colour: red\n",
                  "file.yaml:9: colour: is not a known field"));
  CHECK(onlyError(RequiredOnly + "policy:\n  gate: open\n",
                  "file.yaml:10: policy.gate: must be one of adaptive, fixed"));
  CHECK(onlyError(RequiredOnly + "limits:\n  outcomes: many\n",
                  "file.yaml:10: limits.outcomes: must be a whole number"));
  CHECK(onlyError(RequiredOnly + "limits:\n  outcomes: 0\n",
                  "file.yaml:10: limits.outcomes: must be a whole number"));
  CHECK(
      onlyError(RequiredOnly + "retry: [1]\n", "file.yaml:9: retry: must be"));
  CHECK(onlyError(RequiredOnly + "policy:\n  hedge: maybe\n",
                  "file.yaml:10: policy.hedge: must be true or false"));
  CHECK(onlyError(RequiredOnly + "domain: b\n",
                  "file.yaml:9: domain: is a duplicate field"));
  CHECK(onlyError(RequiredOnly + "coordination: {lease_ms: 700}\n",
                  "file.yaml:1: coordination.lease_ms: must be at least"));
}

TEST_CASE("addresses and the platform's URL are checked") {
  std::string Text = RequiredOnly;
  Text.replace(Text.find("127.0.0.1:7001"), 14, "localhost:7001");
  CHECK(onlyError(Text, "file.yaml:4: peer_address: must be an IPv4"));
  Text = RequiredOnly;
  Text.replace(Text.find("http://"), 7, "ftp://");
  CHECK(onlyError(Text, "file.yaml:8: platform: must be a URL"));
}

TEST_CASE("all errors are reported together") {
  const std::vector<std::string> Errors =
      parseInvalid("instance: x\nextra: 1\n");
  const auto Has = [&Errors](const std::string &Line) {
    return std::find(Errors.begin(), Errors.end(), Line) != Errors.end();
  };
  CHECK(Has("file.yaml:1: domain: is missing"));
  CHECK(Has("file.yaml:1: platform: is missing"));
  CHECK(Has("file.yaml:2: extra: is not a known field"));
}

TEST_CASE("text that is not a YAML mapping is rejected") {
  CHECK(parseInvalid("a: [1, 2\n").front().starts_with("file.yaml:"));
  CHECK(parseInvalid("- 1\n").front() == "file.yaml:1: must be a mapping");
  CHECK(parseInvalid("").front() == "file.yaml:1: must be a mapping");
}

TEST_CASE("an unreadable file is reported with its name") {
  const auto Result = loadSettings("/nonexistent/settings.yaml");
  REQUIRE(std::holds_alternative<std::vector<SettingsError>>(Result));
  const auto &Errors = std::get<std::vector<SettingsError>>(Result);
  CHECK(daemon::toString(Errors.front()) ==
        "/nonexistent/settings.yaml:0: cannot be read");
}
