// The executing side of a request: at-most-once records, admission, and the
// order to the local target.
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

/// Memory age reported by a daemon that has not evicted any record.
inline constexpr Duration UnlimitedMemory = std::chrono::hours(24 * 365);

/// Runs forwarded requests, from other daemons and from the local entrance, at
/// the local target.
///
/// Invariants: a job is in exactly one stage; each StartOrder requires a permit
/// granted in the same call; a stream is accepted at most once; NotRun is
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
  void onAnswerHead(OrderId Order, HttpAnswer Head);
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
    /// Waits for the handover of its key.
    Parked,
    /// Waits in the queue of the admission gate.
    Queued,
    Running
  };

  /// A forwarded request, from its acceptance to the end of its order.
  struct Job {
    PeerAddress m_From;
    std::uint64_t m_Stream = 0;
    RequestMeta m_Meta;
    HttpRequest m_Http;
    KeyHash m_Key;
    /// None for a service that is not divided by key.
    std::optional<ShardRef> m_Shard;
    Urgency m_Urgency = Urgency::Interactive;
    /// Epoch of the key's assignment according to the sender.
    Epoch m_ExpectedEpoch;
    /// Epoch under which the order was started.
    Epoch m_Epoch;
    TimePoint m_Arrived;
    TimePoint m_Deadline;
    TimePoint m_NextTry;
    Stage m_Stage = Stage::Parked;
    OrderId m_Order;
    /// The head of a long answer has been sent to the entrance.
    bool m_AnswerHeadSent = false;
    /// Its order was cancelled, so its latency is not a valid sample.
    bool m_Cancelled = false;
  };

  using JobHandle = RequestHandle;

  /// The result that a reply carries.
  struct RequestResult {
    Outcome m_Outcome = Outcome::Unknown;
    Reason m_Reason = Reason::None;
    Duration m_RetryAfter{0};
  };

  /// Frees the slot of an ended order and reports its result to the gate.
  void reportToGate(const Job &CurrentJob, const OrderReport &Report,
                    TimePoint Now);
  /// Fills in the fields that depend on the configuration.
  ///
  /// \returns false if the service is unknown.
  bool classify(Job &CurrentJob, TimePoint Now) const;
  /// Checks the record of a non-idempotent request id.
  ///
  /// \returns false if the request must not run; the sender then has its reply
  /// or is waiting for the end of the running attempt.
  bool admitRequestId(Job &CurrentJob, std::uint64_t Query, TimePoint Now);
  bool admitClearedAttempt(const OutcomeRecord &Record, const Job &CurrentJob,
                           const AttemptRank &Rank);
  void clearRetry(const OutcomeQuery &Query, const PeerAddress &From,
                  TimePoint Now);
  void answerForwardQuery(const OutcomeQuery &Query, const PeerAddress &From,
                          TimePoint Now);
  void replyRecord(const OutcomeRecord &Record, const PeerAddress &Receiver,
                   std::uint64_t Stream, const RequestMeta &Meta);
  std::optional<ShardRef> shardFor(const RequestMeta &Meta) const;
  /// How far back this daemon's records of the request's shard, or of a service
  /// that is not divided by key, are complete.
  Duration memoryAge(const RequestMeta &Meta, TimePoint Now) const;
  OutcomeRecord *findRecord(const RequestMeta &Meta);

  /// Whether the job may be sent to the target now.
  Permit permitFor(const Job &CurrentJob, TimePoint Now) const;
  void tryStartJob(JobHandle Handle, TimePoint Now);
  void startJob(JobHandle Handle, TimePoint Now);
  /// Parks the job if its permit may be granted soon, otherwise refuses it.
  void parkOrRefuse(JobHandle Handle, const Permit &Denied, TimePoint Now);
  void drainQueue(TimePoint Now);
  /// Ends a job that has not started.
  void refuse(JobHandle Handle, RequestResult Result, TimePoint Now);
  /// Ends a job: replies to the sender and to all waiters for the same id.
  void finish(JobHandle Handle, RequestResult Result, const HttpAnswer &Http,
              TimePoint Now);
  void completeRecord(const Job &CurrentJob, const RequestResult &Result,
                      const HttpAnswer &Http, TimePoint Now);
  void reply(const PeerAddress &Receiver, std::uint64_t Stream,
             const RequestResult &Result, HttpAnswer Http,
             const RequestMeta &Meta);
  void sendReply(const PeerAddress &Receiver, ForwardReply Reply,
                 const RequestMeta &Meta);

  NodeContext &m_Context;
  AdmissionOptions m_Admission;
  std::optional<AdmissionGate> m_Gate;
  ServiceName m_TargetService;
  std::unordered_map<JobHandle, Job> m_Jobs;
  std::unordered_map<OrderId, JobHandle> m_Orders;
  /// Parked jobs, ordered by the time of their next try.
  std::multimap<TimePoint, JobHandle> m_Parked;
  /// Deadlines of all accepted jobs; ignored once a job runs.
  std::multimap<TimePoint, JobHandle> m_Deadlines;
  TimePoint m_QueueWake = TimePoint::max();
  Duration m_OutcomeMemory;
  OutcomeStore m_Outcomes;
  ReplayWindow m_ReplayWindow;
  std::uint64_t m_LastHandle = 0;
  std::uint64_t m_LastOrder = 0;
};

} // namespace balsamwheel
