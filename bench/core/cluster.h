// Runs a deployment as processes on the loopback interface: the platform
// stand-in, and for each server a daemon and a target.
#pragma once

#include "balsamwheel/detail/manifest/model.h"
#include "bench/core/deployment.h"
#include "bench/core/oracle.h"
#include "bench/core/process.h"
#include "bench/core/relay.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace balsamwheel::bench {

/// Entries of the "policy" section of the settings; empty for the defaults.
using PolicySettings = std::vector<std::pair<std::string, std::string>>;

struct ClusterOptions {
  Deployment m_Deployment;
  /// Folder with balsamwheeld, balsamwheel and balsamwheel-bench.
  std::filesystem::path m_Programs;
  /// The manifest to commit.
  std::filesystem::path m_Manifest;
  PolicySettings m_Policy;
  std::uint64_t m_Seed = 1;
  /// Factor on the service times of all targets.
  double m_ServiceTimeFactor = 1;
  /// Starts the targets cold.
  bool m_ColdTargets = false;
  /// Connects the daemons to each other through relays, which can cut them off.
  bool m_Relays = false;
};

/// One daemon and its target.
struct Server {
  ServerPlan m_Plan;
  std::uint16_t m_PeerPort = 0;
  /// Port of the relay in front of the peer port; 0 without relays.
  std::uint16_t m_RelayPort = 0;
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_AnnouncePort = 0;
  std::uint16_t m_AdminPort = 0;
  std::uint16_t m_TargetPort = 0;
  std::uint16_t m_ControlPort = 0;
  std::filesystem::path m_Folder;
  ChildProcess m_Daemon;
  ChildProcess m_Target;
};

/// The destructor kills all processes. Use from one thread only.
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts all processes, commits the manifest and waits until probe requests
  /// succeed.
  ///
  /// \throws std::runtime_error after a time-out.
  void start();
  std::vector<Server> &servers() { return m_Servers; }
  /// Returns the full name of the domain with this suffix.
  std::string domainName(const std::string &Suffix) const {
    return m_Options.m_Deployment.m_DomainPrefix + "-" + Suffix;
  }
  /// \throws std::runtime_error for an unknown instance.
  std::size_t indexOf(const std::string &Instance) const;
  std::vector<std::size_t> indicesOf(const std::string &Domain) const;
  /// "host:port" of every daemon's caller interface.
  std::vector<std::string> entrances() const;

  void startServer(std::size_t Index, bool Cold = false);
  /// Kills a target and starts it again; its daemon keeps running.
  void restartTarget(std::size_t Index, bool Cold);
  /// Sends a signal to a daemon and its target.
  void signalServer(std::size_t Index, int Signal);
  /// Kills a daemon and its target with SIGKILL.
  void killServer(std::size_t Index);
  /// Runs the operators' command-line tool to its end.
  ProgramResult runOperatorCommand(std::vector<std::string> Arguments);
  /// Starts the operators' command-line tool without waiting for it.
  ChildProcess startOperatorCommand(std::vector<std::string> Arguments);
  RelayHub &relays() { return m_Relays; }
  /// Cuts servers off from all other daemons, and from the platform when
  /// \p FromPlatform is set. Needs relays.
  void isolate(const std::vector<std::size_t> &Indices, bool FromPlatform);
  void healPartition();
  void setPlatformFault(const nlohmann::json &Fault);
  void setTargetFault(std::size_t Index, const nlohmann::json &Fault);

  /// Returns the committed configuration from the table; none when it can't be
  /// read.
  std::optional<Config> readConfig();
  nlohmann::json platformCounters();
  nlohmann::json targetReport(std::size_t Index);
  /// Reads from the journals what every target has run so far.
  std::vector<InstanceExecutions> readExecutions() const;
  const std::filesystem::path &folder() const { return m_Folder; }
  /// Keeps the folder with the logs when this object is destroyed.
  void keepFolder() { m_KeepFolder = true; }

private:
  std::string platformUrl() const;
  void writeSettings(const Server &Host) const;
  void startDaemon(Server &Host) const;
  void startTarget(std::size_t Index, bool Cold);
  void startPlatform();
  void commitManifest();
  void waitUntilServing();
  bool probe(const LoadStream &Stream, std::uint32_t Number);

  ClusterOptions m_Options;
  std::filesystem::path m_Folder;
  std::uint16_t m_PlatformPort = 0;
  ChildProcess m_Platform;
  RelayHub m_Relays;
  std::vector<Server> m_Servers;
  bool m_KeepFolder = false;
};

} // namespace balsamwheel::bench
