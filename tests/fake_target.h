// A simulated target: runs orders, can freeze, restart, lose its state, and be
// slow after a cold start.
#pragma once

#include "fake_events.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace balsamwheel::testing {

/// Returns the body of the target's answer to a request.
inline std::string answerTo(const RequestId &Id) { return "ran " + Id.value(); }

class FakeTarget {
public:
  using EndCallback = std::function<void(OrderEnd, HttpAnswer)>;
  using RunCallback = std::function<void(const StartOrder &)>;

  FakeTarget(EventQueue &Queue, std::uint64_t Seed)
      : m_Queue(Queue), m_Random(Seed) {}

  bool m_ChecksFences = false;
  /// Whether orders whose deadline has passed are aborted.
  bool m_EnforcesDeadlines = true;
  bool m_Cold = false;
  Duration m_MaxServiceTime = milliseconds(4);
  /// Called when an order takes effect.
  RunCallback m_OnRun;

  void freeze() { m_Frozen = true; }
  void thaw() {
    m_Frozen = false;
    for (EventQueue::Action &Waiting : std::exchange(m_Deferred, {}))
      Waiting();
  }
  bool frozen() const { return m_Frozen; }
  void restart() {
    ++m_Run;
    m_Deferred.clear();
    m_Frozen = false;
    m_Cold = true;
  }

  /// Starts an order. Its deadline must be in global time.
  void start(const StartOrder &Order, EndCallback Report) {
    const Duration ServiceTime = m_Random.between(
        milliseconds(1), m_Cold ? m_MaxServiceTime * 8 : m_MaxServiceTime);
    m_Queue.after(ServiceTime / 2,
                  [this, Order, Report, ServiceTime, Run = m_Run] {
                    runUnlessFrozen([this, Order, Report, ServiceTime, Run] {
                      if (Run == m_Run)
                        execute(Order, Report, ServiceTime);
                      else
                        Report(OrderEnd::Failed, {});
                    });
                  });
  }

private:
  void runUnlessFrozen(EventQueue::Action Callback) {
    if (m_Frozen)
      m_Deferred.push_back(std::move(Callback));
    else
      Callback();
  }

  void execute(const StartOrder &Order, const EndCallback &Report,
               Duration ServiceTime) {
    if (m_EnforcesDeadlines && m_Queue.now() > Order.m_Deadline) {
      Report(OrderEnd::Aborted, {});
      return;
    }
    if (m_Cold && m_Random.chance(30)) {
      Report(OrderEnd::Shed, {});
      return;
    }
    if (m_ChecksFences && Order.m_Epoch.value() != 0) {
      Epoch &Highest = m_Fences[Order.m_Shard];
      if (Order.m_Epoch < Highest) {
        Report(OrderEnd::Shed, {});
        return;
      }
      Highest = Order.m_Epoch;
    }
    m_OnRun(Order);
    HttpAnswer Answer;
    Answer.m_Status = 200;
    Answer.m_Body = answerTo(Order.m_Meta.m_Id);
    Answer.m_BodyLength = Answer.m_Body.size();
    m_Queue.after(ServiceTime / 2, [this, Report, Answer, Run = m_Run] {
      runUnlessFrozen([this, Report, Answer, Run] {
        const bool SameRun = Run == m_Run;
        Report(SameRun ? OrderEnd::Answered : OrderEnd::Failed,
               SameRun ? Answer : HttpAnswer{});
      });
    });
  }

  EventQueue &m_Queue;
  RandomSource m_Random;
  bool m_Frozen = false;
  unsigned m_Run = 0;
  std::vector<EventQueue::Action> m_Deferred;
  std::map<ShardRef, Epoch> m_Fences;
};

} // namespace balsamwheel::testing
