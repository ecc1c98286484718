// Chooses among the targets of a service that is not divided by key, based on
// the latencies and failures that this daemon has observed.
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
  /// The better of two random candidates by observed latency and requests in
  /// flight.
  TwoChoices,
  LeastLoaded,
  RoundRobin,
  Random,
};

struct PickerOptions {
  PickPolicy m_Policy = PickPolicy::TwoChoices;
  /// Maximum number of hedges, as a fraction of the idempotent requests.
  double m_HedgeBudget = 0.03;
  /// If false, no hedges are sent.
  bool m_Hedge = true;
};

/// Keeps statistics per candidate and picks one. Performs no I/O and reads no
/// clock; not thread-safe.
class Picker {
public:
  Picker(PickerOptions Options, std::uint64_t Seed);
  ~Picker();
  Picker(Picker &&) noexcept;
  Picker &operator=(Picker &&) noexcept;

  /// Picks a candidate; one outside \p Avoid is preferred.
  ///
  /// \returns std::nullopt when \p Candidates is empty.
  std::optional<SessionId> pick(std::span<const SessionId> Candidates,
                                std::span<const SessionId> Avoid,
                                TimePoint Now);
  void started(SessionId Target, TimePoint Now);
  void finished(SessionId Target, Duration Latency, bool Failed, TimePoint Now);
  /// Records a request that was given up before its answer, e.g. the slower one
  /// of a hedged pair.
  void abandoned(SessionId Target, Duration Waited, TimePoint Now);
  /// Time to wait before sending a hedge; std::nullopt when the budget is
  /// exhausted, too few latencies are known or hedging is off.
  std::optional<Duration> hedgeDelay(TimePoint Now) const;
  /// Takes one hedge from the budget; returns false when it is exhausted.
  bool takeHedge(TimePoint Now);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel
