// Operator commands against the platform stand-in.
#include "bench/core/http_client.h"
#include "bench/core/platform_stand_in.h"
#include "cli/command_line.h"
#include "cli/error.h"
#include "cli/remaining_capacity.h"
#include "cli/table_session.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>

using namespace balsamwheel;
using namespace balsamwheel::cli;

namespace {

struct Output {
  int m_Code = 0;
  std::string m_Out;
  std::string m_Err;
};

/// A platform stand-in and commands that use it.
class CliFixture {
public:
  CliFixture() : m_Platform({}) {}

  Output run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(),
                     {"--platform", address(), "--table-timeout", "400"});
    std::ostringstream Out;
    std::ostringstream Err;
    const int Code = runCommandLine(Arguments, Out, Err);
    return {Code, Out.str(), Err.str()};
  }

  void setFault(const std::string &Body) {
    bench::ClientRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://" + address() + "/v1/faults";
    Request.m_Body = Body;
    REQUIRE(bench::sendRequest(Request).m_Status == 200);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Platform.port());
  }

private:
  bench::PlatformStandIn m_Platform;
};

/// A temporary manifest file.
class ManifestFile {
public:
  explicit ManifestFile(const std::string &Slots) {
    std::ofstream(m_Path)
        << "deployment: test\n"
           "failure_domains: [{name: a, region: r}, {name: b, region: r}]\n"
           "services:\n"
           "  - name: orders\n"
           "    divided_by_key: true\n"
           "    shards: 16\n"
           "    limits: {slots: "
        << Slots
        << ", connections: 50}\n"
           "    classes: [{name: read}]\n";
  }
  ~ManifestFile() { std::remove(m_Path.c_str()); }
  const std::string m_Path = "unit-cli-manifest.yaml";
};

int exitCodeOf(CliError Error) { return static_cast<int>(Error); }

} // namespace

TEST_CASE("a manifest is committed on its base version and shown") {
  CliFixture Subject;
  const ManifestFile File("4");
  const Output Committed =
      Subject.run({"manifest", "commit", File.m_Path, "--base", "0"});
  CHECK(Committed.m_Code == 0);
  CHECK(Committed.m_Out.find("version 1") != std::string::npos);

  const Output Shown = Subject.run({"--json", "manifest", "show"});
  const auto Document = nlohmann::json::parse(Shown.m_Out);
  CHECK(Document.at("version") == 1);
  CHECK(Document.at("deployment") == "test");
}

TEST_CASE(
    "a commit on an outdated base version conflicts and changes nothing") {
  CliFixture Subject;
  const ManifestFile File("4");
  REQUIRE(
      Subject.run({"manifest", "commit", File.m_Path, "--base", "0"}).m_Code ==
      0);
  const Output Second =
      Subject.run({"manifest", "commit", File.m_Path, "--base", "0"});
  CHECK(Second.m_Code == exitCodeOf(CliError::Conflict));
  CHECK(Second.m_Err.find("nothing was changed") != std::string::npos);
  const Output Status = Subject.run({"--json", "status"});
  CHECK(nlohmann::json::parse(Status.m_Out).at("version") == 1);
}

TEST_CASE("only one of two concurrent commits succeeds") {
  CliFixture Subject;
  const ManifestFile File("4");
  const auto CommitOnEmptyBase = [&] {
    return Subject.run({"manifest", "commit", File.m_Path, "--base", "0"})
        .m_Code;
  };
  auto First = std::async(std::launch::async, CommitOnEmptyBase);
  auto Second = std::async(std::launch::async, CommitOnEmptyBase);
  const int Codes = First.get() + Second.get();
  CHECK(Codes == exitCodeOf(CliError::Conflict));
}

TEST_CASE("failure domains are taken out of and back into service") {
  CliFixture Subject;
  const ManifestFile File("4");
  REQUIRE(
      Subject.run({"manifest", "commit", File.m_Path, "--base", "0"}).m_Code ==
      0);
  CHECK(Subject.run({"domain", "out", "a"}).m_Code == 0);
  const Output Status = Subject.run({"--json", "status"});
  CHECK(nlohmann::json::parse(Status.m_Out).at("domains").at("a") == "out");
  CHECK(Subject.run({"domain", "out", "a"}).m_Out.find("nothing was changed") !=
        std::string::npos);
  CHECK(Subject.run({"domain", "in", "a"}).m_Code == 0);
  CHECK(Subject.run({"domain", "out", "nowhere"}).m_Code ==
        exitCodeOf(CliError::InvalidInput));
}

TEST_CASE("a commit that changes the number of shards is rejected") {
  CliFixture Subject;
  const ManifestFile File("4");
  REQUIRE(
      Subject.run({"manifest", "commit", File.m_Path, "--base", "0"}).m_Code ==
      0);
  {
    std::ifstream In(File.m_Path);
    std::stringstream Text;
    Text << In.rdbuf();
    std::string Changed = Text.str();
    Changed.replace(Changed.find("shards: 16"), 10, "shards: 32");
    std::ofstream(File.m_Path) << Changed;
  }
  CHECK(
      Subject.run({"manifest", "commit", File.m_Path, "--base", "1"}).m_Code ==
      exitCodeOf(CliError::InvalidInput));
}

TEST_CASE(
    "a commit without a reachable table reports that nothing was changed") {
  CliFixture Subject;
  const ManifestFile File("4");
  Subject.setFault(R"({"mode":"down"})");
  const Output Result =
      Subject.run({"manifest", "commit", File.m_Path, "--base", "0"});
  CHECK(Result.m_Code == exitCodeOf(CliError::Unreachable));
  CHECK(Result.m_Err.find("nothing was changed") != std::string::npos);
}

TEST_CASE("a commit whose answer was lost is recognised as applied") {
  CliFixture Subject;
  TableSession Table(Subject.address(), std::chrono::milliseconds(5000));
  const RowKey Marker("marker");
  const Transaction Commit{.m_Id = WriteId(42),
                           .m_Conditions = {{Marker, RowVersion()}},
                           .m_Writes = {{Marker, R"({"write_id": 42})"}}};
  Subject.setFault(R"({"mode":"ambiguous"})");
  auto Result = std::async(std::launch::async,
                           [&] { return Table.commit(Commit, Marker); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  Subject.setFault(R"({"mode":"ok"})");
  CHECK_FALSE(Result.get());
  const auto Rows = Table.read({.m_Keys = {Marker}, .m_Prefixes = {}});
  REQUIRE(Rows.has_value());
  CHECK(Rows->at(0).m_Value == R"({"write_id": 42})");
}

TEST_CASE("invalid usage has its own exit code") {
  CliFixture Subject;
  CHECK(Subject.run({"domain"}).m_Code == exitCodeOf(CliError::Usage));
  CHECK(Subject.run({"route", "orders"}).m_Code == exitCodeOf(CliError::Usage));
  CHECK(Subject.run({"--nonsense"}).m_Code == exitCodeOf(CliError::Usage));
  CHECK(Subject.run({"--help"}).m_Code == 0);
  CHECK(Subject.run({"manifest", "check", "no-such-file"}).m_Code ==
        exitCodeOf(CliError::InvalidInput));
}

TEST_CASE("remaining capacity suffices up to the usable share of its slots") {
  CHECK_FALSE(isInsufficient(7, 10));
  CHECK(isInsufficient(9, 10));
  CHECK(isInsufficient(0, 0));
}
