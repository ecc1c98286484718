// Random inter-arrival and service times of the simulated load.
#pragma once

#include "balsamwheel/coordination.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <random>

namespace balsamwheel::policy {

/// Random number generator of one run; the same seed gives the same sequence.
class Arrivals {
public:
  explicit Arrivals(std::uint64_t Seed) : m_Random(Seed) {}

  /// Time until the next arrival of a Poisson process: exponentially
  /// distributed.
  Duration interarrivalTime(double MeanMicroseconds) {
    return Duration(static_cast<Duration::rep>(exponential(MeanMicroseconds)));
  }

  /// Service time of one request: half of the mean is constant, the other half
  /// is the mean of an exponential distribution.
  Duration serviceTime(Duration Mean) {
    const double Half = static_cast<double>(Mean.count()) / 2;
    return Duration(static_cast<Duration::rep>(Half + exponential(Half)));
  }

  /// Returns true with the given probability, in [0, 1].
  bool bernoulli(double Probability) {
    return std::bernoulli_distribution(Probability)(m_Random);
  }

  /// Returns 64 random bits.
  std::uint64_t randomBits() { return m_Random(); }

private:
  double exponential(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(m_Random);
  }

  pcg64 m_Random;
};

} // namespace balsamwheel::policy
