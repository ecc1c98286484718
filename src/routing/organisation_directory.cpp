// Lookup of organisations by API key, and their validation.
#include "balsamwheel/detail/routing/organisation_directory.h"

#include <cmath>
#include <random>

#include <xxhash.h>

namespace balsamwheel {

namespace {

std::uint64_t randomSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) | Device();
}

bool isValid(const Quota &Limit) {
  return std::isfinite(Limit.m_Rate) && Limit.m_Rate > 0 &&
         std::isfinite(Limit.m_Burst) && Limit.m_Burst >= 0;
}

} // namespace

OrganisationDirectory::OrganisationDirectory(
    const std::vector<Organisation> &All) {
  for (const Organisation &Each : All)
    if (auto Problem = add(Each); Problem && !m_Problem)
      m_Problem = "organisation " + Each.m_Name.value() + ": " + *Problem;
}

std::optional<std::string>
OrganisationDirectory::add(const Organisation &Added) {
  if (Added.m_Name.value().empty())
    return "no name";
  if (Added.m_Quota && !isValid(*Added.m_Quota))
    return "the rate must be positive and the burst must not be negative";
  const bool New =
      m_Entries
          .emplace(Added.m_Name, Entry{.m_Name = Added.m_Name,
                                       .m_Priority = Added.m_Priority,
                                       .m_Quota = Added.m_Quota})
          .second;
  if (!New)
    return "listed twice";
  for (const std::string &Key : Added.m_ApiKeys) {
    if (Key.empty())
      return "an empty key";
    const auto [Known, Inserted] = m_Keys.emplace(digest(Key), Added.m_Name);
    if (!Inserted && Known->second != Added.m_Name)
      return "shares a key with organisation " + Known->second.value();
  }
  return std::nullopt;
}

OrganisationDirectory::KeyDigest
OrganisationDirectory::digest(std::string_view ApiKey) {
  static const std::uint64_t Seed = randomSeed();
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(ApiKey.data(), ApiKey.size(), Seed);
  return {Hash.low64, Hash.high64};
}

const OrganisationDirectory::Entry *
OrganisationDirectory::findByKey(std::string_view ApiKey) const {
  if (ApiKey.empty())
    return nullptr;
  const auto Found = m_Keys.find(digest(ApiKey));
  return Found == m_Keys.end() ? nullptr : find(Found->second);
}

const OrganisationDirectory::Entry *
OrganisationDirectory::find(const OrganisationName &Name) const {
  const auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

} // namespace balsamwheel
