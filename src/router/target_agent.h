// Agent of the target beside this daemon: tracks its state by its heartbeats
// and the keys it holds, and sends it all of its requests, through one gate.
#pragma once

#include "event_log.h"
#include "exchange_format.h"
#include "router_settings.h"
#include "target_keys.h"

#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/keyspace/key_planner.h"
#include "balsamwheel/detail/load/crash_suspects.h"
#include "balsamwheel/detail/load/link_budget.h"
#include "balsamwheel/detail/load/request_gate.h"
#include "balsamwheel/detail/load/target_capacity.h"
#include "balsamwheel/detail/load/target_selector.h"
#include "balsamwheel/detail/routing/route_table.h"

#include "net/http_client.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace balsamwheel {

/// A heartbeat of the local target.
struct TargetHeartbeat {
  TargetIncarnation m_Target;
  ServiceName m_Service;
  Endpoint m_Address;
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  Duration m_ColdLeft{0};
  /// Increases with each heartbeat of one incarnation.
  std::uint64_t m_Sequence = 0;
  HoldReport m_Keys;
};

/// A request for the local target.
struct TargetJob {
  HttpRequest m_Request;
  std::string m_Id;
  std::string m_Route;
  std::uint32_t m_Priority = 0;
  /// Empty when the caller has given no API key.
  OrganisationName m_Organisation;
  bool m_Idempotent = false;
  /// Sent by a target while it runs another request.
  bool m_Nested = false;
  /// Sent to a target before, or by a target that runs a repeated request.
  bool m_Repeated = false;
  /// The answer is large and leaves over the machine's link.
  bool m_LargeOverLink = false;
  std::optional<KeyIndex> m_Key;
  RequestDigest m_Digest;
  TimePoint m_Objective;
  TimePoint m_Deadline;
};

struct TargetJobResult {
  Outcome m_Outcome = Outcome::NotRun;
  Reason m_Reason = Reason::None;
  /// Whether bytes of the request may have reached the target, whatever the
  /// outcome.
  bool m_ReachedTarget = false;
  Duration m_RetryAfter{0};
  /// Set only when the outcome is Done.
  HttpAnswer m_Answer;
  /// The target, if its answer says that it leaves.
  std::optional<TargetIncarnation> m_LeavingTarget;
};

/// What cancel() has found.
enum class CancelledAttempt : std::uint8_t {
  /// The attempt had ended before.
  Ended,
  /// It waited at the gate or for its key.
  Waiting,
  /// The gate had passed it, but no byte of it was sent.
  Unsent,
  /// The target may be running it.
  Sent,
};

const char *toString(CancelledAttempt State);

struct TargetAgentOptions {
  TargetKeysOptions m_Keys;
  /// For the answers that are being received; null means no limit.
  BodyRoom *m_AnswerBodyRoom = nullptr;
  RequestGateOptions m_Gate;
  /// Time after the start of the daemon until all grants of its predecessor
  /// have expired.
  Duration m_EarlierGrantsExpiry = std::chrono::seconds(11);
  /// After this many missed heartbeats the target gets no new keys.
  double m_MaxMissedHeartbeats = 3;
  /// Maximum time for which a request waits for a key that is about to be
  /// granted.
  Duration m_MaxGrantWait = std::chrono::milliseconds(1200);
  /// Time for which the gate stays closed after the target refused a
  /// connection.
  Duration m_ConnectRetryDelay = std::chrono::milliseconds(400);
  /// Reserved from the time limits of targets that leave or whose failure
  /// domain is taken out of service, for requests in flight.
  Duration m_CloseMargin = std::chrono::milliseconds(500);
};

struct TargetAgentCallbacks {
  TargetKeysCallbacks m_Keys;
  /// The target has crashed while it was running these requests.
  std::function<void(const std::vector<CrashedRun> &)> m_OnCrash;
  /// A request that is a suspect has completed.
  std::function<void(RequestDigest)> m_OnSuspectCompleted;
};

/// Invariants: nothing is sent while the gate is closed, nor after a time at
/// which it was to be closed; a non-idempotent request is sent at most once;
/// each job ends exactly once, by its callback or by cancel().
class TargetAgent {
public:
  using JobId = RequestHandle;
  using OnResult = std::function<void(TargetJobResult)>;

