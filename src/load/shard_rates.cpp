// Request rates with forward decay.
#include "balsamwheel/detail/load/shard_rates.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel {

namespace {

/// All weights are rescaled when the weight of a new request would exceed e to
/// this power.
constexpr double MaxExponent = 40;
/// Shards with less weight than this after rescaling are dropped.
constexpr double NegligibleWeight = 1e-3;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

ShardRates::ShardRates(ShardRatesOptions Options)
    : m_Options(Options), m_Keys(Options.m_Keys) {}

void ShardRates::record(const ShardRef &Shard, KeyHash Key, TimePoint Now) {
  if (!m_Started)
    m_Landmark = Now;
  m_Started = true;
  m_LastRecord = std::max(m_LastRecord, Now);
  if (toSeconds(Now - m_Landmark) > MaxExponent * toSeconds(m_Options.m_Decay))
    rescale(Now);
  const double Weight = weightAt(Now);
  m_Total += Weight;
  m_Shards[Shard] += Weight;
  m_Keys.record(Key, Weight);
}

void ShardRates::forget(const ShardRef &Shard) {
  const auto Found = m_Shards.find(Shard);
  if (Found == m_Shards.end())
    return;
  m_Total = std::max(0.0, m_Total - Found->second);
  m_Shards.erase(Found);
}

std::vector<ShardRate> ShardRates::hottestShards(std::size_t Count,
                                                 TimePoint Now) const {
  std::vector<ShardRate> Result;
  Result.reserve(m_Shards.size());
  for (const auto &[Shard, Weight] : m_Shards)
    Result.push_back({Shard, rateOf(Weight, Now)});
  const auto Hotter = [](const ShardRate &Left, const ShardRate &Right) {
    if (Left.m_Rate != Right.m_Rate)
      return Left.m_Rate > Right.m_Rate;
    return Left.m_Shard < Right.m_Shard;
  };
  const std::size_t Kept = std::min(Count, Result.size());
  std::partial_sort(Result.begin(),
                    Result.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Result.end(), Hotter);
  Result.resize(Kept);
  return Result;
}

std::vector<KeyRate> ShardRates::hottestKeys(std::size_t Count) const {
  std::vector<KeyRate> Result;
  for (const auto &Held : m_Keys.top(Count))
    Result.push_back({.m_Key = Held.m_Item,
                      .m_Rate = rateOf(Held.m_Weight, m_LastRecord),
                      .m_Error = rateOf(Held.m_Error, m_LastRecord)});
  return Result;
}

double ShardRates::totalRate(TimePoint Now) const {
  return rateOf(m_Total, Now);
}

double ShardRates::weightAt(TimePoint Now) const {
  return std::exp(toSeconds(Now - m_Landmark) / toSeconds(m_Options.m_Decay));
}

double ShardRates::rateOf(double Weight, TimePoint Now) const {
  return Weight / weightAt(Now) / toSeconds(m_Options.m_Decay);
}

void ShardRates::rescale(TimePoint Now) {
  const double Factor = 1 / weightAt(Now);
  m_Total *= Factor;
  m_Keys.scale(Factor);
  for (auto &[Shard, Weight] : m_Shards)
    Weight *= Factor;
  std::erase_if(m_Shards, [](const auto &Entry) {
    return Entry.second < NegligibleWeight;
  });
  m_Landmark = Now;
}

} // namespace balsamwheel
