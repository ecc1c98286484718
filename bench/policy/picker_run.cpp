// Drives Pickers as entrance daemons do, with hedges and budgeted retries.
#include "policy/picker_run.h"

#include "policy/arrivals.h"
#include "policy/gated_target.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace balsamwheel::policy {

namespace {

struct Entrance {
  Picker m_Picker;
  RetryBudget m_Retries{RetryBudgetOptions{}};
};

struct Attempt {
  SessionId m_Target;
  RequestHandle m_Handle;
  TimePoint m_Sent;
};

struct Request {
  std::size_t m_Entrance = 0;
  Duration m_ServiceTime{0};
  TimePoint m_Arrival;
  bool m_Measured = false;
  std::vector<Attempt> m_OpenAttempts;
  std::vector<SessionId> m_Tried;
};

class PickerRun {
public:
  explicit PickerRun(const PickerRunOptions &Options)
      : m_Options(Options), m_Arrivals(Options.m_Seed) {
    for (std::uint32_t I = 0; I < Options.m_Targets; ++I) {
      m_Targets.push_back(std::make_unique<GatedTarget>(m_Loop, Options.m_Gate,
                                                        Options.m_Target));
      m_Sessions.emplace_back(I + 1);
    }
    for (std::uint32_t I = 0; I < Options.m_Entrances; ++I)
      m_Entrances.push_back(
          {Picker(Options.m_Picker, m_Arrivals.randomBits())});
  }

  PickerRunResult run() {
    if (m_Options.m_Slow) {
      const SlowPeriod Slow = *m_Options.m_Slow;
      m_Loop.after(Slow.m_From, [this, Slow] {
        m_Targets.front()->target().setSlowness(Slow.m_Factor);
      });
      m_Loop.after(Slow.m_Until,
                   [this] { m_Targets.front()->target().setSlowness(1); });
    }
    scheduleArrival();
    m_Loop.runUntil(TimePoint(m_Options.m_Length));
    return std::move(m_Result);
  }

private:
  void scheduleArrival() {
    const double Slots = m_Options.m_Targets * m_Options.m_Target.m_Slots;
    const double MeanGap =
        static_cast<double>(m_Options.m_MeanServiceTime.count()) /
        (m_Options.m_OfferedLoad * Slots);
    m_Loop.after(m_Arrivals.interarrivalTime(MeanGap), [this] {
      scheduleArrival();
      onArrival();
    });
  }

  void onArrival() {
    const std::uint64_t Id = m_NextRequest++;
    Request &NewRequest = m_Requests[Id];
    NewRequest.m_Entrance = Id % m_Entrances.size();
    NewRequest.m_ServiceTime =
        m_Arrivals.serviceTime(m_Options.m_MeanServiceTime);
    NewRequest.m_Arrival = m_Loop.now();
    NewRequest.m_Measured = m_Loop.now() >= TimePoint(m_Options.m_MeasureFrom);
    m_Result.m_Offered += NewRequest.m_Measured ? 1 : 0;
    Entrance &Receiver = m_Entrances.at(NewRequest.m_Entrance);
    Receiver.m_Retries.onFirstAttempt();
    m_Loop.after(m_Options.m_Deadline, [this, Id] { failRequest(Id); });
    const auto Delay = Receiver.m_Picker.hedgeDelay(m_Loop.now());
    send(Id);
    if (Delay)
      m_Loop.after(*Delay, [this, Id] { hedge(Id); });
  }

  void send(std::uint64_t Id) {
    Request &Sent = m_Requests.at(Id);
    Picker &TargetPicker = m_Entrances.at(Sent.m_Entrance).m_Picker;
    const SessionId Target =
        *TargetPicker.pick(m_Sessions, Sent.m_Tried, m_Loop.now());
    TargetPicker.started(Target, m_Loop.now());
    if (Sent.m_Measured) {
      m_Result.m_ExtraSends += Sent.m_Tried.empty() ? 0 : 1;
      m_Result.m_SendsToFirst += Target == m_Sessions.front() ? 1 : 0;
    }
    Sent.m_Tried.push_back(Target);
    const RequestHandle Handle = gatedTarget(Target).send(
        Urgency::Interactive, Sent.m_ServiceTime,
        Sent.m_Arrival + m_Options.m_Deadline,
        [this, Id, Target](SendResult Result) { onEnd(Id, Target, Result); });
    Sent.m_OpenAttempts.push_back({Target, Handle, m_Loop.now()});
  }

  void hedge(std::uint64_t Id) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end() || Found->second.m_Tried.size() > 1)
      return;
    if (m_Entrances.at(Found->second.m_Entrance)
            .m_Picker.takeHedge(m_Loop.now()))
      send(Id);
  }

  void onEnd(std::uint64_t Id, SessionId Target, SendResult Result) {
    Request &Ended = m_Requests.at(Id);
    const auto EndedAttempt =
        std::ranges::find(Ended.m_OpenAttempts, Target, &Attempt::m_Target);
    const Duration Latency = m_Loop.now() - EndedAttempt->m_Sent;
    Ended.m_OpenAttempts.erase(EndedAttempt);
    Entrance &Receiver = m_Entrances.at(Ended.m_Entrance);
    Receiver.m_Picker.finished(Target, Latency, Result != SendResult::Answered,
                               m_Loop.now());
    if (Result == SendResult::Answered)
      close(Id, m_Loop.now() - Ended.m_Arrival);
    else if (Ended.m_OpenAttempts.empty() && Receiver.m_Retries.takeRetry())
      send(Id);
    else if (Ended.m_OpenAttempts.empty())
      failRequest(Id);
  }

  void failRequest(std::uint64_t Id) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    m_Result.m_Lost += Found->second.m_Measured ? 1 : 0;
    close(Id, m_Options.m_Deadline);
  }

  void close(std::uint64_t Id, Duration Latency) {
    const Request Closed = m_Requests.at(Id);
    m_Requests.erase(Id);
    if (Closed.m_Measured)
      m_Result.m_Latency.add(Latency);
    Picker &TargetPicker = m_Entrances.at(Closed.m_Entrance).m_Picker;
    for (const Attempt &Remaining : Closed.m_OpenAttempts) {
      gatedTarget(Remaining.m_Target).cancel(Remaining.m_Handle);
      TargetPicker.abandoned(Remaining.m_Target,
                             m_Loop.now() - Remaining.m_Sent, m_Loop.now());
    }
  }

  GatedTarget &gatedTarget(SessionId Target) {
    return *m_Targets.at(Target.value() - 1);
  }

  PickerRunOptions m_Options;
  EventLoop m_Loop;
  Arrivals m_Arrivals;
  std::vector<std::unique_ptr<GatedTarget>> m_Targets;
  std::vector<SessionId> m_Sessions;
  std::vector<Entrance> m_Entrances;
  std::unordered_map<std::uint64_t, Request> m_Requests;
  std::uint64_t m_NextRequest = 1;
  PickerRunResult m_Result;
};

} // namespace

PickerRunResult runPicker(const PickerRunOptions &Options) {
  return PickerRun(Options).run();
}

} // namespace balsamwheel::policy
