// Draws the arrival times and keys of a load plan from its seed.
#pragma once

#include "bench/core/load_plan.h"

#include <optional>
#include <random>

namespace balsamwheel::bench {

struct Arrival {
  std::uint32_t m_Stream = 0;
  TimePoint m_Time;
  std::string m_Key;
};

/// A Poisson process for each stream. The same seed gives the same arrivals.
class Arrivals {
public:
  Arrivals(const LoadPlan &Plan, TimePoint Start);

  /// Returns the time of the next arrival over all streams; none when every
  /// rate is 0.
  std::optional<TimePoint> nextTime() const;
  /// Returns the next arrival and draws the one after it. At least one stream
  /// must have a rate above 0.
  Arrival takeNext();
  /// Changes the rate of a stream, in requests per second, and draws its next
  /// arrival anew from \p Now.
  void setRate(std::size_t Stream, double Rate, TimePoint Now);
  /// Replaces every key of a stream by a new one.
  void renameKeys(std::size_t Stream);

private:
  struct StreamState {
    LoadStream m_Stream;
    std::mt19937_64 m_Random;
    std::discrete_distribution<std::uint32_t> m_KeyRanks;
    TimePoint m_Next;
    /// Part of each key; grows with renameKeys().
    std::uint32_t m_KeyGeneration = 0;
  };

  static void schedule(StreamState &State, TimePoint After);
  static std::string drawKey(StreamState &State);
  std::size_t nextStream() const;

  std::vector<StreamState> m_StreamStates;
};

} // namespace balsamwheel::bench
