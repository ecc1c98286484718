// The owner's side of a request: at most once, admission, the order itself.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/load/admission.h"
#include "balsamwheel/detail/node/context.h"
#include "balsamwheel/detail/node/node.h"
#include "balsamwheel/detail/node/outcome_store.h"
#include "balsamwheel/detail/node/replay_window.h"
#include "balsamwheel/detail/wire/request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace balsamwheel {

/// Stated by a daemon that never forgot a request.
inline constexpr Duration UnlimitedMemory = std::chrono::hours(24 * 365);

/// Runs forwards, from other daemons and from the local entrance alike, at the
/// local target.
///
/// Invariants: a job is in exactly one stage; each StartOrder follows a permit
/// granted at the same moment; a stream is taken at most once; NotRun is
/// replied only for a stream that has not started and never will.
class Executor {
public:
  Executor(NodeContext &Context, const NodeOptions &Options)
      : m_Context(Context), m_Admission(Options.m_Admission),
        m_OutcomeMemory(Options.m_OutcomeMemory),
        m_Outcomes(Options.m_OutcomeMemory, Options.m_OutcomeLimit) {}

  void onForward(ForwardRequest Request, const PeerAddress &From,
                 TimePoint Now);
  void onQuery(const OutcomeQuery &Query, const PeerAddress &From,
               TimePoint Now);
  void onCancel(std::uint64_t Stream, const PeerAddress &From, TimePoint Now);
  void onAnswering(OrderId Order, HttpAnswer Head);
  void onOrderEnd(const OrderReport &Report, TimePoint Now);
  void onTargetReady(const ServiceName &Service, std::uint32_t Slots,
                     TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const;

  bool idle() const { return m_Jobs.empty(); }
  std::uint32_t limit() const { return m_Gate ? m_Gate->limit() : 0; }
  std::uint32_t running() const { return m_Gate ? m_Gate->running() : 0; }
  std::size_t queued() const { return m_Gate ? m_Gate->queued() : 0; }
  std::size_t outcomesKept() const { return m_Outcomes.size(); }

private:
  enum class Stage : std::uint8_t {
    /// Waits for the former owner of its key.
    Parked,
    /// Waits in the gate.
    Queued,
    Running
  };

  /// Lives from the acceptance of a forward to the end of its order.
  struct Job {
    PeerAddress m_From;
    std::uint64_t m_Stream = 0;
    RequestMeta m_Meta;
    HttpRequest m_Http;
    KeyHash m_Key;
    /// None for a service that is not divided by key.
    std::optional<ShardRef> m_Shard;
    Urgency m_Urgency = Urgency::Interactive;
    /// Epoch the sender expects.
    Epoch m_Expected;
    Epoch m_Epoch;
    TimePoint m_Arrived;
    TimePoint m_Deadline;
    TimePoint m_NextTry;
    Stage m_Stage = Stage::Parked;
    OrderId m_Order;
    /// The head of a long answer was passed on.
    bool m_Answering = false;
    /// Its order was told to end; how long it took says nothing.
    bool m_Cancelled = false;
  };

  using JobHandle = RequestHandle;

  /// What one reply says besides its stream.
  struct Verdict {
    Outcome m_Outcome = Outcome::Unknown;
    Reason m_Reason = Reason::None;
    Duration m_RetryAfter{0};
  };

  /// Frees the slot of an ended order and shows the gate how it went.
  void teachGate(const Job &Value, const OrderReport &Report, TimePoint Now);
  /// Fills in what the configuration says; false for an unknown service.
  bool classify(Job &Value, TimePoint Now) const;
  /// Checks a non-idempotent id; false when the forward was settled here.
  bool admitId(Job &Value, std::uint64_t Query, TimePoint Now);
  bool admitCleared(const OutcomeRecord &Record, const Job &Value,
                    const Ballot &Asked);
  void clearRetry(const OutcomeQuery &Query, const PeerAddress &From,
                  TimePoint Now);
  void answerFate(const OutcomeQuery &Query, const PeerAddress &From,
                  TimePoint Now);
  void replyRecord(const OutcomeRecord &Record, const PeerAddress &To,
                   std::uint64_t Stream, const RequestMeta &Meta);
  std::optional<ShardRef> shardFor(const RequestMeta &Meta) const;
  Duration memoryAge(const RequestMeta &Meta, TimePoint Now) const;
  OutcomeRecord *recordOf(const RequestMeta &Meta);

  /// Whether the job may go to the target at this moment.
  Permit permitFor(const Job &Value, TimePoint Now) const;
  void tryJob(JobHandle Handle, TimePoint Now);
  void startJob(JobHandle Handle, TimePoint Now);
  /// Waits for the permit where that helps, else refuses.
  void parkOrRefuse(JobHandle Handle, const Permit &Denied, TimePoint Now);
  void drainQueue(TimePoint Now);
  /// Ends a job that never started.
  void refuse(JobHandle Handle, Verdict Result, TimePoint Now);
  /// Replies to the sender and to all who wait for the same id.
  void finish(JobHandle Handle, Verdict Result, const HttpAnswer &Http,
              TimePoint Now);
  void settleRecord(const Job &Value, const Verdict &Result,
                    const HttpAnswer &Http, TimePoint Now);
  void reply(const PeerAddress &To, std::uint64_t Stream, const Verdict &Result,
             HttpAnswer Http, const RequestMeta &Meta);
  void sendReply(const PeerAddress &To, ForwardReply Reply,
                 const RequestMeta &Meta);

  NodeContext &m_Context;
  AdmissionOptions m_Admission;
  std::optional<AdmissionGate> m_Gate;
  ServiceName m_TargetService;
  std::unordered_map<JobHandle, Job> m_Jobs;
  std::unordered_map<OrderId, JobHandle> m_Orders;
  /// Parked jobs by the time of their next try.
  std::multimap<TimePoint, JobHandle> m_Parked;
  /// Ends of jobs that wait.
  std::multimap<TimePoint, JobHandle> m_Deadlines;
  TimePoint m_QueueWake = TimePoint::max();
  Duration m_OutcomeMemory;
  OutcomeStore m_Outcomes;
  ReplayWindow m_Replays;
  std::uint64_t m_LastHandle = 0;
  std::uint64_t m_LastOrder = 0;
};

} // namespace balsamwheel
