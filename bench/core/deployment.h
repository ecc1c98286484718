// The two deployments: servers and the mix of requests.
#pragma once

#include "bench/core/load_plan.h"

#include <optional>
#include <string>
#include <vector>

namespace balsamwheel::bench {

struct ServerPlan {
  std::string m_Instance;
  std::string m_Service;
  std::string m_Domain;
};

struct Deployment {
  std::string m_Name;
  /// Domains are named PREFIX-a, PREFIX-b and PREFIX-c.
  std::string m_DomainPrefix;
  std::string m_Region;
  std::vector<ServerPlan> m_Servers;
  /// Rates for the load factor 1.
  std::vector<LoadStream> m_Streams;
};

/// Returns a deployment by name; none when there is none.
std::optional<Deployment> findDeployment(const std::string &Name);

} // namespace balsamwheel::bench
