// A router process for one instance: joins the entrance, the gate, the keys,
// the tables and the peers on one event loop.
#pragma once

#include "entrance.h"
#include "key_coordinator.h"
#include "row_catch_up.h"
#include "table_follower.h"

namespace balsamwheel {

/// Translates rows that operators write; an adapter implements it.
class OperatorRows {
public:
  virtual ~OperatorRows() = default;
  /// The configuration, when \p Row holds one.
  /// \param Problem why a configuration row was rejected.
  virtual std::shared_ptr<const RouteTable>
  configuration(const MirroredRow &Row, std::string &Problem) const = 0;
  /// Whether the row holds the configuration, sound or not.
  virtual bool isConfiguration(const RowKey &Key) const = 0;
  /// The failure domain that a row takes out of service.
  virtual std::optional<DomainName>
  evacuatedDomain(const RowKey &Key) const = 0;
};

/// A heartbeat's answer.
struct BeatReply {
  /// The target's state has been taken in.
  bool m_Accepted = false;
  /// None renews nothing.
  std::optional<std::vector<GrantSpan>> m_Grants;
  Duration m_Hold{0};
};

class Router {
public:
  Router(EventLoop &Loop, RouterSettings Settings, const ExchangeFormat &Format,
         const OperatorRows &Operators, TableService &Table,
         RouterMetrics &Metrics, EventLog &Log);
  ~Router();

  /// \returns false when an address can't be listened on.
  bool start();
  /// Stops in order: new requests are served while callers may not know yet,
  /// then refused; those under way end. Then stopped() is true.
  void beginStop();
  bool stopped();
  /// Ready to take requests of callers.
  bool ready() const;
  /// A heartbeat of the local target.
  BeatReply beat(const TargetBeat &Beat);
  /// The local target says that it leaves.
  void targetLeaves(const std::string &Id);

private:
  void rowChanged(const MirroredRow &Row);
  void configurationChanged(const MirroredRow &Row);
  void membersChanged();
  void keyMapChanged(const MirroredRow &Row);
  void announce();
  void ensureCoordinator();
  /// Applies a row that this daemon has written and tells it to all.
  void passOn(const MirroredRow &Row);
  LinkFrame makeReport(bool WithRates) const;
  void sendReports();
  void reported(const InstanceName &Peer, const LinkFrame &Report);
  void peerRequest(std::uint64_t Link, LinkFrame &Frame, std::string Body);
  void peerAnswer(std::uint64_t Link, std::uint64_t Stream,
                  const TargetJobResult &Result);
  LinkFrame rowsFor(const LinkFrame &Wanted) const;
  void takeRows(const LinkFrame &Rows);
  std::vector<KeyCandidate> keyCandidates() const;
  /// Of an owner that the key map names and nobody reports.
  TargetCondition conditionOfUnreported(const KeyOwner &Owner) const;
  SliceLoads keyLoads() const;
  /// Whether a peer is up and says that it reaches the platform's table.
  bool seesTable(const InstanceName &Peer) const;
  bool isKeyPlanner() const;
  /// Whether this daemon is one of the few that watch the own table.
  bool isWatcher() const;
  std::vector<TargetBoard::Candidate>
  candidates(const ServiceName &Service) const;
  const KeyMap *keyMap(const ServiceName &Service) const;

  /// What a peer last said of its target.
  struct PeerTarget {
    KeyOwner m_Owner;
    TargetCondition m_Condition = TargetCondition::Shaken;
    double m_Capacity = 1;
    /// It reaches the platform's table.
    bool m_SeesTable = false;
    SliceLoads m_Rates{};
  };
  /// A peer's request at the local gate.
  struct PeerJob {
    std::uint64_t m_Link;
    std::uint64_t m_Stream;
    auto operator<=>(const PeerJob &) const = default;
  };

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings m_Settings;
  const OperatorRows &m_Operators;
  TableService &m_Table;
  TargetBoard m_Board;
  TargetAgent m_Agent;
  PeerMesh m_Mesh;
  RowCatchUp m_CatchUp;
  TableFollower m_Follower;
  Entrance m_Entrance;
  HttpServer m_Callers;
  std::unique_ptr<KeyCoordinator> m_Coordinator;
  RouterMetrics &m_Metrics;

  std::shared_ptr<const RouteTable> m_Routes;
  std::vector<Member> m_Members;
  std::map<ServiceName, KeyMap> m_KeyMaps;
  std::map<InstanceName, PeerTarget> m_PeerTargets;
  std::map<PeerJob, TargetAgent::JobId> m_PeerJobs;
  EventLoop::TimerId m_ReportTimer;
  TimePoint m_LastReport;
  TimePoint m_LastRates;
  bool m_Announced = false;
  std::optional<TimePoint> m_StopBegan;
  /// While stopping: since when nothing has been under way.
  TimePoint m_IdleSince;
};

} // namespace balsamwheel
