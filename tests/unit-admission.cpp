// Tests of admission control: limits, classes, queues, refusals.
#include "balsamwheel/coordination.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

struct WaitingRequest {
  Urgency m_Class = Urgency::Bulk;
  TimePoint m_Deadline;
};

/// Applies random operations to a gate and to a simple reference model.
class GateModel {
public:
  explicit GateModel(AdmissionOptions Options)
      : m_Options(Options), m_Gate(Options, m_Now) {}

  void step() {
    m_Now += Duration(*rc::gen::inRange(0, 20'000));
    const int Action = *rc::gen::inRange(0, 10);
    if (Action < 4)
      offer();
    else if (Action < 8)
      finish();
    else if (Action == 8)
      withdraw();
    else
      m_Gate.targetRestarted(m_Now);
    startWaiting();
    check();
  }

private:
  void offer() {
    const RequestHandle Handle(m_NextHandle++);
    const WaitingRequest Request{static_cast<Urgency>(*rc::gen::inRange(0, 3)),
                                 m_Now +
                                     Duration(*rc::gen::inRange(0, 500'000))};
    const std::uint32_t Before = m_Gate.running();
    const AdmissionDecision Decision =
        m_Gate.offer(Handle, Request.m_Class, Request.m_Deadline, m_Now);
    if (Decision.m_Verdict == AdmissionVerdict::Run) {
      RC_ASSERT(Before < m_Gate.limit());
      m_Running.push_back(Request.m_Class);
    } else if (Decision.m_Verdict == AdmissionVerdict::Queued) {
      m_Waiting[Handle] = Request;
    } else {
      RC_ASSERT(Decision.m_RetryAfter > Duration(0));
    }
  }

  void finish() {
    if (m_Running.empty())
      return;
    const auto Ended = m_Running.begin() +
                       *rc::gen::inRange<std::ptrdiff_t>(
                           0, static_cast<std::ptrdiff_t>(m_Running.size()));
    const int Result = *rc::gen::inRange(0, 8);
    if (Result == 0)
      m_Gate.released(*Ended);
    else
      m_Gate.finished(*Ended,
                      {.m_Latency = Duration(*rc::gen::inRange(1, 50'000)),
                       .m_Failed = Result == 1,
                       .m_Shed = Result == 2},
                      m_Now);
    m_Running.erase(Ended);
  }

  void withdraw() {
    if (m_Waiting.empty())
      return;
    const RequestHandle Handle = m_Waiting.begin()->first;
    RC_ASSERT(m_Gate.withdraw(Handle));
    RC_ASSERT(!m_Gate.withdraw(Handle));
    m_Waiting.erase(Handle);
  }

  void startWaiting() {
    while (true) {
      const std::uint32_t Before = m_Gate.running();
      const auto Handle = m_Gate.next(m_Now);
      if (!Handle)
        break;
      RC_ASSERT(Before < m_Gate.limit());
      const auto Found = m_Waiting.find(*Handle);
      RC_ASSERT(Found != m_Waiting.end());
      m_Running.push_back(Found->second.m_Class);
      m_Started.push_back(Found->second);
      m_Waiting.erase(Found);
      checkOrder(m_Started.back());
    }
    for (const RequestHandle Handle : m_Gate.expire(m_Now))
      RC_ASSERT(m_Waiting.erase(Handle) == 1);
  }

  // Checks that the started request has the earliest deadline of its class.
  void checkOrder(const WaitingRequest &Started) {
    RC_ASSERT(Started.m_Deadline > m_Now);
    for (const RequestHandle Handle : m_Gate.expire(m_Now))
      RC_ASSERT(m_Waiting.erase(Handle) == 1);
    for (const auto &[Handle, Other] : m_Waiting)
      if (Other.m_Class == Started.m_Class)
        RC_ASSERT(Other.m_Deadline >= Started.m_Deadline);
  }

  void check() {
    RC_ASSERT(m_Gate.running() == m_Running.size());
    RC_ASSERT(m_Gate.queued() == m_Waiting.size());
    RC_ASSERT(m_Gate.queued() <= m_Options.m_QueueLimit);
    RC_ASSERT(m_Gate.limit() >= 1U);
    RC_ASSERT(m_Gate.limit() <= std::max(m_Options.m_Slots, 1U));
    if (!m_Waiting.empty())
      RC_ASSERT(m_Gate.nextWake() < TimePoint::max());
  }

  AdmissionOptions m_Options;
  TimePoint m_Now{1s};
  AdmissionGate m_Gate;
  std::map<RequestHandle, WaitingRequest> m_Waiting;
  std::vector<Urgency> m_Running;
  std::vector<WaitingRequest> m_Started;
  std::uint64_t m_NextHandle = 1;
};

/// Offers requests until one is refused or queued; returns how many run.
std::uint32_t fill(AdmissionGate &Gate, Urgency Class, TimePoint Now,
                   std::uint64_t FirstHandle) {
  std::uint32_t Count = 0;
  while (Gate.offer(RequestHandle(FirstHandle + Count), Class, Now + 10s, Now)
             .m_Verdict == AdmissionVerdict::Run)
    ++Count;
  return Count;
}

/// Runs a gate at its limit, with constant latency, for the given length.
void keepBusy(AdmissionGate &Gate, Duration Latency, Duration Length,
              TimePoint &Now) {
  const TimePoint End = Now + Length;
  std::uint64_t Handle = 1'000'000;
  while (Now < End) {
    for (int Offered = 0; Offered < 12; ++Offered)
      Gate.offer(RequestHandle(Handle++), Urgency::Interactive, Now + 1s, Now);
    while (Gate.next(Now)) {
    }
    const std::uint32_t Running = Gate.running();
    Now += Latency;
    for (std::uint32_t Done = 0; Done < Running; ++Done)
      Gate.finished(Urgency::Interactive, {.m_Latency = Latency}, Now);
    Gate.expire(Now);
  }
  for (std::uint64_t Left = 1'000'000; Left < Handle; ++Left)
    Gate.withdraw(RequestHandle(Left));
}

} // namespace

TEST_CASE("no sequence of operations exceeds a limit or loses a request") {
  CHECK(rc::check("gate against its model", [] {
    GateModel Model({.m_Slots = *rc::gen::inRange(0U, 12U),
                     .m_QueueLimit = *rc::gen::inRange(0U, 20U),
                     .m_ReservedUrgent = *rc::gen::inRange(0U, 3U),
                     .m_ReservedInteractive = *rc::gen::inRange(0U, 4U),
                     .m_ColdSlots = *rc::gen::inRange(0U, 4U),
                     .m_ColdRamp = Duration(*rc::gen::inRange(0, 2'000'000)),
                     .m_Adaptive = *rc::gen::arbitrary<bool>()});
    const int Steps = *rc::gen::inRange(1, 200);
    for (int Step = 0; Step < Steps; ++Step)
      Model.step();
  }));
}

TEST_CASE("bulk requests do not use the slots reserved for other classes") {
  CHECK(rc::check("slots left under many bulk requests", [] {
    AdmissionOptions Options;
    Options.m_Slots = *rc::gen::inRange(2U, 20U);
    Options.m_ReservedUrgent = *rc::gen::inRange(1U, Options.m_Slots);
    Options.m_ReservedInteractive = *rc::gen::inRange(0U, 4U);
    Options.m_Adaptive = false;
    const TimePoint Now{1s};
    AdmissionGate Gate(Options, Now);
    RC_ASSERT(fill(Gate, Urgency::Urgent, Now, 1) == Options.m_Slots);
    for (std::uint32_t Done = 0; Done < Options.m_Slots; ++Done)
      Gate.released(Urgency::Urgent);
    Gate.withdraw(RequestHandle(Options.m_Slots + 1));

    const std::uint32_t Bulk = fill(Gate, Urgency::Bulk, Now, 1000);
    RC_ASSERT(Bulk >= 1U);
    RC_ASSERT(Bulk <= Options.m_Slots - Options.m_ReservedUrgent);
    RC_ASSERT(fill(Gate, Urgency::Urgent, Now, 2000) == Options.m_Slots - Bulk);
  }));
}

TEST_CASE("an urgent request starts before a bulk one that waited longer") {
  const TimePoint Now{1s};
  AdmissionGate Gate({.m_Slots = 1, .m_Adaptive = false}, Now);
  REQUIRE(fill(Gate, Urgency::Bulk, Now, 1) == 1);
  Gate.offer(RequestHandle(10), Urgency::Urgent, Now + 20s, Now);
  Gate.released(Urgency::Bulk);
  CHECK(Gate.next(Now) == RequestHandle(10));
}

TEST_CASE("the limit rises from the cold limit and falls back on a restart") {
  TimePoint Now{1s};
  AdmissionGate Gate({.m_ColdSlots = 2, .m_ColdRamp = 4s}, Now);
  CHECK(Gate.limit() == 2);
  keepBusy(Gate, 10ms, 2s, Now);
  CHECK(Gate.limit() > 2);
  CHECK(Gate.limit() < 8);
  keepBusy(Gate, 10ms, 4s, Now);
  CHECK(Gate.limit() == 10);

  SUBCASE("restart reported by the target") { Gate.targetRestarted(Now); }
  SUBCASE("restart detected by consecutive errors") {
    fill(Gate, Urgency::Interactive, Now, 1);
    Now += 1ms;
    for (int Error = 0; Error < 3; ++Error)
      Gate.finished(Urgency::Interactive, {.m_Latency = 1us, .m_Failed = true},
                    Now);
  }
  SUBCASE("restart detected by consecutive sheds") {
    for (int Shed = 0; Shed < 3; ++Shed) {
      fill(Gate, Urgency::Interactive, Now, 1);
      Now += 5ms;
      Gate.finished(Urgency::Interactive, {.m_Latency = 1ms, .m_Shed = true},
                    Now);
    }
  }
  SUBCASE("restart detected by a jump of the latency") {
    keepBusy(Gate, 60ms, 150ms, Now);
  }
  CHECK(Gate.limit() == 2);
}

TEST_CASE("the limit does not rise while it is not fully used") {
  TimePoint Now{1s};
  AdmissionGate Gate({.m_ColdSlots = 2, .m_ColdRamp = 1s}, Now);
  for (std::uint64_t Handle = 1; Handle < 500; ++Handle) {
    Gate.offer(RequestHandle(Handle), Urgency::Urgent, Now + 1s, Now);
    Now += 10ms;
    Gate.finished(Urgency::Urgent, {.m_Latency = 10ms}, Now);
  }
  CHECK(Gate.limit() == 2);
}

TEST_CASE("requests that started before a decrease cause no further one") {
  TimePoint Now{1s};
  AdmissionGate Gate({.m_ColdRamp = 1s}, Now);
  keepBusy(Gate, 10ms, 4s, Now);
  REQUIRE(Gate.limit() == 10);
  const std::uint32_t Running = fill(Gate, Urgency::Interactive, Now, 1);
  Now += 10ms;
  for (std::uint32_t Shed = 0; Shed < Running; ++Shed)
    Gate.finished(Urgency::Interactive, {.m_Latency = 10ms, .m_Shed = true},
                  Now);
  CHECK(Gate.limit() == 7);
}

TEST_CASE("after consecutive errors requests wait instead of failing") {
  TimePoint Now{1s};
  AdmissionGate Gate({.m_ColdRamp = 1s}, Now);
  keepBusy(Gate, 10ms, 3s, Now);
  fill(Gate, Urgency::Interactive, Now, 1);
  for (int Error = 0; Error < 3; ++Error)
    Gate.finished(Urgency::Interactive, {.m_Failed = true}, Now);
  const std::uint32_t Running = Gate.running();
  for (std::uint32_t Done = 0; Done < Running; ++Done)
    Gate.released(Urgency::Interactive);
  while (Gate.withdraw(RequestHandle(Running + 4))) {
  }
  REQUIRE(Gate.offer(RequestHandle(900), Urgency::Urgent, Now + 1s, Now)
              .m_Verdict == AdmissionVerdict::Queued);
  CHECK_FALSE(Gate.next(Now).has_value());
  CHECK(Gate.nextWake() > Now);
  CHECK(Gate.nextWake() < Now + 1s);
  CHECK(Gate.next(Gate.nextWake()) == RequestHandle(900));
}

TEST_CASE("a refused request is admitted after its retry-after time") {
  CHECK(rc::check("retry-after is sufficient without further requests", [] {
    const Duration Latency = Duration(*rc::gen::inRange(1'000, 50'000));
    const Duration TimeToDeadline =
        Duration(*rc::gen::inRange(60'000, 200'000));
    TimePoint Now{1s};
    AdmissionGate Gate({.m_Slots = 4, .m_Adaptive = false}, Now);
    keepBusy(Gate, Latency, Latency * 40, Now);
    AdmissionDecision Decision;
    std::vector<TimePoint> Ends;
    for (std::uint64_t Handle = 1;
         Decision.m_Verdict != AdmissionVerdict::Refused || Handle == 1;
         ++Handle) {
      Decision = Gate.offer(RequestHandle(Handle), Urgency::Interactive,
                            Now + TimeToDeadline, Now);
      if (Decision.m_Verdict == AdmissionVerdict::Run)
        Ends.push_back(Now + Latency);
    }
    const TimePoint RetryTime = Now + Decision.m_RetryAfter;
    while (true) {
      const auto First = std::ranges::min_element(Ends);
      if (First == Ends.end() || *First > RetryTime)
        break;
      Now = *First;
      Ends.erase(First);
      Gate.finished(Urgency::Interactive, {.m_Latency = Latency}, Now);
      while (Gate.next(Now))
        Ends.push_back(Now + Latency);
      Gate.expire(Now);
    }
    RC_ASSERT(Gate.offer(RequestHandle(1'000), Urgency::Interactive,
                         RetryTime + TimeToDeadline, RetryTime)
                  .m_Verdict != AdmissionVerdict::Refused);
  }));
}
