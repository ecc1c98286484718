// The two deployments that the bench can run: their servers and request mixes.
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
  /// The request mix, with rates for the load factor 1.
  std::vector<LoadStream> m_Streams;
};

/// Returns the deployment with this name, if there is one.
std::optional<Deployment> findDeployment(const std::string &Name);

} // namespace balsamwheel::bench
