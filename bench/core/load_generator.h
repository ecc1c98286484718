// Open-loop load: sends at seeded times whatever the answers do, and records
// each attempt.
#pragma once

#include "bench/core/load_plan.h"

#include <atomic>
#include <memory>
#include <thread>

namespace balsamwheel::bench {

/// Running totals, for progress lines.
struct LoadTotals {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Done = 0;
  std::uint64_t m_Failed = 0;
};

/// One thread sends and receives. Latencies count from the intended time.
class LoadGenerator {
public:
  explicit LoadGenerator(LoadPlan Plan);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  void start();
  /// Sends nothing new, waits for open requests. \returns all records.
  std::vector<RequestRecord> finish();
  /// Changes the rate of a stream from now on. Thread-safe.
  void setRate(std::size_t Stream, double Rate);
  /// Renames every key of a stream, so that the hot ones change. Thread-safe.
  void renameKeys(std::size_t Stream);
  LoadTotals totals() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::bench