  TargetAgent(EventLoop &Loop, EventLog &Log, const RouterSettings &Settings,
              const ExchangeFormat &Format, TargetAgentOptions Options,
              const CrashSuspects &Suspects, TargetAgentCallbacks Callbacks);

  /// Handles a heartbeat.
  /// \returns false for a late heartbeat or one of an earlier incarnation.
  bool onHeartbeat(const TargetHeartbeat &Heartbeat);
  /// Sets the target's service as the current configuration describes it; null
  /// while it isn't known. The gate isn't opened before it is known, since it
  /// contains the rate limit of a cold target.
  void setService(const ServiceSpec *Spec);
  /// Forgets what was learned about the requests of all routes but these.
  void keepRoutes(const std::set<std::string> &Names) {
    m_Gate.keepRoutes(Names);
  }
  /// The target leaves: it gets no keys from now on and soon no requests.
  void leave(const char *Why);
  /// Sets whether the target's domain is out of service.
  /// \param Limit time from which on the target may get no more requests; one
  ///        that has passed closes the gate at once.
  void setEvacuated(bool Evacuated, TimePoint Limit);
  /// The daemon will stop: its reports ask the others to send no more requests.
  void setStopping() { m_Stopping = true; }
  /// The daemon is about to exit: requests that haven't been sent to the target
  /// are refused, so that none is interrupted there.
  void refuseNew();

  JobId submit(TargetJob Job, const KeyMap *Map, OnResult Done);
  /// Cancels a job whose caller has left or whose deadline has passed; its
  /// callback isn't called. A non-idempotent request that was sent continues.
  CancelledAttempt cancel(JobId Job);
  /// Refuses a job that hasn't been sent to the target; others go on.
  void withdraw(JobId Job);
  /// Sends the requests whose keys the last answered heartbeat has granted.
  void grantsChanged();

  /// Whether the target is running the request with this id.
  bool isRunning(const std::string &RequestId) const {
    return m_RunningIds.contains(RequestId);
  }
  /// Priority of the request with this id that the target is running; the most
  /// urgent if there are several, none if there is none.
  std::optional<std::uint32_t>
  runningPriority(const std::string &RequestId) const;
  /// Whether the target is running a repeated request with this id.
  bool isRunningRepeat(const std::string &RequestId) const {
    return m_RunningRepeats.contains(RequestId);
  }
  /// Keys of the target; null while there is no target.
  TargetKeys *keys() { return m_Keys.get(); }
  std::optional<KeyOwner> owner() const;
  TargetCondition condition() const;
  /// The targets on this instance that hold no keys, and can't be granted those
  /// that the map doesn't assign to them.
  EndedTargets endedTargets() const;
  GateReport gateReport() const;
  /// Requests per second that the target can complete. Changes slowly.
  double capacity() const;
  /// Measured number of requests that the target handles well at a time; none
  /// if it isn't measured.
  std::optional<std::uint32_t> measuredSlots() const;
  /// Recent requests per second for each slice of keys, weighted by age.
  const SliceLoads &sliceRates() const { return m_SliceRates; }
  void decaySliceRates(Duration Interval);
  bool leaving() const { return m_Leaving || m_Evacuated; }
  /// Requests per second that the target has named as its limit; none while it
  /// names none.
  std::optional<double> namedLimit() const { return m_NamedLimit; }
  std::size_t jobs() const { return m_Jobs.size(); }
  std::uint64_t connectionsOpened() const {
    return m_Client ? m_Client->connectionsOpened() : 0;
  }

private:
  /// \param Limit time from which on the target may get no more requests.
  void leaveUntil(TimePoint Limit, const char *Why);

  struct Job {
    TargetJob m_Job;
    OnResult m_Done;
    TimePoint m_Submitted;
    TimePoint m_SentAt;
    bool m_Sent = false;
    /// Where it was sent to, and its part in the measured capacity.
    std::optional<TargetIncarnation> m_Incarnation;
    TargetCapacity::Run m_Run;
    /// The job was cancelled; its result is discarded.
    bool m_Cancelled = false;
    HttpClient::CallId m_Call;
  };

