// Starts, controls and queries the processes of a deployment.
#include "bench/core/cluster.h"

#include "balsamwheel/detail/manifest/document.h"
#include "bench/core/clock.h"
#include "bench/core/http_client.h"
#include "bench/core/journal.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace balsamwheel::bench {

namespace {

constexpr Duration StartTimeout = std::chrono::seconds(60);
constexpr Duration OperatorTimeout = std::chrono::seconds(30);
constexpr std::uint32_t ProbesPerStream = 24;

std::string loopbackAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

std::filesystem::path makeFolder() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "balsamwheel-XXXXXX").string();
  if (mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  return Template;
}

} // namespace

Cluster::Cluster(ClusterOptions Options)
    : m_Options(std::move(Options)), m_Folder(makeFolder()) {
  for (const ServerPlan &Plan : m_Options.m_Deployment.m_Servers) {
    Server Host;
    Host.m_Plan = Plan;
    Host.m_PeerPort = pickFreePort();
    if (m_Options.m_Relays) {
      Host.m_RelayPort = pickFreePort();
      m_Relays.add(Host.m_RelayPort, Host.m_PeerPort);
    }
    Host.m_CallerPort = pickFreePort();
    Host.m_AnnouncePort = pickFreePort();
    Host.m_AdminPort = pickFreePort();
    Host.m_TargetPort = pickFreePort();
    Host.m_ControlPort = pickFreePort();
    Host.m_Folder = m_Folder / Plan.m_Instance;
    std::filesystem::create_directories(Host.m_Folder);
    m_Servers.push_back(std::move(Host));
  }
  m_Relays.start();
}

