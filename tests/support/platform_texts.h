// Valid texts of the platform, for tests that change parts of them.
#pragma once

#include <nlohmann/json.hpp>

namespace balsamwheel::tests {

/// A settings file.
inline nlohmann::json settings() {
  return {{"NodeName", "n"},
          {"Zone", "z"},
          {"Service", "s"},
          {"AppAddr", "10.0.0.1:80"},
          {"Ip", "10.0.0.1"},
          {"HeartbeatS", 0.87},
          {"ListenAddrs",
           {{"Outbound", "10.0.0.1:1"},
            {"Ready", "10.0.0.1:2"},
            {"Control", "10.0.0.1:3"}}},
          {"InternalPortRange", {7600, 7615}},
          {"Limits", {{"MaxFds", 4100}}},
          {"Bounds", {"DrainS=2.5", "MaxHoldS=5", "SomethingNew=yes"}},
          {"Platform", {{"Address", "10.9.0.1:9"}}},
          {"NewField", 1}};
}

/// A target's heartbeat.
inline nlohmann::json heartbeat() {
  return {{"Service", "s"},
          {"Address", "10.0.0.1:80"},
          {"Zone", "z"},
          {"Version", "v1"},
          {"Slots", 9},
          {"State", "ready"},
          {"ColdRemainingS", 1.5},
          {"Sequence", 4},
          {"born", 1700000000000}};
}

} // namespace balsamwheel::tests
