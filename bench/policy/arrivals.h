// Random gaps between arrivals and the work of single orders.
#pragma once

#include "balsamwheel/coordination.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <random>

namespace balsamwheel::policy {

/// Seeded; the same seed gives the same sequence.
class Arrivals {
public:
  explicit Arrivals(std::uint64_t Seed) : m_Random(Seed) {}

  /// Exponential gap of a Poisson process.
  Duration gap(double MeanMicroseconds) {
    return Duration(static_cast<Duration::rep>(exponential(MeanMicroseconds)));
  }

  /// Half of the work is constant, half exponential.
  Duration work(Duration Mean) {
    const double Half = static_cast<double>(Mean.count()) / 2;
    return Duration(static_cast<Duration::rep>(Half + exponential(Half)));
  }

  /// True with the given probability.
  bool chance(double Probability) {
    return std::bernoulli_distribution(Probability)(m_Random);
  }

  std::uint64_t bits() { return m_Random(); }

private:
  double exponential(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(m_Random);
  }

  pcg64 m_Random;
};

} // namespace balsamwheel::policy
