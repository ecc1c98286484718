// A daemon's settings, read from a YAML file and validated.
#pragma once

#include "balsamwheel/detail/node/node.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsamwheel::daemon {

enum class LogFormat : std::uint8_t { Text, Json };

struct Settings {
  InstanceName m_Instance;
  DomainName m_Domain;
  RegionName m_Region;
  /// "host:port" to listen on for other daemons.
  std::string m_PeerListen;
  /// "host:port" at which other daemons reach m_PeerListen.
  std::string m_PeerAdvertised;
  /// "host:port" to listen on for callers.
  std::string m_CallerListen;
  /// "host:port" to listen on for the target's announcements.
  std::string m_TargetListen;
  /// "host:port" to listen on for the admin interface.
  std::string m_AdminListen;
  /// "host:port" of the platform.
  std::string m_PlatformAddress;
  /// Time-out of one call to the platform.
  Duration m_PlatformTimeout = std::chrono::seconds(2);
  /// Maximum number of open connections from callers.
  unsigned m_CallerConnections = 4096;
  /// Maximum number of open connections with other daemons, in both directions.
  unsigned m_PeerConnections = 2048;
  /// A target that sends no announcement for this time is treated as having
  /// left.
  Duration m_TargetSilence = std::chrono::seconds(3);
  /// A shutdown ends after this time even if work is still open.
  Duration m_ShutdownLimit = std::chrono::seconds(60);
  std::string m_LogLevel = "info";
  /// Log file; standard error if empty.
  std::string m_LogFile;
  LogFormat m_LogFormat = LogFormat::Text;
  NodeOptions m_Node;
};

/// An error in a settings file.
struct SettingsError {
  std::string m_File;
  /// Line number from 1; 0 if the file could not be read.
  int m_Line = 0;
  /// Dotted path of the field.
  std::string m_Field;
  std::string m_Reason;
};

/// Formats an error as "FILE:LINE: FIELD: REASON".
std::string toString(const SettingsError &Error);

/// Reads settings from YAML text.
///
/// \param File the file name to report in errors.
/// \returns the settings, or all errors found.
std::variant<Settings, std::vector<SettingsError>>
parseSettings(const std::string &Text, const std::string &File);

/// Reads settings from a file; an unreadable file is reported as an error.
std::variant<Settings, std::vector<SettingsError>>
loadSettings(const std::string &File);

} // namespace balsamwheel::daemon
