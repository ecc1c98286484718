// Choice among targets of a service that is not divided by key, from what
// this daemon saw of each.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace balsamwheel {

enum class PickPolicy : std::uint8_t {
  /// The better of two random candidates by observed latency and in-flight.
  TwoChoices,
  LeastLoaded,
  RoundRobin,
  Random,
};

struct PickerOptions {
  PickPolicy m_Policy = PickPolicy::TwoChoices;
  /// Share of idempotent requests that may be sent a second time.
  double m_HedgeBudget = 0.03;
  /// False sends no hedges.
  bool m_Hedge = true;
};

/// Keeps observations per candidate and picks. Pure; not thread-safe.
class Picker {
public:
  Picker(PickerOptions Options, std::uint64_t Seed);
  ~Picker();
  Picker(Picker &&) noexcept;
  Picker &operator=(Picker &&) noexcept;

  /// Picks one candidate, avoiding \p Avoid where another exists.
  ///
  /// \returns none when \p Candidates is empty.
  std::optional<SessionId> pick(std::span<const SessionId> Candidates,
                                std::span<const SessionId> Avoid,
                                TimePoint Now);
  void started(SessionId Target, TimePoint Now);
  void finished(SessionId Target, Duration Latency, bool Failed, TimePoint Now);
  /// A request left before its answer, e.g. a hedge that lost.
  void abandoned(SessionId Target, Duration Waited, TimePoint Now);
  /// How long to wait before a hedge; none when the budget is spent.
  std::optional<Duration> hedgeDelay(TimePoint Now) const;
  /// Takes one hedge out of the budget; false when it is spent.
  bool takeHedge(TimePoint Now);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
