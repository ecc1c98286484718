// Drives an AdmissionGate as a node does.
#include "policy/gate_run.h"

#include "policy/arrivals.h"
#include "policy/gated_target.h"

namespace balsamwheel::policy {

namespace {

class GateRun {
public:
  explicit GateRun(const GateRunOptions &Options)
      : m_Options(Options), m_Target(m_Loop, Options.m_Gate, Options.m_Target),
        m_Arrivals(Options.m_Seed) {}

  GateRunResult run() {
    for (const ClassLoad &Load : m_Options.m_Load)
      scheduleArrival(Load);
    scheduleFaults();
    m_Loop.runUntil(TimePoint(m_Options.m_Length));
    m_Result.m_Collapses = m_Target.target().collapses();
    const Duration Measured = m_Options.m_Length - m_Options.m_MeasureFrom;
    m_Result.m_Goodput =
        static_cast<double>(m_InTimeServiceTime.count()) /
        static_cast<double>(Measured.count() * m_Options.m_Target.m_Slots);
    return std::move(m_Result);
  }

private:
  void scheduleFaults() {
    ModelledTarget &Target = m_Target.target();
    if (m_Options.m_SilentRestartAt)
      m_Loop.after(*m_Options.m_SilentRestartAt, [this, &Target] {
        Target.becomeCold(m_Options.m_SilentRestartFails);
      });
    if (!m_Options.m_Slow)
      return;
    const SlowPeriod Slow = *m_Options.m_Slow;
    m_Loop.after(Slow.m_From,
                 [&Target, Slow] { Target.setSlowness(Slow.m_Factor); });
    m_Loop.after(Slow.m_Until, [&Target] { Target.setSlowness(1); });
  }

  void scheduleArrival(const ClassLoad &Load) {
    if (Load.m_OfferedLoad <= 0)
      return;
    const double MeanGap = static_cast<double>(Load.m_MeanServiceTime.count()) /
                           (Load.m_OfferedLoad * m_Options.m_Target.m_Slots);
    m_Loop.after(m_Arrivals.interarrivalTime(MeanGap), [this, Load] {
      scheduleArrival(Load);
      onArrival(Load);
    });
  }

  void onArrival(const ClassLoad &Load) {
    const Duration ServiceTime = m_Arrivals.serviceTime(Load.m_MeanServiceTime);
    const TimePoint Arrival = m_Loop.now();
    const Urgency Class =
        m_Options.m_UseClasses ? Load.m_Class : Urgency::Interactive;
    const bool Measured = Arrival >= TimePoint(m_Options.m_MeasureFrom);
    if (Measured)
      ++m_Result.of(Load.m_Class).m_Offered;
    m_Target.send(
        Class, ServiceTime, Arrival + Load.m_Deadline,
        [this, Load, ServiceTime, Arrival, Measured](SendResult Result) {
          if (Measured)
            count(Load, ServiceTime, m_Loop.now() - Arrival, Result);
        });
  }

  void count(const ClassLoad &Load, Duration ServiceTime, Duration Latency,
             SendResult Result) {
    ClassResult &ClassCounts = m_Result.of(Load.m_Class);
    // The caller of an unanswered request waits until its deadline.
    ClassCounts.m_Latency.add(Result == SendResult::Answered ? Latency
                                                             : Load.m_Deadline);
    if (Result == SendResult::Refused) {
      ++ClassCounts.m_Refused;
    } else if (Result == SendResult::Failed) {
      ++ClassCounts.m_Failed;
    } else if (Latency > Load.m_Deadline) {
      ++ClassCounts.m_Late;
    } else {
      ++ClassCounts.m_InTime;
      m_InTimeServiceTime += ServiceTime;
    }
  }

  GateRunOptions m_Options;
  EventLoop m_Loop;
  GatedTarget m_Target;
  Arrivals m_Arrivals;
  Duration m_InTimeServiceTime{0};
  GateRunResult m_Result;
};

} // namespace

GateRunResult runGate(const GateRunOptions &Options) {
  return GateRun(Options).run();
}

} // namespace balsamwheel::policy
