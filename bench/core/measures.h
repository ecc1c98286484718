// Computes the measures of one run from its observations.
#pragma once

#include "balsamwheel/detail/manifest/model.h"
#include "bench/core/oracle.h"

#include <array>
#include <map>
#include <nlohmann/json.hpp>

namespace balsamwheel::bench {

/// Requests of one stream, counted by final answer, and the latency quantiles
/// of those done.
struct ClassMeasures {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Attempts = 0;
  /// Requests by final answer.
  std::array<std::uint64_t, AnswerCount> m_Answers{};
  double m_P50Ms = 0;
  double m_P99Ms = 0;
};

/// A named part of a run, from m_From up to but without m_To.
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
  /// Unavailable time per shard in seconds, over all shards that received
  /// requests.
  Quantiles m_UnavailableSeconds;
  /// The same over the shards with any unavailable time.
  Quantiles m_UnavailableSecondsOfHitShards;
  /// Number of shards with any unavailable time.
  std::size_t m_ShardsHit = 0;
  /// Number of shards that received requests.
  std::size_t m_Shards = 0;
  /// Largest number of orders of an instance, divided by the mean over the
  /// instances of its service; for the first window and the service with the
  /// highest value.
  double m_Imbalance = 0;
  /// Orders that each instance started in the first window.
  std::map<std::string, std::uint64_t> m_OrdersByInstance;
  /// Attempts that were not done, by answer and reason.
  std::map<std::string, std::uint64_t> m_Refusals;
  /// Number of times that the instance that runs the orders of a shard changed,
  /// summed over all shards.
  std::uint64_t m_OwnerChanges = 0;
  /// Owner changes divided by the number of shards that ran orders.
  double m_ChurnShare = 0;
  /// Orders that targets started, divided by the requests of the callers.
  double m_Amplification = 0;
  /// Share of the requests whose final answer is Done.
  double m_DoneShare = 0;
};

/// Computes the measures of a run.
///
/// \param Windows parts of the run to report separately; the first one ends
/// before any action.
/// \param CommittedConfig the configuration in force, for the shards of keys.
///
/// Complexity: that of sorting the requests and orders.
Measures measure(const Observations &Observed,
                 const std::vector<TimeWindow> &Windows,
                 const Config &CommittedConfig);

/// Returns a quantile of the values by the nearest-rank method; 0 for no
/// values.
///
/// \param Fraction rank of the quantile, from 0 to 1.
double quantile(std::vector<double> Values, double Fraction);

nlohmann::json toJson(const Measures &Value);

} // namespace balsamwheel::bench
