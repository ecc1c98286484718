// Settings of a router process, as its adapter reads them.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include "net/stream.h"

#include <optional>
#include <string>

namespace balsamwheel {

struct RouterSettings {
  InstanceName m_Instance;
  DomainName m_Domain;
  /// Service of the target beside this daemon.
  ServiceName m_Service;
  Endpoint m_Target;
  /// For callers on this machine.
  Endpoint m_Callers;
  Endpoint m_Ready;
  Endpoint m_TargetControl;
  Endpoint m_Peers;
  /// Where other daemons reach this one, if not where it listens.
  std::optional<Endpoint> m_Advertised;
  std::optional<Endpoint> m_Metrics;
  Endpoint m_Table;
  std::size_t m_MaxHandles = 1024;
  /// Of the machine's own link; 0 means no limit.
  double m_LinkBytesPerSecond = 0;

  /// How often targets send heartbeats.
  Duration m_Heartbeat = std::chrono::seconds(1);
  /// Longest time a leaving target may get new work.
  Duration m_DrainLimit = std::chrono::seconds(2);
  /// Longest time a target of an evacuated domain may get new work.
  Duration m_EvacuationLimit = std::chrono::seconds(5);
  /// From SIGTERM to SIGKILL.
  Duration m_Grace = std::chrono::seconds(6);
  /// Repeats allowed for each request, over all daemons.
  double m_RetryRatio = 0.2;
  /// Longest hold that targets accept.
  Duration m_MaxHold = std::chrono::seconds(10);
};

} // namespace balsamwheel
