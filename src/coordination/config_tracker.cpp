// Applies configuration documents and deltas, never an older version.
#include "balsamwheel/detail/coordination/config_tracker.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <charconv>

namespace balsamwheel {

namespace {

/// With more missing versions than this, the complete document is read instead
/// of deltas.
constexpr std::uint64_t MaxDeltasToFetch = 16;

std::optional<std::uint64_t> deltaVersion(const RowKey &Key) {
  const std::string &Text = Key.value();
  if (!Text.starts_with(ConfigDeltaPrefix))
    return std::nullopt;
  std::uint64_t Result = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] =
      std::from_chars(Text.data() + sizeof(ConfigDeltaPrefix) - 1, End, Result);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Result;
}

} // namespace

ConfigVersion ConfigTracker::version() const {
  return m_Config ? m_Config->m_Version : ConfigVersion();
}

bool ConfigTracker::merge(const Row &Stored, RowVersion Head) {
  if (Stored.m_Version.value() == 0)
    return false;
  if (Stored.m_Key == ConfigHeadRowKey)
    return mergeDocument(Stored, Head);
  return mergeDelta(Stored, Head);
}

bool ConfigTracker::mergeDocument(const Row &Stored, RowVersion Head) {
  std::optional<Config> Next = configFromRow(Stored);
  if (!Next)
    return false;
  if (enforced<Rule::MonotoneVersion>() && Next->m_Version <= version())
    return false;
  m_Config = std::make_shared<const Config>(std::move(*Next));
  m_DocumentHead = Head;
  m_Deltas.clear();
  return true;
}

bool ConfigTracker::mergeDelta(const Row &Stored, RowVersion Head) {
  const std::optional<std::uint64_t> Version = deltaVersion(Stored.m_Key);
  if (!Version || !m_Config || *Version != version().value() + 1)
    return false;
  std::optional<Config> Next = applyDelta(*m_Config, Stored.m_Value);
  if (!Next || Next->m_Version.value() != *Version)
    return false;
  m_Config = std::make_shared<const Config>(std::move(*Next));
  m_Deltas[*Version] = {.m_Row = Stored, .m_Head = Head};
  if (m_Deltas.size() > KeptConfigDeltas) {
    m_DocumentHead = m_Deltas.begin()->second.m_Head;
    m_Deltas.erase(m_Deltas.begin());
  }
  return true;
}

std::vector<Row> ConfigTracker::rowsSince(RowVersion Head) const {
  std::vector<Row> Result;
  if (!m_Config)
    return Result;
  if (Head < m_DocumentHead) {
    const nlohmann::json Value = {{"version", version().value()},
                                  {"write_id", 0},
                                  {"document", toDocument(*m_Config)}};
    Result.push_back({ConfigHeadRowKey, RowVersion(1), Value.dump()});
    return Result;
  }
  for (const auto &[Version, Delta] : m_Deltas)
    if (Delta.m_Head > Head)
      Result.push_back(Delta.m_Row);
  return Result;
}

std::vector<RowKey> ConfigTracker::rowsToReach(ConfigVersion Wanted) const {
  const std::uint64_t Known = version().value();
  if (Wanted.value() <= Known)
    return {};
  if (Known == 0 || Wanted.value() - Known > MaxDeltasToFetch)
    return {ConfigHeadRowKey};
  std::vector<RowKey> Result;
  for (std::uint64_t Next = Known + 1; Next <= Wanted.value(); ++Next)
    Result.push_back(configDeltaRowKey(ConfigVersion(Next)));
  return Result;
}

} // namespace balsamwheel
