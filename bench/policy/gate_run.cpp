// Drives an AdmissionGate the way a node does.
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
    const Duration Counted = m_Options.m_Length - m_Options.m_WarmUp;
    m_Result.m_Goodput =
        static_cast<double>(m_WorkInTime.count()) /
        static_cast<double>(Counted.count() * m_Options.m_Target.m_Slots);
    return std::move(m_Result);
  }

private:
  void scheduleFaults() {
    ModelledTarget &Target = m_Target.target();
    if (m_Options.m_SilentCold)
      m_Loop.after(*m_Options.m_SilentCold, [this, &Target] {
        Target.turnCold(m_Options.m_SilentColdFails);
      });
    if (!m_Options.m_Slow)
      return;
    const SlowSpell Slow = *m_Options.m_Slow;
    m_Loop.after(Slow.m_From,
                 [&Target, Slow] { Target.setSlowness(Slow.m_Factor); });
    m_Loop.after(Slow.m_Until, [&Target] { Target.setSlowness(1); });
  }

  void scheduleArrival(const ClassLoad &Load) {
    if (Load.m_Share <= 0)
      return;
    const double MeanGap = static_cast<double>(Load.m_MeanWork.count()) /
                           (Load.m_Share * m_Options.m_Target.m_Slots);
    m_Loop.after(m_Arrivals.gap(MeanGap), [this, Load] {
      scheduleArrival(Load);
      arrive(Load);
    });
  }

  void arrive(const ClassLoad &Load) {
    const Duration Work = m_Arrivals.work(Load.m_MeanWork);
    const TimePoint Arrival = m_Loop.now();
    const Urgency Class =
        m_Options.m_UseClasses ? Load.m_Class : Urgency::Interactive;
    const bool Counted = Arrival >= TimePoint(m_Options.m_WarmUp);
    if (Counted)
      ++m_Result.of(Load.m_Class).m_Offered;
    m_Target.send(Class, Work, Arrival + Load.m_Deadline,
                  [this, Load, Work, Arrival, Counted](SendEnd How) {
                    if (Counted)
                      count(Load, Work, m_Loop.now() - Arrival, How);
                  });
  }

  void count(const ClassLoad &Load, Duration Work, Duration Latency,
             SendEnd How) {
    ClassResult &Into = m_Result.of(Load.m_Class);
    // An unanswered request costs its caller the whole deadline.
    Into.m_Latency.add(How == SendEnd::Answered ? Latency : Load.m_Deadline);
    if (How == SendEnd::Refused) {
      ++Into.m_Refused;
    } else if (How == SendEnd::Failed) {
      ++Into.m_Failed;
    } else if (Latency > Load.m_Deadline) {
      ++Into.m_Late;
    } else {
      ++Into.m_InTime;
      m_WorkInTime += Work;
    }
  }

  GateRunOptions m_Options;
  EventLoop m_Loop;
  GatedTarget m_Target;
  Arrivals m_Arrivals;
  Duration m_WorkInTime{0};
  GateRunResult m_Result;
};

} // namespace

GateRunResult runGate(const GateRunOptions &Options) {
  return GateRun(Options).run();
}

} // namespace balsamwheel::policy
