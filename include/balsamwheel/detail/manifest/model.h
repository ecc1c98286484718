// The checked manifest: services, request classes, failure domains.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace balsamwheel {

/// How a class competes for a target's slots. Ordered from most to least
/// pressing.
enum class Urgency : std::uint8_t { Urgent, Interactive, Bulk };

inline constexpr std::size_t UrgencyCount = 3;

/// A class of requests of one service.
struct RequestClass {
  ClassName m_Name;
  Urgency m_Urgency = Urgency::Interactive;
  /// A request of this class may be sent to a target more than once.
  bool m_Idempotent = true;
  /// Used when the caller names none, and the most a caller may ask for.
  Duration m_Deadline = std::chrono::seconds(1);
  /// "METHOD /path-prefix" patterns that select this class when the caller
  /// names none.
  std::vector<std::string> m_Match;

  bool operator==(const RequestClass &) const = default;
};

/// A service, run by targets that announce its name.
struct Service {
  ServiceName m_Name;
  /// Each key has one owner. Otherwise any target serves any request.
  bool m_DividedByKey = false;
  /// At least 1 when divided by key, else 0.
  std::uint32_t m_Shards = 0;
  /// The target refuses orders whose epoch is lower than one it has seen.
  bool m_ChecksFences = false;
  /// Requests that one target runs at the same time.
  std::uint32_t m_Slots = 10;
  /// Connections that one target accepts.
  std::uint32_t m_Connections = 130;
  /// Requests waiting for a slot at one target, over all classes.
  std::uint32_t m_QueueLimit = 200;
  /// Largest request body accepted, in bytes.
  std::uint64_t m_MaxBodyBytes = 1U << 20U;
  /// Not empty; the first class is the default.
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

  /// Finds a service by name; null when there is none. Complexity: linear.
  const Service *findService(const ServiceName &Name) const {
    for (const Service &Candidate : m_Services)
      if (Candidate.m_Name == Name)
        return &Candidate;
    return nullptr;
  }
};

/// A version of the configuration: the manifest and what operators took out.
struct Config {
  ConfigVersion m_Version;
  Manifest m_Manifest;
  /// Failure domains out of service. Sorted.
  std::vector<DomainName> m_DomainsOut;
  /// Instances told to leave. Sorted.
  std::vector<InstanceName> m_Draining;

  bool operator==(const Config &) const = default;
};

} // namespace balsamwheel
