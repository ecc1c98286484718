// The validated manifest: services, request classes and failure domains.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace balsamwheel {

/// Priority of a class when requests compete for a target's slots, highest
/// first.
enum class Urgency : std::uint8_t { Urgent, Interactive, Bulk };

inline constexpr std::size_t UrgencyCount = 3;

/// A class of requests of one service.
struct RequestClass {
  ClassName m_Name;
  Urgency m_Urgency = Urgency::Interactive;
  /// Whether a request of this class may be sent to a target more than once.
  bool m_Idempotent = true;
  /// Default deadline, and the longest deadline that a caller may request.
  Duration m_Deadline = std::chrono::seconds(1);
  /// "METHOD /path-prefix" patterns that select this class when the caller
  /// specifies no class.
  std::vector<std::string> m_Match;

  bool operator==(const RequestClass &) const = default;
};

/// A service. It runs on the targets that announce its name.
struct Service {
  ServiceName m_Name;
  /// Whether each key has one owner. If not, any target serves any request.
  bool m_DividedByKey = false;
  /// Number of shards: at least 1 if divided by key, otherwise 0.
  std::uint32_t m_Shards = 0;
  /// Whether the target rejects orders with an epoch lower than one it has
  /// seen.
  bool m_ChecksFences = false;
  /// Maximum number of requests that one target runs concurrently.
  std::uint32_t m_Slots = 10;
  /// Maximum number of connections that one target accepts.
  std::uint32_t m_Connections = 130;
  /// Maximum number of requests waiting for a slot at one target, over all
  /// classes.
  std::uint32_t m_QueueLimit = 200;
  /// Largest request body accepted, in bytes.
  std::uint64_t m_MaxBodyBytes = 1U << 20U;
  /// Never empty; the first class is the default.
  std::vector<RequestClass> m_Classes;

  bool operator==(const Service &) const = default;
};

struct FailureDomain {
  DomainName m_Name;
  RegionName m_Region;

  bool operator==(const FailureDomain &) const = default;
};

struct Manifest {
  std::string m_Deployment;
  std::vector<FailureDomain> m_Domains;
  std::vector<Service> m_Services;

  bool operator==(const Manifest &) const = default;

  /// Finds a service by name; null if there is none. Complexity: linear.
  const Service *findService(const ServiceName &Name) const {
    for (const Service &Candidate : m_Services)
      if (Candidate.m_Name == Name)
        return &Candidate;
    return nullptr;
  }
};

/// One version of the configuration: the manifest, and the failure domains and
/// instances that operators have taken out of service.
struct Config {
  ConfigVersion m_Version;
  Manifest m_Manifest;
  /// Failure domains out of service. Sorted.
  std::vector<DomainName> m_DomainsOut;
  /// Instances that operators have asked to drain. Sorted.
  std::vector<InstanceName> m_Draining;

  bool operator==(const Config &) const = default;
};

} // namespace balsamwheel
