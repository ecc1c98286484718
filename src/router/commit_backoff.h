// Delays the commits of daemons that change the same row.
//
// Load pattern: all owners of a service have a change of the key map at the
// same time, e.g. after a loss of power. If each repeated its commit as soon as
// another has won, the number of commits would grow with the square of the
// owners.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <pcg_random.hpp>

#include <algorithm>

namespace balsamwheel {

struct CommitBackoffOptions {
  /// Maximum delay after a first conflict; doubles with each further one.
  Duration m_FirstDelay = std::chrono::milliseconds(60);
  Duration m_MaxDelay = std::chrono::milliseconds(1600);
};

/// Not thread-safe.
class CommitBackoff {
public:
  CommitBackoff(CommitBackoffOptions Options, std::uint64_t Seed)
      : m_Options(Options), m_Delay(Options.m_FirstDelay), m_Random(Seed) {}

  /// Time before which no commit is to be attempted.
  TimePoint nextAttempt() const { return m_NextAttempt; }
  void succeeded() { m_Delay = m_Options.m_FirstDelay; }
  void conflicted(TimePoint Now) {
    m_NextAttempt = Now + m_Delay * (m_Random() % 1024) / 1024;
    m_Delay = std::min(2 * m_Delay, m_Options.m_MaxDelay);
  }

private:
  CommitBackoffOptions m_Options;
  Duration m_Delay;
  pcg32 m_Random;
  TimePoint m_NextAttempt;
};

} // namespace balsamwheel
