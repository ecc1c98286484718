// Distributes shards over gated targets and moves them away from a slow one.
#include "policy/straggler_run.h"

#include "policy/arrivals.h"
#include "policy/gated_target.h"

#include <memory>

namespace balsamwheel::policy {

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(100);
constexpr Duration MeanServiceTime = std::chrono::milliseconds(10);
constexpr Duration Deadline = std::chrono::seconds(1);
// Weight of a new sample in the moving average.
constexpr double SmoothingFactor = 1.0 / 16;

class StragglerRun {
public:
  explicit StragglerRun(const StragglerRunOptions &Options)
      : m_Options(Options), m_Arrivals(Options.m_Seed) {
    for (std::uint32_t I = 0; I < Options.m_Owners; ++I)
      m_Targets.push_back(std::make_unique<GatedTarget>(m_Loop, Options.m_Gate,
                                                        Options.m_Target));
    for (std::uint32_t I = 0; I < Options.m_Owners; ++I)
      m_Shards.insert(m_Shards.end(), Options.m_ShardsPerOwner, I);
  }

  StragglerRunResult run() {
    ModelledTarget &Slowed = m_Targets.front()->target();
    const SlowPeriod Slow = m_Options.m_Slow;
    m_Loop.after(Slow.m_From,
                 [&Slowed, Slow] { Slowed.setSlowness(Slow.m_Factor); });
    m_Loop.after(Slow.m_Until, [&Slowed] { Slowed.setSlowness(1); });
    scheduleArrival();
    // The check starts only after the gates have left their cold limit.
    m_Loop.after(m_Options.m_MeasureFrom, [this] { checkLatency(); });
    m_Loop.runUntil(TimePoint(m_Options.m_Length));
    m_Result.m_Churn =
        static_cast<double>(m_Moves) / static_cast<double>(m_Shards.size());
    return std::move(m_Result);
  }

private:
  void scheduleArrival() {
    const double Slots = m_Options.m_Owners * m_Options.m_Target.m_Slots;
    const double MeanGap = static_cast<double>(MeanServiceTime.count()) /
                           (m_Options.m_OfferedLoad * Slots);
    m_Loop.after(m_Arrivals.interarrivalTime(MeanGap), [this] {
      scheduleArrival();
      onArrival();
    });
  }

  void onArrival() {
    const std::uint32_t Owner =
        m_Shards.at(m_Arrivals.randomBits() % m_Shards.size());
    const TimePoint Arrival = m_Loop.now();
    const bool Measured = Arrival >= TimePoint(m_Options.m_MeasureFrom);
    m_Result.m_Offered += Measured ? 1 : 0;
    m_Targets.at(Owner)->send(
        Urgency::Interactive, m_Arrivals.serviceTime(MeanServiceTime),
        Arrival + Deadline,
        [this, Owner, Arrival, Measured](SendResult Result) {
          onEnd(Owner, m_Loop.now() - Arrival, Measured, Result);
        });
  }

  void onEnd(std::uint32_t Owner, Duration Latency, bool Measured,
             SendResult Result) {
    const bool InTime = Result == SendResult::Answered && Latency <= Deadline;
    if (Measured) {
      m_Result.m_Latency.add(InTime ? Latency : Deadline);
      m_Result.m_Lost += InTime ? 0 : 1;
    }
    if (Owner != 0)
      return;
    const auto Sample = static_cast<double>(
        (Result == SendResult::Answered ? Latency : Deadline).count());
    m_SmoothedLatency += (Sample - m_SmoothedLatency) * SmoothingFactor;
  }

  void checkLatency() {
    m_Loop.after(CheckPeriod, [this] { checkLatency(); });
    const bool Slow =
        m_SmoothedLatency > static_cast<double>(MeanServiceTime.count()) *
                                m_Options.m_Response.m_SlowRatio;
    if (Slow != m_Slow)
      m_ChangedAt = m_Loop.now();
    m_Slow = Slow;
    const Duration StateAge = m_Loop.now() - m_ChangedAt;
    const StragglerResponse &Response = m_Options.m_Response;
    if (!Response.m_MoveAfter)
      return;
    if (Slow && !m_ShardsMoved && StateAge >= *Response.m_MoveAfter)
      moveShardsAway();
    else if (!Slow && m_ShardsMoved && StateAge >= Response.m_ReturnAfter)
      returnShards();
  }

  void moveShardsAway() {
    m_ShardsMoved = true;
    const auto Count = static_cast<std::uint32_t>(
        m_Options.m_Response.m_MoveShare * m_Options.m_ShardsPerOwner);
    for (std::uint32_t Shard = 0; Shard < Count; ++Shard)
      m_Shards.at(Shard) = 1 + Shard % (m_Options.m_Owners - 1);
    m_Moves += Count;
    m_MovedCount = Count;
  }

  void returnShards() {
    m_ShardsMoved = false;
    for (std::uint32_t Shard = 0; Shard < m_MovedCount; ++Shard)
      m_Shards.at(Shard) = 0;
    m_Moves += m_MovedCount;
  }

  StragglerRunOptions m_Options;
  EventLoop m_Loop;
  Arrivals m_Arrivals;
  std::vector<std::unique_ptr<GatedTarget>> m_Targets;
  // Index of the owner of each shard.
  std::vector<std::uint32_t> m_Shards;
  // Exponential moving average of the first owner's latency, microseconds.
  double m_SmoothedLatency = static_cast<double>(MeanServiceTime.count());
  bool m_Slow = false;
  bool m_ShardsMoved = false;
  TimePoint m_ChangedAt;
  std::uint32_t m_MovedCount = 0;
  std::uint64_t m_Moves = 0;
  StragglerRunResult m_Result;
};

} // namespace

StragglerRunResult runStraggler(const StragglerRunOptions &Options) {
  return StragglerRun(Options).run();
}

} // namespace balsamwheel::policy
