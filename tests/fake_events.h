// A queue of timed actions: the true time of the fuzz rig.
#pragma once

#include "balsamwheel/coordination.h"

#include <functional>
#include <map>
#include <random>

namespace balsamwheel::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

class EventQueue {
public:
  using Action = std::function<void()>;

  TimePoint now() const { return m_Now; }

  void at(TimePoint When, Action Perform) {
    m_Events.emplace(std::max(When, m_Now), std::move(Perform));
  }
  void after(Duration Delay, Action Perform) {
    at(m_Now + Delay, std::move(Perform));
  }

  /// Performs the next action up to \p End; false when there is none.
  bool step(TimePoint End) {
    if (m_Events.empty() || m_Events.begin()->first > End) {
      m_Now = End;
      return false;
    }
    auto Next = m_Events.extract(m_Events.begin());
    m_Now = Next.key();
    Next.mapped()();
    return true;
  }

private:
  TimePoint m_Now{seconds(1000)};
  std::multimap<TimePoint, Action> m_Events;
};

/// Draws that do not depend on the standard library's distributions.
class Dice {
public:
  explicit Dice(std::uint64_t Seed) : m_Engine(Seed) {}

  std::uint64_t below(std::uint64_t Bound) { return m_Engine() % Bound; }
  bool chance(unsigned Percent) { return below(100) < Percent; }
  Duration between(Duration Low, Duration High) {
    return Low + Duration(below((High - Low).count() + 1));
  }

private:
  std::mt19937_64 m_Engine;
};

} // namespace balsamwheel::testing
