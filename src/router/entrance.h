// Where callers' requests come in: chooses the route and the instance, repeats
// what may be repeated, and answers once.
#pragma once

#include "event_log.h"
#include "exchange_format.h"
#include "peer_mesh.h"
#include "router_metrics.h"
#include "target_agent.h"

#include "balsamwheel/detail/load/retry_budget.h"
#include "balsamwheel/detail/load/target_board.h"
#include "balsamwheel/detail/routing/route_table.h"

#include "net/http_server.h"

#include <pcg_random.hpp>

#include <set>

namespace balsamwheel {

/// What the entrance knows of the rest; kept by the router.
struct EntranceView {
  /// Null before the first configuration.
  std::function<std::shared_ptr<const RouteTable>()> m_Routes;
  /// Null when the service's key map isn't known.
  std::function<const KeyMap *(const ServiceName &)> m_KeyMap;
  /// Instances whose targets may serve the service.
  std::function<std::vector<TargetBoard::Candidate>(const ServiceName &)>
      m_Candidates;
};

struct EntranceOptions {
  /// Passes to another gate after one has refused, for one caller attempt.
  int m_MaxOffers = 3;
  /// Pause before a key's owner is looked up again.
  Duration m_OwnerRetry = std::chrono::milliseconds(60);
  /// Owner lookups for one caller attempt.
  int m_MaxOwnerLookups = 4;
  /// Part of the expected completion that must be left for a repeat: the mean
  /// over all routes is well above what a quick one takes.
  double m_RepeatCompletionPart = 0.6;
  /// Told to callers when nothing better is known.
  Duration m_DefaultRetryAfter = std::chrono::milliseconds(300);
  /// Retry-After is spread by up to this part, so that callers return apart.
  double m_RetryAfterSpread = 0.3;
  RetryBudgetOptions m_Retries;
};

/// Invariants: each request read is answered exactly once or its caller has
/// left; a request that isn't idempotent is passed on again only after proof
/// that it hasn't run; "not run" is answered only with such proof.
class Entrance {
public:
  Entrance(EventLoop &Loop, EventLog &Log, const RouterSettings &Settings,
           const ExchangeFormat &Format, TargetAgent &Agent, PeerMesh &Mesh,
           TargetBoard &Board, RouterMetrics &Metrics, EntranceOptions Options,
           EntranceView View);

  void accept(std::shared_ptr<HttpExchange> Exchange);
  /// From now on new requests are refused: the process is about to end.
  void refuseNew() { m_RefuseNew = true; }
  std::size_t active() const { return m_Active.size(); }

private:
  using Id = std::uint64_t;
  struct Active {
    std::shared_ptr<HttpExchange> m_Exchange;
    std::shared_ptr<const RouteTable> m_Table;
    const Route *m_Route = nullptr;
    ServiceName m_Service;
    RequestMarks m_Marks;
    /// As it is sent to targets, but for its own marks.
    HttpRequest m_Request;
    /// Made by the target beside this daemon, for a request that it runs.
    bool m_Nested = false;
    TimePoint m_Arrived;
    TimePoint m_Objective;
    TimePoint m_Deadline;
    EventLoop::TimerId m_Timer;
    EventLoop::TimerId m_Pause;
    /// Where it is now.
    InstanceName m_At;
    std::uint64_t m_Stream = 0;
    TargetAgent::JobId m_Job;
    /// Targets that it may have reached.
    std::uint32_t m_Arrivals = 0;
    int m_Offers = 0;
    int m_OwnerLookups = 0;
    std::set<InstanceName> m_Refused;
  };

  /// Finds the route and the times; false when no route matches.
  bool place(Active &Of);
  void dispatch(Id Request);
  std::optional<InstanceName> choose(const Active &Of);
  /// Whether only the owner of its key may serve the request.
  static bool isKeyed(const Active &Of);
  std::optional<InstanceName> ownerOf(const Active &Of) const;
  void passOn(Id Request, const InstanceName &To);
  void resulted(Id Request, TargetJobResult Result);
  void notRun(Id Request, const TargetJobResult &Result);
  bool mayRepeat(Active &Of);
  void lookUpOwnerAgain(Id Request);
  void timedOut(Id Request);
  void callerLeft(Id Request);
  void withdraw(const Active &Of);
  void refuse(Id Request, Reason Why, Duration RetryAfter);
  void fail(Id Request, unsigned Status, Reason Why);
  void answer(Id Request, HttpAnswer Answer, std::string_view Outcome,
              Reason Why);

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings &m_Settings;
  const ExchangeFormat &m_Format;
  TargetAgent &m_Agent;
  PeerMesh &m_Mesh;
  TargetBoard &m_Board;
  RouterMetrics &m_Metrics;
  EntranceOptions m_Options;
  EntranceView m_View;
  RetryBudget m_Retries;
  pcg32 m_Random;
  bool m_RefuseNew = false;
  Id m_LastId = 0;
  std::map<Id, Active> m_Active;
  /// Longest deadline that callers of a route have given: the time that a
  /// first attempt has. A shorter one tells how long the caller has waited.
  std::map<std::string, Duration> m_FullDeadlines;
};

} // namespace balsamwheel
