// Open-loop load generator: sends at seeded times regardless of earlier
// answers, and records each attempt.
#pragma once

#include "bench/core/load_plan.h"

#include <atomic>
#include <memory>
#include <thread>

namespace balsamwheel::bench {

/// Running totals of requests, for progress lines.
struct LoadTotals {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Done = 0;
  std::uint64_t m_Failed = 0;
};

/// One thread sends and receives. Latencies count from the intended send time,
/// so that delays in the generator itself are included.
class LoadGenerator {
public:
  explicit LoadGenerator(LoadPlan Plan);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  void start();
  /// Stops sending new requests and waits for those under way and their
  /// retries. \returns the records of all requests.
  std::vector<RequestRecord> finish();
  /// Changes the rate of a stream, in requests per second. Call after start().
  /// Thread-safe.
  void setRate(std::size_t Stream, double Rate);
  /// Replaces every key of a stream by a new one, so that the hottest keys
  /// change. Call after start(). Thread-safe.
  void renameKeys(std::size_t Stream);
  LoadTotals totals() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::bench
