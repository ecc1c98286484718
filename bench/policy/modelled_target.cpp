// Processor-sharing model of a target with a cold start.
#include "policy/modelled_target.h"

#include <algorithm>
#include <utility>

namespace balsamwheel::policy {

namespace {

/// Period of the checks for overload and of the updates during the warm-up.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
/// Time until a target that is down fails a request.
constexpr Duration RefusalLatency = std::chrono::milliseconds(1);
// A request with at most this much work left counts as finished, microseconds.
constexpr double RemainingWorkTolerance = 1;

} // namespace

ModelledTarget::ModelledTarget(EventLoop &Loop, ModelledTargetOptions Options)
    : m_Loop(Loop), m_Options(Options), m_LastAdvance(Loop.now()),
      m_ColdSince(Loop.now()), m_LastSustainable(Loop.now()) {
  if (!Options.m_StartsCold)
    m_ColdSince -= Options.m_WarmUpTime;
  tick();
}

std::uint64_t ModelledTarget::start(Duration ServiceTime,
                                    CompletionHandler OnCompletion) {
  const std::uint64_t Request = m_NextRequest++;
  if (m_Loop.now() < m_DownUntil) {
    m_Loop.after(RefusalLatency, [OnCompletion = std::move(OnCompletion)] {
      OnCompletion({.m_Latency = RefusalLatency, .m_Failed = true});
    });
    return Request;
  }
  advance();
  m_Running[Request] = {.m_WorkLeft = static_cast<double>(ServiceTime.count()),
                        .m_Start = m_Loop.now(),
                        .m_OnCompletion = std::move(OnCompletion)};
  rescheduleNext();
  return Request;
}

void ModelledTarget::cancel(std::uint64_t Request) {
  advance();
  m_Running.erase(Request);
  rescheduleNext();
}

void ModelledTarget::becomeCold(bool FailsRequests) {
  advance();
  m_ColdSince = m_Loop.now();
  m_LastSustainable = m_Loop.now();
  if (FailsRequests) {
    m_DownUntil = m_Loop.now() + m_Options.m_Downtime;
    m_ColdSince = m_DownUntil;
    failAll();
  }
  rescheduleNext();
}

void ModelledTarget::setSlowness(double Factor) {
  advance();
  m_Slowness = Factor;
  rescheduleNext();
}

double ModelledTarget::usableSlots() const {
  const auto Age = static_cast<double>((m_Loop.now() - m_ColdSince).count());
  const double WarmUpProgress = std::clamp(
      Age / static_cast<double>(m_Options.m_WarmUpTime.count()), 0.0, 1.0);
  const double Share =
      m_Options.m_ColdShare + (1 - m_Options.m_ColdShare) * WarmUpProgress;
  return Share * m_Options.m_Slots;
}

double ModelledTarget::speed() const {
  const auto Count = static_cast<double>(m_Running.size());
  return std::min(1.0, usableSlots() / std::max(Count, 1.0)) / m_Slowness;
}

void ModelledTarget::advance() {
  const auto Elapsed =
      static_cast<double>((m_Loop.now() - m_LastAdvance).count());
  m_LastAdvance = m_Loop.now();
  const double Progress = Elapsed * speed();
  for (auto &[Request, State] : m_Running)
    State.m_WorkLeft -= Progress;
}

void ModelledTarget::rescheduleNext() {
  ++m_Generation;
  if (m_Running.empty())
    return;
  double LeastWorkLeft = m_Running.begin()->second.m_WorkLeft;
  for (const auto &[Request, State] : m_Running)
    LeastWorkLeft = std::min(LeastWorkLeft, State.m_WorkLeft);
  const double Time = std::max(LeastWorkLeft, 0.0) / speed() + 1;
  m_Loop.after(Duration(static_cast<Duration::rep>(Time)),
               [this, Generation = m_Generation] { complete(Generation); });
}

void ModelledTarget::complete(std::uint64_t Generation) {
  if (Generation != m_Generation)
    return;
  advance();
  std::vector<RunningRequest> Finished;
  std::erase_if(m_Running, [&](auto &Entry) {
    if (Entry.second.m_WorkLeft > RemainingWorkTolerance)
      return false;
    Finished.push_back(std::move(Entry.second));
    return true;
  });
  rescheduleNext();
  for (const RunningRequest &Request : Finished)
    Request.m_OnCompletion({.m_Latency = m_Loop.now() - Request.m_Start});
}

void ModelledTarget::tick() {
  m_Loop.after(TickPeriod, [this] { tick(); });
  const auto Count = static_cast<double>(m_Running.size());
  if (Count <= usableSlots() * m_Options.m_OverloadRatio)
    m_LastSustainable = m_Loop.now();
  if (m_Loop.now() - m_LastSustainable > m_Options.m_OverloadTolerance) {
    ++m_Collapses;
    becomeCold(/*FailsRequests=*/true);
  } else if (m_Loop.now() - m_ColdSince < m_Options.m_WarmUpTime) {
    advance();
    rescheduleNext();
  }
}

void ModelledTarget::failAll() {
  const auto Lost = std::exchange(m_Running, {});
  for (const auto &[Request, State] : Lost)
    State.m_OnCompletion(
        {.m_Latency = m_Loop.now() - State.m_Start, .m_Failed = true});
}

} // namespace balsamwheel::policy