  void startTarget(const TargetHeartbeat &Heartbeat);
  /// For how long no request has been running at the target; zero before its
  /// first one.
  Duration idleTime() const;
  /// Slots that the target and its service allow.
  std::uint32_t namedSlots() const;
  /// The same, limited to the measured capacity.
  std::uint32_t gateSlots() const;
  /// Measures the capacity anew, for a new incarnation.
  void startMeasuring();
  void measureEnd(const Job &Entry, CapacityEnd How);
  /// Applies the measured capacity to the gate, and logs a lasting change.
  void applyCapacity();
  /// Opens the gate unless the state of the target or daemon forbids it.
  void openGate();
  void limitColdRate();
  void closeGate(Reason Why);
  /// Closes the gate when the target has to leave it: at once or, if it may
  /// hold keys, at the earliest of the times set.
  void scheduleClose();
  /// Closes the gate if the time for it has passed, and its timer hasn't run
  /// yet.
  void closeIfDue();
  /// How long a request may wait for a key that is to be granted.
  Duration grantWaitLimit(const TargetJob &Entry) const;
  void offer(JobId Id);
  /// Refuses a request that the gate doesn't send.
  /// \param Cause what happened at the gate, for the log.
  void refuseWaiting(JobId Id, std::string_view Cause, Reason Why,
                     Duration RetryAfter);
  /// Removes a job that hasn't been sent from where it waits.
  void stopWaiting(JobId Id);
  void send(JobId Id);
  void callEnded(JobId Id, HttpCallResult Result);
  /// Handles what the target says about itself in an answer of this kind.
  void onNotice(const TargetNotice &Notice, TargetAnswerKind Kind);
  void finish(JobId Id, TargetJobResult Result);
  void sendQueued();
  void expireWaiting();
  void forgetRunning(const TargetJob &Request);
  void onConnectionRefused();
  /// Reports the runs that have broken off together, now that the target is
  /// known to have ended.
  void reportCrash();

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings &m_Settings;
  const ExchangeFormat &m_Format;
  TargetAgentOptions m_Options;
  TimePoint m_StartedAt;
  RequestGate m_Gate;
  /// Null while it isn't measured.
  std::unique_ptr<TargetCapacity> m_Capacity;
  /// smoothed() of the capacity when it was last logged.
  double m_LoggedCapacity = 0;
  LinkBudget m_LinkBudget;
  std::optional<TargetIncarnation> m_Target;
  const CrashSuspects &m_Suspects;
  TargetAgentCallbacks m_Callbacks;
  /// The last runs that have broken off, by when; at most MaxBrokenRuns.
  std::deque<CrashedRun> m_BrokenRuns;
  /// The end of the present incarnation has been reported as a crash.
  bool m_CrashReported = false;
  std::unique_ptr<TargetKeys> m_Keys;
  std::unique_ptr<HttpClient> m_Client;
  std::uint64_t m_LastSequence = 0;
  std::uint32_t m_Slots = 0;
  TimePoint m_LastHeartbeat;
  /// When a request at the present target last ended.
  std::optional<TimePoint> m_LastEnded;
  /// End of the cold start as reported by the target, plus one heartbeat
  /// interval.
  TimePoint m_ColdUntil;
  std::optional<ServiceSpec> m_ServiceSpec;
  /// From the target's answers so far, in requests per second.
  std::optional<double> m_NamedLimit;
  bool m_Leaving = false;
  bool m_Evacuated = false;
  bool m_Stopping = false;
  bool m_RefuseNew = false;
  /// From when on the target may get no requests, because it leaves or because
  /// its domain is out of service.
  std::optional<TimePoint> m_LeaveLimit;
  std::optional<TimePoint> m_EvacuationLimit;
  /// When the gate is to be closed; none if it isn't, or has been.
  std::optional<TimePoint> m_CloseAt;
  EventLoop::TimerId m_CloseTimer;
  EventLoop::TimerId m_SendTimer;
  EventLoop::TimerId m_ExpireTimer;
  std::uint64_t m_LastJob = 0;
  std::map<JobId, Job> m_Jobs;
  /// Priorities of the requests that the target is running, by their ids.
  std::multimap<std::string, std::uint32_t> m_RunningIds;
  /// Those of m_RunningIds whose requests are repeats.
  std::multiset<std::string> m_RunningRepeats;
  /// Jobs that wait for their keys to be granted with the next heartbeat.
  std::vector<JobId> m_AwaitingGrant;
  SliceLoads m_SliceRates{};
};

} // namespace balsamwheel