Cluster::~Cluster() {
  for (Server &Host : m_Servers) {
    Host.m_Daemon.kill();
    Host.m_Target.kill();
  }
  m_Platform.kill();
  if (m_KeepFolder)
    return;
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

std::string Cluster::platformUrl() const {
  return "http://" + loopbackAddress(m_PlatformPort);
}

void Cluster::start() {
  startPlatform();
  for (std::size_t Index = 0; Index < m_Servers.size(); ++Index)
    startServer(Index, m_Options.m_ColdTargets);
  commitManifest();
  waitUntilServing();
}

void Cluster::startPlatform() {
  m_PlatformPort = pickFreePort();
  m_Platform = ChildProcess(
      {.m_Command = {m_Options.m_Programs / "balsamwheel-bench", "platform",
                     "--port", std::to_string(m_PlatformPort)},
       .m_Log = m_Folder / "platform.log"});
  const TimePoint End = now() + StartTimeout;
  while (!getJson(platformUrl() + "/v1/counters").is_object()) {
    if (now() > End)
      throw std::runtime_error(
          "the platform stand-in did not answer within the start time-out");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void Cluster::writeSettings(const Server &Host) const {
  std::ofstream File(Host.m_Folder / "settings.yaml");
  File << "instance: " << Host.m_Plan.m_Instance << "\n"
       << "domain: " << Host.m_Plan.m_Domain << "\n"
       << "region: " << m_Options.m_Deployment.m_Region << "\n"
       << "peer_address: " << loopbackAddress(Host.m_PeerPort) << "\n"
       << (Host.m_RelayPort == 0
               ? std::string()
               : "peer_advertised: " + loopbackAddress(Host.m_RelayPort) + "\n")
       << "caller_address: " << loopbackAddress(Host.m_CallerPort) << "\n"
       << "target_address: " << loopbackAddress(Host.m_AnnouncePort) << "\n"
       << "admin_address: " << loopbackAddress(Host.m_AdminPort) << "\n"
       << "platform: " << platformUrl() << "\n"
       << "log:\n  level: info\n  format: json\n  file: "
       << (Host.m_Folder / "daemon.jsonl").string() << "\n";
  if (m_Options.m_Policy.empty())
    return;
  File << "policy:\n";
  for (const auto &[Name, Value] : m_Options.m_Policy)
    File << "  " << Name << ": " << Value << "\n";
}

void Cluster::startServer(std::size_t Index, bool Cold) {
  startDaemon(m_Servers.at(Index));
  startTarget(Index, Cold);
}

void Cluster::restartTarget(std::size_t Index, bool Cold) {
  m_Servers.at(Index).m_Target.kill();
  startTarget(Index, Cold);
}

void Cluster::startDaemon(Server &Host) const {
  writeSettings(Host);
  Host.m_Daemon = ChildProcess(
      {.m_Command = {m_Options.m_Programs / "balsamwheeld", "--settings",
                     Host.m_Folder / "settings.yaml"},
       .m_Log = Host.m_Folder / "daemon.log"});
}

void Cluster::startTarget(std::size_t Index, bool Cold) {
  Server &Host = m_Servers.at(Index);
  std::vector<std::string> Command{
      m_Options.m_Programs / "balsamwheel-bench",
      "target",
      "--port",
      std::to_string(Host.m_TargetPort),
      "--control-port",
      std::to_string(Host.m_ControlPort),
      "--service",
      Host.m_Plan.m_Service,
      "--daemon",
      loopbackAddress(Host.m_AnnouncePort),
      "--seed",
      std::to_string(m_Options.m_Seed * 100 + Index),
      "--scale",
      std::to_string(m_Options.m_ServiceTimeFactor),
      "--journal",
      Host.m_Folder / "journal.jsonl"};
  if (Cold)
    Command.emplace_back("--cold");
  Host.m_Target = ChildProcess(
      {.m_Command = std::move(Command), .m_Log = Host.m_Folder / "target.log"});
}

void Cluster::signalServer(std::size_t Index, int Signal) {
  m_Servers.at(Index).m_Daemon.signal(Signal);
  m_Servers.at(Index).m_Target.signal(Signal);
}

void Cluster::killServer(std::size_t Index) {
  signalServer(Index, SIGKILL);
  m_Servers.at(Index).m_Daemon.kill();
  m_Servers.at(Index).m_Target.kill();
}

ProgramResult Cluster::runOperatorCommand(std::vector<std::string> Arguments) {
  std::vector<std::string> Command{m_Options.m_Programs / "balsamwheel",
                                   "--platform",
                                   loopbackAddress(m_PlatformPort)};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return runProgram(
      {.m_Command = std::move(Command), .m_Log = m_Folder / "operator.log"},
      OperatorTimeout);
}

ChildProcess Cluster::startOperatorCommand(std::vector<std::string> Arguments) {
  std::vector<std::string> Command{m_Options.m_Programs / "balsamwheel",
                                   "--platform",
                                   loopbackAddress(m_PlatformPort)};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return ChildProcess(
      {.m_Command = std::move(Command), .m_Log = m_Folder / "operator.log"});
}

void Cluster::commitManifest() {
  const ProgramResult Result = runOperatorCommand(
      {"manifest", "commit", m_Options.m_Manifest, "--base", "0"});
  if (Result.m_ExitCode != 0)
    throw std::runtime_error("manifest commit failed: " + Result.m_Output);
}

bool Cluster::probe(const LoadStream &Stream, std::uint32_t Number) {
  const Server &Entrance = m_Servers[Number % m_Servers.size()];
  ClientRequest Request;
  Request.m_Method = Stream.m_Method;
  Request.m_Url =
      "http://" + loopbackAddress(Entrance.m_CallerPort) + Stream.m_Path;
  Request.m_Headers = {"Balsamwheel-Service: " + Stream.m_Service,
                       "Balsamwheel-Class: " + Stream.m_Class};
  if (Stream.m_Keyed)
    Request.m_Headers.push_back("Balsamwheel-Key: probe-" +
                                std::to_string(Number));
  return sendRequest(Request).m_Status == 200;
}

void Cluster::waitUntilServing() {
  const TimePoint End = now() + StartTimeout;
  for (const LoadStream &Stream : m_Options.m_Deployment.m_Streams) {
    if (!Stream.m_Idempotent)
      continue;
    for (std::uint32_t Number = 0; Number < ProbesPerStream; ++Number)
      while (!probe(Stream, Number)) {
        if (now() > End)
          throw std::runtime_error("probe requests of stream " + Stream.m_Name +
                                   " did not succeed within the start "
                                   "time-out; logs in " +
                                   m_Folder.string());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
  }
}

std::size_t Cluster::indexOf(const std::string &Instance) const {
  for (std::size_t Index = 0; Index < m_Servers.size(); ++Index)
    if (m_Servers[Index].m_Plan.m_Instance == Instance)
      return Index;
  throw std::runtime_error("unknown instance " + Instance);
}

std::vector<std::size_t> Cluster::indicesOf(const std::string &Domain) const {
  std::vector<std::size_t> Result;
  for (std::size_t Index = 0; Index < m_Servers.size(); ++Index)
    if (m_Servers[Index].m_Plan.m_Domain == Domain)
      Result.push_back(Index);
  return Result;
}

std::vector<std::string> Cluster::entrances() const {
  std::vector<std::string> Result;
  Result.reserve(m_Servers.size());
  for (const Server &Host : m_Servers)
    Result.push_back(loopbackAddress(Host.m_CallerPort));
  return Result;
}

void Cluster::isolate(const std::vector<std::size_t> &Indices,
                      bool FromPlatform) {
  std::set<std::uint16_t> Ports;
  nlohmann::json Names = nlohmann::json::array();
  for (const std::size_t Index : Indices) {
    Ports.insert(m_Servers.at(Index).m_RelayPort);
    Names.push_back(m_Servers.at(Index).m_Plan.m_Instance);
  }
  m_Relays.isolate(std::move(Ports));
  if (FromPlatform)
    setPlatformFault({{"mode", "down"}, {"peers", std::move(Names)}});
}

void Cluster::healPartition() {
  m_Relays.heal();
  setPlatformFault({{"mode", "ok"}});
}

void Cluster::setPlatformFault(const nlohmann::json &Fault) {
  if (postJson(platformUrl() + "/v1/faults", Fault).m_Status != 200)
    throw std::runtime_error("the platform stand-in rejected a fault setting");
}

void Cluster::setTargetFault(std::size_t Index, const nlohmann::json &Fault) {
  const std::string Url = "http://" +
                          loopbackAddress(m_Servers.at(Index).m_ControlPort) +
                          "/v1/faults";
  if (postJson(Url, Fault).m_Status != 200)
    throw std::runtime_error("a target stand-in rejected a fault setting");
}

std::optional<Config> Cluster::readConfig() {
  const ClientReply Reply = postJson(platformUrl() + "/v1/read",
                                     {{"keys", {ConfigHeadRowKey.value()}},
                                      {"prefixes", nlohmann::json::array()}});
  const auto Body = nlohmann::json::parse(Reply.m_Body, nullptr, false);
  if (Reply.m_Status != 200 || !Body.is_object())
    return std::nullopt;
  const nlohmann::json &Head = Body.at("rows").at(0);
  return configFromRow(
      {.m_Key = ConfigHeadRowKey,
       .m_Version = RowVersion(Head.at("version").get<std::uint64_t>()),
       .m_Value = Head.at("value").get<std::string>()});
}

nlohmann::json Cluster::platformCounters() {
  return getJson(platformUrl() + "/v1/counters");
}

nlohmann::json Cluster::targetReport(std::size_t Index) {
  return getJson("http://" +
                 loopbackAddress(m_Servers.at(Index).m_ControlPort) +
                 "/v1/executions");
}

std::vector<InstanceExecutions> Cluster::readExecutions() const {
  std::vector<InstanceExecutions> Result;
  Result.reserve(m_Servers.size());
  for (const Server &Host : m_Servers)
    Result.push_back(
        {.m_Instance = Host.m_Plan.m_Instance,
         .m_Domain = Host.m_Plan.m_Domain,
         .m_Service = Host.m_Plan.m_Service,
         .m_Orders = readJournal(Host.m_Folder / "journal.jsonl")});
  return Result;
}

} // namespace balsamwheel::bench
