// Seeded arrival times and keys of a load plan.
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

/// Poisson arrivals per stream. The same seed gives the same arrivals.
class Arrivals {
public:
  Arrivals(const LoadPlan &Plan, TimePoint Start);

  /// Time of the next arrival; none when every rate is 0.
  std::optional<TimePoint> nextTime() const;
  Arrival takeNext();
  void setRate(std::size_t Stream, double Rate, TimePoint Now);
  void renameKeys(std::size_t Stream);

private:
  struct StreamState {
    LoadStream m_Stream;
    std::mt19937_64 m_Random;
    std::discrete_distribution<std::uint32_t> m_KeyRanks;
    TimePoint m_Next;
    std::uint32_t m_KeyGeneration = 0;
  };

  static void schedule(StreamState &State, TimePoint After);
  static std::string drawKey(StreamState &State);
  std::size_t nextStream() const;

  std::vector<StreamState> m_StreamStates;
};

} // namespace balsamwheel::bench
