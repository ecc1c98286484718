// A daemon's settings, read from YAML and checked whole.
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
  /// "host:port" for other daemons.
  std::string m_PeerListen;
  /// "host:port" where other daemons reach m_PeerListen.
  std::string m_PeerAdvertised;
  /// "host:port" for callers.
  std::string m_CallerListen;
  /// "host:port" where the target announces itself.
  std::string m_TargetListen;
  /// "host:port" for status and metrics.
  std::string m_AdminListen;
  std::string m_PlatformAddress;
  Duration m_PlatformTimeout = std::chrono::seconds(2);
  unsigned m_CallerConnections = 4096;
  unsigned m_PeerConnections = 2048;
  /// A target silent for this long is gone.
  Duration m_TargetSilence = std::chrono::seconds(3);
  /// A shutdown that takes longer ends anyhow.
  Duration m_ShutdownLimit = std::chrono::seconds(60);
  std::string m_LogLevel = "info";
  /// Standard error when empty.
  std::string m_LogFile;
  LogFormat m_LogFormat = LogFormat::Text;
  NodeOptions m_Node;
};

/// A fault in a settings file.
struct SettingsError {
  std::string m_File;
  /// From 1; 0 when the file could not be read.
  int m_Line = 0;
  /// Dotted path of the field.
  std::string m_Field;
  std::string m_Reason;
};

/// "FILE:LINE: FIELD: REASON".
std::string toString(const SettingsError &Error);

/// Reads settings from YAML text.
///
/// \param File name used in errors.
/// \returns every fault found, or the settings.
std::variant<Settings, std::vector<SettingsError>>
parseSettings(const std::string &Text, const std::string &File);

/// Reads a settings file.
std::variant<Settings, std::vector<SettingsError>>
loadSettings(const std::string &File);

} // namespace balsamwheel::daemon
