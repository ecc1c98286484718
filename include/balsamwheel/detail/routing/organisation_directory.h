// Organisations of a configuration: their API keys, quotas and priorities.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

using OrganisationName = StrongId<struct OrganisationNameTag, std::string>;

/// Limit on the requests of an organisation, over all daemons together.
struct Quota {
  /// Requests per second; positive.
  double m_Rate = 0;
  /// Requests beyond the rate that may come at once.
  double m_Burst = 0;

  bool operator==(const Quota &) const = default;
};

/// An organisation as operators describe it.
struct Organisation {
  OrganisationName m_Name;
  std::vector<std::string> m_ApiKeys;
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> m_Priority;
  /// None means no limit.
  std::optional<Quota> m_Quota;
};

/// Finds the organisation that holds an API key. Immutable.
///
/// Invariant: keeps digests of the keys, no key. The digests depend on a random
/// seed of this process, so the time of a lookup tells nothing about the keys.
class OrganisationDirectory {
public:
  /// What is known of an organisation beside its keys.
  struct Entry {
    OrganisationName m_Name;
    std::optional<std::uint32_t> m_Priority;
    std::optional<Quota> m_Quota;
  };

  OrganisationDirectory() = default;
  explicit OrganisationDirectory(const std::vector<Organisation> &All);

  /// Returns null when no organisation holds the key.
  /// Complexity: one hash of the key and one lookup.
  const Entry *findByKey(std::string_view ApiKey) const;
  /// Returns null when there is no organisation of this name.
  const Entry *find(const OrganisationName &Name) const;
  /// Returns why the organisations are invalid; std::nullopt when they are
  /// valid. Names no key.
  const std::optional<std::string> &problem() const { return m_Problem; }
  bool empty() const { return m_Entries.empty(); }
  /// Sorted by name.
  const std::map<OrganisationName, Entry> &all() const { return m_Entries; }

private:
  using KeyDigest = std::array<std::uint64_t, 2>;
  struct DigestHash {
    std::size_t operator()(const KeyDigest &Digest) const noexcept {
      return Digest[0];
    }
  };

  static KeyDigest digest(std::string_view ApiKey);
  /// Adds one organisation; returns what is wrong with it.
  std::optional<std::string> add(const Organisation &Added);

  std::map<OrganisationName, Entry> m_Entries;
  std::unordered_map<KeyDigest, OrganisationName, DigestHash> m_Keys;
  std::optional<std::string> m_Problem;
};

} // namespace balsamwheel
