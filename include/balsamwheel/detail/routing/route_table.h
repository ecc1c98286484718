// One version of the routing configuration: which service serves a host and
// path, and on which terms.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// What may be repeated follows from the kind.
enum class RouteKind : std::uint8_t {
  Idempotent,
  NonIdempotent,
  /// Idempotent, with large answers.
  Download,
};

/// A part of a route's traffic.
struct RouteShare {
  ServiceName m_Service;
  /// Relative to the other shares of the route; positive.
  std::uint32_t m_Weight = 1;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_Prefix;
  RouteKind m_Kind = RouteKind::NonIdempotent;
  /// Longest time a caller is kept waiting.
  Duration m_Timeout{0};
  /// An answer within this time is worth most to the caller.
  Duration m_LatencyObjective{0};
  /// Most targets one caller attempt may be sent to.
  std::uint32_t m_MaxAttempts = 1;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// Never empty.
  std::vector<RouteShare> m_Shares;

  bool idempotent() const { return m_Kind != RouteKind::NonIdempotent; }
};

struct ServiceSpec {
  ServiceName m_Name;
  /// Connections that one target of the service accepts, from all callers.
  std::uint32_t m_MaxConnections = 64;
  /// How long a target stays cold after its start.
  Duration m_ColdStart{0};
  /// Requests a second that a cold target bears; 0 means no limit.
  double m_ColdRate = 0;
  bool m_DividedByKey = false;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  std::size_t m_MaxHeaderBytes = 16384;
  std::size_t m_MaxBodyBytes = std::size_t{64} << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// Immutable. Invariant: every share of every route names a service of the
/// table, see problem().
class RouteTable {
public:
  RouteTable() = default;
  RouteTable(ConfigVersion Version, std::vector<ServiceSpec> Services,
             CallerLimits Limits, std::vector<Route> Routes);

  /// The route of \p Host whose prefix is the longest that begins \p Path;
  /// null when none matches. Complexity: one lookup for each slash in the path.
  const Route *match(std::string_view Host, std::string_view Path) const;
  /// Null when the table has no such service.
  const ServiceSpec *service(const ServiceName &Name) const;
  /// Why the table must not be used; none when it is sound.
  std::optional<std::string> problem() const;

  ConfigVersion version() const { return m_Version; }
  const CallerLimits &limits() const { return m_Limits; }
  const std::vector<Route> &routes() const { return m_Routes; }

private:
  ConfigVersion m_Version;
  CallerLimits m_Limits;
  std::map<ServiceName, ServiceSpec> m_Services;
  std::vector<Route> m_Routes;
  /// Host and prefix, joined, to the index of the route.
  std::unordered_map<std::string, std::size_t> m_Index;
};

/// Chooses a share of the route by weight.
///
/// \param Random uniform 64-bit number.
const ServiceName &chooseShare(const Route &Of, std::uint64_t Random);

} // namespace balsamwheel
