// A queue of timed actions, which provides the simulated global time of the
// test rig.
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

  void at(TimePoint When, Action Callback) {
    m_Events.emplace(std::max(When, m_Now), std::move(Callback));
  }
  void after(Duration Delay, Action Callback) {
    at(m_Now + Delay, std::move(Callback));
  }

  /// Runs the next action due by \p End.
  ///
  /// \returns false if there is none; the time is then \p End.
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

/// Random draws that are the same with every standard library, whose
/// distributions may differ.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : m_Engine(Seed) {}

  std::uint64_t below(std::uint64_t Bound) { return m_Engine() % Bound; }
  bool chance(unsigned Percent) { return below(100) < Percent; }
  Duration between(Duration Low, Duration High) {
    return Low + Duration(below((High - Low).count() + 1));
  }

private:
  std::mt19937_64 m_Engine;
};

} // namespace balsamwheel::testing
