// The only gate to the target beside this daemon: its state by its own
// heartbeats, its keys, and every request that is sent to it.
#pragma once

#include "event_log.h"
#include "exchange_format.h"
#include "router_settings.h"

#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/keyspace/hold_ledger.h"
#include "balsamwheel/detail/keyspace/key_planner.h"
#include "balsamwheel/detail/load/link_budget.h"
#include "balsamwheel/detail/load/request_gate.h"
#include "balsamwheel/detail/load/target_board.h"
#include "balsamwheel/detail/routing/route_table.h"

#include "net/http_client.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace balsamwheel {

/// A heartbeat of the target beside this daemon.
struct TargetBeat {
  TargetIncarnation m_Target;
  ServiceName m_Service;
  Endpoint m_Address;
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  Duration m_ColdLeft{0};
  /// Grows with each heartbeat of one incarnation.
  std::uint64_t m_Sequence = 0;
  HoldReport m_Keys;
};

/// A request on its way to the target.
struct TargetJob {
  HttpRequest m_Request;
  std::string m_Id;
  std::string m_Route;
  std::uint32_t m_Priority = 0;
  bool m_Idempotent = false;
  /// Made by a target while it runs another request.
  bool m_Nested = false;
  /// Its answer is large and leaves over the machine's link.
  bool m_LargeOverLink = false;
  std::optional<KeyIndex> m_Key;
  TimePoint m_Objective;
  TimePoint m_Deadline;
};

struct TargetJobResult {
  Outcome m_Outcome = Outcome::NotRun;
  Reason m_Reason = Reason::None;
  /// Bytes of the request reached the target, whatever came of it.
  bool m_ReachedTarget = false;
  Duration m_RetryAfter{0};
  /// Only for Done.
  HttpAnswer m_Answer;
};

struct TargetAgentOptions {
  HoldOptions m_Holds;
  RequestGateOptions m_Gate;
  /// From a daemon's start until no grant of its predecessor can still run.
  Duration m_EarlierGrants = std::chrono::seconds(11);
  /// Heartbeats missed in a row before the target gets no new keys.
  double m_MissedBeats = 3;
  /// Longest wait for a key that is about to be granted.
  Duration m_GrantWait = std::chrono::milliseconds(1200);
  /// Pause after a refused connection to the target.
  Duration m_RefusedPause = std::chrono::milliseconds(400);
  /// Kept from the limits on leaving targets for requests on their way.
  Duration m_LeaveMargin = std::chrono::milliseconds(500);
};

/// Invariants: nothing is sent once the gate is shut; a request that isn't
/// idempotent is sent at most once; each job ends exactly once, by its
/// callback or by cancel().
class TargetAgent {
public:
  using JobId = RequestHandle;
  using OnResult = std::function<void(TargetJobResult)>;

  TargetAgent(EventLoop &Loop, EventLog &Log, const RouterSettings &Settings,
              const ExchangeFormat &Format, TargetAgentOptions Options);

  /// \returns false for a late heartbeat or one of an earlier incarnation.
  bool beat(const TargetBeat &Beat);
  /// What the configuration in force says of the target's service; null while
  /// none is known. Nothing is sent before: a cold target's limit comes from
  /// here.
  void setService(const ServiceSpec *Spec);
  /// The target leaves: from now on it gets no keys and soon no requests.
  void leave(const char *Why);
  /// The target's domain is out of service, or back in it.
  void setEvacuated(bool Evacuated);
  /// The daemon will end: others are told to send nothing more.
  void setStopping() { m_Stopping = true; }
  /// The daemon is about to end: what isn't at the target yet is refused, so
  /// that nothing is cut there.
  void refuseNew();

  JobId submit(TargetJob Job, const KeyMap *Map, OnResult Done);
  /// Its caller has left or its time is over: the callback isn't called. A
  /// running request that isn't idempotent goes on.
  void cancel(JobId Job);
  /// Sends what a newly answered heartbeat allows.
  void grantsChanged();

  /// Whether the target works on the request with this id.
  bool isRunning(const std::string &RequestId) const {
    return m_RunningIds.contains(RequestId);
  }
  HoldLedger *ledger() { return m_Ledger ? &*m_Ledger : nullptr; }
  std::optional<KeyOwner> owner() const;
  TargetCondition condition() const;
  GateReport gateReport() const;
  double capacity() const;
  /// Requests a second for each slice of keys, lately.
  const SliceLoads &sliceRates() const { return m_SliceRates; }
  void decaySliceRates(Duration Interval);
  bool leaving() const { return m_Leaving || m_Evacuated; }
  std::size_t jobs() const { return m_Jobs.size(); }
  std::uint64_t connectionsOpened() const {
    return m_Client ? m_Client->connectionsOpened() : 0;
  }

private:
  struct Job {
    TargetJob m_Job;
    OnResult m_Done;
    TimePoint m_Submitted;
    TimePoint m_SentAt;
    bool m_Sent = false;
    /// Its result is wanted no more.
    bool m_Abandoned = false;
    HttpClient::CallId m_Call;
  };

  void startTarget(const TargetBeat &Beat);
  /// Opens the gate if nothing forbids it.
  void openGate();
  void limitColdRate();
  void shutGate(Reason Why);
  void scheduleShut(Duration Limit, Reason Why);
  /// How long a request is worth holding for a key that is to be granted.
  Duration grantWait(const TargetJob &Of) const;
  void offer(JobId Id);
  void send(JobId Id);
  void completed(JobId Id, HttpCallResult Result);
  void finish(JobId Id, TargetJobResult Result);
  void pump();
  void expireWaiting();
  void forgetRunning(const std::string &RequestId);
  void targetRefused();

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings &m_Settings;
  const ExchangeFormat &m_Format;
  TargetAgentOptions m_Options;
  TimePoint m_StartedAt;
  RequestGate m_Gate;
  LinkBudget m_Link;
  std::optional<TargetIncarnation> m_Target;
  std::optional<HoldLedger> m_Ledger;
  std::unique_ptr<HttpClient> m_Client;
  std::uint64_t m_LastSequence = 0;
  std::uint32_t m_Slots = 0;
  TimePoint m_LastBeat;
  /// The target tells that it is cold until then.
  TimePoint m_ColdUntil;
  std::optional<ServiceSpec> m_Spec;
  bool m_Leaving = false;
  bool m_Evacuated = false;
  bool m_Stopping = false;
  bool m_RefuseNew = false;
  /// Nothing is sent after it, once the target leaves.
  EventLoop::TimerId m_ShutTimer;
  EventLoop::TimerId m_PumpTimer;
  EventLoop::TimerId m_ExpireTimer;
  std::uint64_t m_LastJob = 0;
  std::map<JobId, Job> m_Jobs;
  /// Ids of the requests that the target works on.
  std::multiset<std::string> m_RunningIds;
  /// Jobs for keys that are to be granted with the next heartbeat.
  std::vector<JobId> m_AwaitingGrant;
  SliceLoads m_SliceRates{};
};

} // namespace balsamwheel
