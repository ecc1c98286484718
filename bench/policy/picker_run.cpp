// Drives Pickers the way entrances do, hedges and one retry included.
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
  Duration m_Work{0};
  TimePoint m_Arrival;
  bool m_Counted = false;
  std::vector<Attempt> m_Open;
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
      m_Entrances.push_back({Picker(Options.m_Picker, m_Arrivals.bits())});
  }

  PickerRunResult run() {
    if (m_Options.m_Slow) {
      const SlowSpell Slow = *m_Options.m_Slow;
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
    const double MeanGap = static_cast<double>(m_Options.m_MeanWork.count()) /
                           (m_Options.m_Share * Slots);
    m_Loop.after(m_Arrivals.gap(MeanGap), [this] {
      scheduleArrival();
      arrive();
    });
  }

  void arrive() {
    const std::uint64_t Id = m_NextRequest++;
    Request &Added = m_Requests[Id];
    Added.m_Entrance = Id % m_Entrances.size();
    Added.m_Work = m_Arrivals.work(m_Options.m_MeanWork);
    Added.m_Arrival = m_Loop.now();
    Added.m_Counted = m_Loop.now() >= TimePoint(m_Options.m_WarmUp);
    m_Result.m_Offered += Added.m_Counted ? 1 : 0;
    Entrance &Through = m_Entrances.at(Added.m_Entrance);
    Through.m_Retries.onFirstAttempt();
    m_Loop.after(m_Options.m_Deadline, [this, Id] { lose(Id); });
    const auto Delay = Through.m_Picker.hedgeDelay(m_Loop.now());
    send(Id);
    if (Delay)
      m_Loop.after(*Delay, [this, Id] { hedge(Id); });
  }

  void send(std::uint64_t Id) {
    Request &Sent = m_Requests.at(Id);
    Picker &Choice = m_Entrances.at(Sent.m_Entrance).m_Picker;
    const SessionId Target =
        *Choice.pick(m_Sessions, Sent.m_Tried, m_Loop.now());
    Choice.started(Target, m_Loop.now());
    if (Sent.m_Counted) {
      m_Result.m_ExtraSends += Sent.m_Tried.empty() ? 0 : 1;
      m_Result.m_SendsToFirst += Target == m_Sessions.front() ? 1 : 0;
    }
    Sent.m_Tried.push_back(Target);
    const RequestHandle Handle = gated(Target).send(
        Urgency::Interactive, Sent.m_Work,
        Sent.m_Arrival + m_Options.m_Deadline,
        [this, Id, Target](SendEnd How) { onEnd(Id, Target, How); });
    Sent.m_Open.push_back({Target, Handle, m_Loop.now()});
  }

  void hedge(std::uint64_t Id) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end() || Found->second.m_Tried.size() > 1)
      return;
    if (m_Entrances.at(Found->second.m_Entrance)
            .m_Picker.takeHedge(m_Loop.now()))
      send(Id);
  }

  void onEnd(std::uint64_t Id, SessionId Target, SendEnd How) {
    Request &Ended = m_Requests.at(Id);
    const auto Open =
        std::ranges::find(Ended.m_Open, Target, &Attempt::m_Target);
    const Duration Latency = m_Loop.now() - Open->m_Sent;
    Ended.m_Open.erase(Open);
    Entrance &Through = m_Entrances.at(Ended.m_Entrance);
    Through.m_Picker.finished(Target, Latency, How != SendEnd::Answered,
                              m_Loop.now());
    if (How == SendEnd::Answered)
      close(Id, m_Loop.now() - Ended.m_Arrival);
    else if (Ended.m_Open.empty() && Through.m_Retries.takeRetry())
      send(Id);
    else if (Ended.m_Open.empty())
      lose(Id);
  }

  void lose(std::uint64_t Id) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    m_Result.m_Lost += Found->second.m_Counted ? 1 : 0;
    close(Id, m_Options.m_Deadline);
  }

  void close(std::uint64_t Id, Duration Latency) {
    const Request Closed = m_Requests.at(Id);
    m_Requests.erase(Id);
    if (Closed.m_Counted)
      m_Result.m_Latency.add(Latency);
    Picker &Choice = m_Entrances.at(Closed.m_Entrance).m_Picker;
    for (const Attempt &Left : Closed.m_Open) {
      gated(Left.m_Target).cancel(Left.m_Handle);
      Choice.abandoned(Left.m_Target, m_Loop.now() - Left.m_Sent, m_Loop.now());
    }
  }

  GatedTarget &gated(SessionId Target) {
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
