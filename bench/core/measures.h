// The measures of one run, computed from its observations.
#pragma once

#include "balsamwheel/detail/manifest/model.h"
#include "bench/core/oracle.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>

namespace balsamwheel::bench {

/// Requests of one class, by final answer, and latencies of those done.
struct ClassMeasures {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Attempts = 0;
  std::array<std::uint64_t, AnswerCount> m_Answers{};
  double m_P50Ms = 0;
  double m_P99Ms = 0;
};

/// A named part of a run.
struct TimeWindow {
  std::string m_Name;
  TimePoint m_From;
  TimePoint m_To;
};

struct Quantiles {
  double m_P50 = 0;
  double m_P99 = 0;
  double m_Max = 0;
};

struct Measures {
  /// By the name of the stream.
  std::map<std::string, ClassMeasures> m_Classes;
  /// By window and stream.
  std::map<std::string, std::map<std::string, ClassMeasures>> m_Windows;
  /// Seconds without service, over all shards that callers asked for.
  Quantiles m_UnavailableSeconds;
  /// The same over shards with any such time.
  Quantiles m_UnavailableSecondsOfHitShards;
  std::size_t m_ShardsHit = 0;
  std::size_t m_Shards = 0;
  /// Largest over mean orders per instance, worst service, first window.
  double m_Imbalance = 0;
  /// Orders that each instance began in the first window.
  std::map<std::string, std::uint64_t> m_OrdersByInstance;
  /// Attempts that were not done, by answer and reason.
  std::map<std::string, std::uint64_t> m_Refusals;
  /// Changes of the instance that serves a shard, over all shards.
  std::uint64_t m_OwnerChanges = 0;
  double m_ChurnShare = 0;
  /// Orders that targets began, over requests that callers made.
  double m_Amplification = 0;
  /// Requests done, over all.
  double m_DoneShare = 0;
};

/// Computes the measures. Complexity: linear but for sorting.
Measures measure(const Observations &Observed,
                 const std::vector<TimeWindow> &Windows,
                 const Config &CommittedConfig);

/// Returns a quantile of values; 0 when there are none.
double quantile(std::vector<double> Values, double Fraction);

nlohmann::json toJson(const Measures &Value);

} // namespace balsamwheel::bench
