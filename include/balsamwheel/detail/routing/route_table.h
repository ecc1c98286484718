// One version of the routing configuration: maps host and path to services,
// with the limits that apply.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/routing/organisation_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Kind of the requests of a route; only idempotent ones may be repeated.
enum class RouteKind : std::uint8_t {
  Idempotent,
  NonIdempotent,
  /// Idempotent, with large answers.
  Download,
};

/// A service that gets a part of a route's traffic.
struct RouteShare {
  ServiceName m_Service;
  /// Relative to the weights of the route's other shares; positive.
  std::uint32_t m_Weight = 1;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Path prefix; begins and ends with a slash.
  std::string m_Prefix;
  RouteKind m_Kind = RouteKind::NonIdempotent;
  /// Maximum time for which a caller waits for the answer.
  Duration m_Timeout{0};
  /// Latency that answers should not exceed.
  Duration m_LatencyObjective{0};
  /// Maximum number of attempts at targets for one request of a caller, the
  /// first one included.
  std::uint32_t m_MaxAttempts = 1;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// Its requests need no API key, if others do.
  bool m_Public = false;
  /// Never empty.
  std::vector<RouteShare> m_Shares;

  bool idempotent() const { return m_Kind != RouteKind::NonIdempotent; }
};

/// How the targets of a service are granted the keys that they serve.
enum class GrantMode : std::uint8_t {
  /// In the answers to their heartbeats.
  Heartbeat,
  /// By calls that their daemons send.
  Call,
};

struct ServiceSpec {
  ServiceName m_Name;
  /// Maximum number of connections that one target of the service accepts, from
  /// all callers together.
  std::uint32_t m_MaxConnections = 64;
  /// How long a target is cold after its start.
  Duration m_ColdStart{0};
  /// Requests per second that a cold target can handle; 0 means no limit.
  double m_ColdRate = 0;
  bool m_DividedByKey = false;
  /// Only for a service that is divided by key.
  GrantMode m_GrantMode = GrantMode::Heartbeat;
};

/// Limits of requests and connections of callers.
struct CallerLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = std::size_t{64} << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// Immutable. In a table without a problem(), every share of every route names
/// a service of the table.
class RouteTable {
public:
  RouteTable() = default;
  RouteTable(ConfigVersion Version, std::vector<ServiceSpec> Services,
             CallerLimits Limits, std::vector<Route> Routes,
             OrganisationDirectory Organisations = {});

  /// Finds the route of \p Host with the longest prefix of \p Path; null when
  /// none matches. A query or fragment in \p Path is ignored.
  /// Complexity: one lookup per slash in the path.
  const Route *match(std::string_view Host, std::string_view Path) const;
  /// Returns null when the table has no such service.
  const ServiceSpec *service(const ServiceName &Name) const;
  /// Returns why the table is invalid; std::nullopt when it is valid.
  std::optional<std::string> problem() const;

  ConfigVersion version() const { return m_Version; }
  const CallerLimits &limits() const { return m_Limits; }
  /// Empty when requests need no API key.
  const OrganisationDirectory &organisations() const { return m_Organisations; }
  const std::vector<Route> &routes() const { return m_Routes; }

private:
  ConfigVersion m_Version;
  CallerLimits m_Limits;
  OrganisationDirectory m_Organisations;
  std::map<ServiceName, ServiceSpec> m_Services;
  std::vector<Route> m_Routes;
  /// Maps the concatenation of host and prefix to the index of the route.
  std::unordered_map<std::string, std::size_t> m_Index;
};

/// Names of the routes of \p Next that \p Previous has with the same host, path
/// prefix and kind. What was learned about another route of a name doesn't
/// apply to them.
std::set<std::string> keptRoutes(const RouteTable &Previous,
                                 const RouteTable &Next);

/// Chooses one of the route's services by weight.
///
/// \param Random uniform 64-bit number.
const ServiceName &chooseShare(const Route &Chosen, std::uint64_t Random);

} // namespace balsamwheel
