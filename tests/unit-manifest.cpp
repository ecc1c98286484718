// Reading, validating and comparing manifests.
#include "balsamwheel/coordination.h"
#include "balsamwheel/manifest.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace balsamwheel;

namespace {

const std::string ValidManifest = R"(deployment: test
failure_domains:
  - { name: a, region: r }
services:
  - name: orders
    divided_by_key: true
    shards: 16
    limits: { slots: 4, connections: 20 }
    classes:
      - { name: read, deadline: 250ms, match: ["GET /orders"] }
      - { name: place, idempotent: false, deadline: 1s }
)";

/// Replaces the first \p Original in the valid manifest and reads the result.
ManifestResult readEdited(const std::string &Original,
                          const std::string &Replacement) {
  std::string Text = ValidManifest;
  const std::size_t Position = Text.find(Original);
  REQUIRE(Position != std::string::npos);
  Text.replace(Position, Original.size(), Replacement);
  return readManifest(Text, "m.yaml");
}

bool reports(const ManifestResult &Result, int Line, const std::string &Field,
             const std::string &Reason) {
  return std::any_of(Result.m_Problems.begin(), Result.m_Problems.end(),
                     [&](const Problem &Found) {
                       return Found.m_File == "m.yaml" &&
                              Found.m_Line == Line && Found.m_Field == Field &&
                              Found.m_Reason.find(Reason) != std::string::npos;
                     });
}

} // namespace

TEST_CASE("a valid manifest is read completely") {
  const ManifestResult Result = readManifest(ValidManifest, "m.yaml");
  REQUIRE(Result.m_Manifest.has_value());
  const Service &Orders = Result.m_Manifest->m_Services.at(0);
  CHECK(Orders.m_Shards == 16);
  CHECK(Orders.m_Slots == 4);
  CHECK(Orders.m_Classes.at(0).m_Deadline == std::chrono::milliseconds(250));
  CHECK(Orders.m_Classes.at(0).m_Idempotent);
  CHECK_FALSE(Orders.m_Classes.at(1).m_Idempotent);
}

TEST_CASE("problems are reported with line, field and reason") {
  CHECK(reports(readEdited("shards: 16", "shards: many"), 7,
                "services[0].shards", "whole number"));
  CHECK(reports(readEdited("shards: 16", "shards: 0"), 7, "services[0].shards",
                "from 1"));
  CHECK(reports(readEdited("shards: 16", "shard: 16"), 7, "services[0].shard",
                "not a known field"));
  CHECK(reports(readEdited("deadline: 250ms", "deadline: soon"), 10,
                "services[0].classes[0].deadline", "duration"));
  CHECK(reports(readEdited("deadline: 1s", "deadline: 1m"), 11,
                "services[0].classes[1].deadline", "must be from"));
  CHECK(reports(readEdited("name: place", "name: read"), 11,
                "services[0].classes[1].name", "used twice"));
  CHECK(reports(readEdited("slots: 4", "slots: 400"), 8,
                "services[0].limits.connections", "lower than slots"));
  CHECK(reports(readEdited("GET /orders", "orders"), 10,
                "services[0].classes[0].match", "METHOD"));
  CHECK(reports(readEdited("idempotent: false", "idempotent: maybe"), 11,
                "services[0].classes[1].idempotent", "true or false"));
  CHECK(reports(readEdited("region: r", "region: 'r r'"), 3,
                "failure_domains[0].region", "letters"));
  CHECK(reports(readEdited("shards: 16", "shards: 16\n    shards: 16"), 8,
                "services[0].shards", "duplicate"));
}

TEST_CASE("an invalid manifest yields problems and no manifest") {
  const ManifestResult Result = readEdited("shards: 16", "shards: many");
  CHECK_FALSE(Result.m_Manifest.has_value());
  CHECK_FALSE(readManifest("[", "m.yaml").m_Problems.empty());
  CHECK_FALSE(readManifest("", "m.yaml").m_Problems.empty());
  CHECK_FALSE(readManifestFile("no/such/file").m_Problems.empty());
}

TEST_CASE("any text yields either a manifest or problems") {
  CHECK(rc::check("arbitrary text", [] {
    const auto Text = *rc::gen::arbitrary<std::string>();
    const ManifestResult Result = readManifest(Text, "m.yaml");
    RC_ASSERT(Result.m_Manifest.has_value() == Result.m_Problems.empty());
  }));
  CHECK(rc::check("one byte of a valid manifest changed", [] {
    std::string Text = ValidManifest;
    const auto Index = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text.at(Index) = *rc::gen::arbitrary<char>();
    const ManifestResult Result = readManifest(Text, "m.yaml");
    RC_ASSERT(Result.m_Manifest.has_value() == Result.m_Problems.empty());
  }));
}

TEST_CASE("durations require a unit and must not be negative") {
  CHECK(readEdited("deadline: 250ms", "deadline: 250000us")
            .m_Manifest->m_Services.at(0)
            .m_Classes.at(0)
            .m_Deadline == std::chrono::milliseconds(250));
  CHECK_FALSE(readEdited("deadline: 250ms", "deadline: 250").m_Manifest);
  CHECK_FALSE(readEdited("deadline: 250ms", "deadline: -1s").m_Manifest);
}

TEST_CASE("changes between manifests are reported by path") {
  const Manifest Before = *readManifest(ValidManifest, "m.yaml").m_Manifest;
  const Manifest After = *readEdited("slots: 4", "slots: 5").m_Manifest;
  const auto Changes = diffManifests(Before, After);
  REQUIRE(Changes.size() == 1);
  CHECK(Changes.at(0).m_Path == "services/orders/slots");
  CHECK(Changes.at(0).m_Before == "4");
  CHECK(Changes.at(0).m_After == "5");
  CHECK(diffManifests(Before, Before).empty());
}

TEST_CASE("the number of shards cannot change while a service runs") {
  const Manifest Before = *readManifest(ValidManifest, "m.yaml").m_Manifest;
  CHECK(incompatibleChanges(Before,
                            *readEdited("shards: 16", "shards: 32").m_Manifest)
            .size() == 1);
  CHECK(incompatibleChanges(Before, Before).empty());
}
