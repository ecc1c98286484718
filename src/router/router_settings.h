// Settings of a daemon, read by an adapter.
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
  /// Where the target receives requests.
  Endpoint m_Target;
  /// Listens for callers on this machine.
  Endpoint m_Callers;
  /// Listens for readiness checks.
  Endpoint m_Ready;
  /// Listens for heartbeats and deregistration of the target.
  Endpoint m_TargetControl;
  /// Listens for the daemons of other instances.
  Endpoint m_Peers;
  /// Address at which other daemons reach this one, if it differs from the
  /// listening address.
  std::optional<Endpoint> m_Advertised;
  /// Serves the metrics; none means that they aren't served.
  std::optional<Endpoint> m_Metrics;
  /// Address of the platform's table.
  Endpoint m_Table;
  /// File descriptors that the process may open.
  std::size_t m_MaxHandles = 1024;
  /// Bandwidth of the machine's own link in bytes per second; 0 means no limit.
  double m_LinkBytesPerSecond = 0;

  /// Maximum size of the body of a target's answer without a length; the call
  /// of a target that sends more fails.
  std::size_t m_MaxAnswerBytes = std::size_t{8} << 20;

  /// Memory limit of the machine in bytes; 0 means that it isn't known.
  std::size_t m_MemoryLimit = 0;

  /// Callers of different priority compete for too little room: targets leave
  /// slots for the more urgent ones, nested requests are as urgent as their
  /// parents, and refused callers are told to return one after the other.
  bool m_ShareRoom = false;

  /// The whole system starts for the first time: nobody holds keys yet.
  bool m_SystemStart = true;

  /// Interval between two heartbeats of a target.
  Duration m_HeartbeatInterval = std::chrono::seconds(1);
  /// Maximum time for which a leaving target may get new requests.
  Duration m_DrainLimit = std::chrono::seconds(2);
  /// Maximum time until a new configuration is in force at all daemons.
  Duration m_ConfigLimit = std::chrono::seconds(2);
  /// Maximum time for which a target of an evacuated domain may get new
  /// requests.
  Duration m_EvacuationLimit = std::chrono::seconds(5);
  /// Time between SIGTERM and SIGKILL.
  Duration m_GracePeriod = std::chrono::seconds(6);
  /// Retry budget: retries per request, over all daemons.
  double m_RetryRatio = 0.2;
  /// Requests for services without keys stay in their failure domain while they
  /// can probably be in time there.
  bool m_PreferOwnDomain = false;
  /// Limits the requests at the target to its measured capacity.
  bool m_MeasureCapacity = false;
  /// Longest hold of a key that targets accept.
  Duration m_MaxHold = std::chrono::seconds(10);
};

} // namespace balsamwheel
