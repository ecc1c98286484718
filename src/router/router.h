// Main object of the daemon of one instance: connects the entrance, the target
// agent, the key coordinator, the tables and the peers on one event loop. Part
// of balsamwheel-sidecar; the stand-alone daemon balsamwheeld is src/daemon.
#pragma once

#include "entrance.h"
#include "key_coordinator.h"
#include "quota_service.h"
#include "row_catch_up.h"
#include "table_follower.h"
#include "unreported_owner.h"

#include "balsamwheel/detail/load/answer_room.h"

namespace balsamwheel {

/// Decodes rows that operators write; implemented by an adapter.
class OperatorRows {
public:
  virtual ~OperatorRows() = default;
  /// Decodes the configuration; null when it is invalid.
  /// \param Problem set to the reason why the row was rejected.
  virtual std::shared_ptr<const RouteTable>
  configuration(const MirroredRow &Row, std::string &Problem) const = 0;
  /// Whether the row holds the configuration, valid or not.
  virtual bool isConfiguration(const RowKey &Key) const = 0;
  /// The failure domain that the row takes out of service; none for other rows.
  virtual std::optional<DomainName>
  evacuatedDomain(const RowKey &Key) const = 0;
};

/// Reply to a heartbeat.
struct HeartbeatReply {
  /// False for a late heartbeat or one of an earlier incarnation.
  bool m_Accepted = false;
  /// Keys that the target may serve; none leaves its grants unchanged.
  std::optional<std::vector<GrantSpan>> m_Grants;
  Duration m_Hold{0};
};

class Router {
public:
  Router(EventLoop &Loop, RouterSettings Settings, const ExchangeFormat &Format,
         const OperatorRows &Operators, TableService &Table,
         RouterMetrics &Metrics, EventLog &Log);
  ~Router();

  /// \returns false when listening on an address fails.
  bool start();
  /// Starts an orderly stop: new requests are still served while callers may
  /// not have noticed, then refused; running requests are completed. All are
  /// answered before the grace period ends. After that stopped() is true.
  void beginStop();
  /// Continues the stop; to be called repeatedly.
  /// \returns whether the process can exit.
  bool stopped();
  /// Whether requests of callers can be accepted.
  bool ready() const;
  /// Bytes reserved for the bodies of requests.
  std::size_t reservedForBodies() const { return m_BodyRoom.reserved(); }
  /// Handles a heartbeat of the local target.
  HeartbeatReply onHeartbeat(const TargetHeartbeat &Heartbeat);
  /// Handles the deregistration of the local target.
  void onDeregister(const TargetId &Id);

private:
  void rowChanged(const MirroredRow &Row);
  void configurationChanged(const MirroredRow &Row);
  /// Applies an operators' row that a peer has sent although the mirror has a
  /// newer one: after a rollback, the store's configuration may be older.
  void applyPeerRow(const MirroredRow &Row);
  void membersChanged();
  void keyMapChanged(const MirroredRow &Row);
  /// Sends the grants and releases that are due.
  void updateGrants();
  /// Writes this daemon's member row until the table contains it.
  void writeMemberRow();
  void commitMemberRow(OwnRowCommit Commit);
  /// A table has been read for the first time in an era of the store.
  void onFirstRead(TableName Table, StoreEra Era);
  /// Writes the member rows that the store has lost and whose daemons haven't
  /// written them again, e.g. because they can't reach it.
  void restoreMemberRows();
  /// Creates or removes the key coordinator as the configuration requires.
  void ensureCoordinator();
  /// Applies a row that this daemon has written and sends it to all peers.
  void publishRow(const MirroredRow &Row);
  RowsSeen rowsSeen() const;
  /// Like rowsSeen(), with the changes that a read of the operators' table has
  /// left out because they removed rows.
  RowsSeen rowsKnown() const;
  LinkFrame makeReport(bool WithRates) const;
  /// What reports tell besides the gate's state, the rows and their age.
  struct SlowState {
    std::optional<KeyOwner> m_Owner;
    TargetCondition m_Condition = TargetCondition::NoNewKeys;
    std::optional<double> m_NamedLimit;
    bool m_ReachesTable = false;
    SharesRevision m_SharesRevision;

    bool operator==(const SlowState &) const = default;
  };
  SlowState slowState() const;
  /// Whether peers have to know at once what has changed.
  bool hasUrgentReport() const;
  /// Calls sendReports() now or when its interval has passed.
  void sendDueReports();
  /// Sends the reports that are due to each peer.
  void sendReports();
  /// Notes what has changed since the last call.
  ReportContent reportContent();
  /// Those that plan the keys of this daemon's service, or may have to soon.
  std::set<InstanceName> planners() const;
  void handleReport(const InstanceName &Peer, const LinkFrame &Report);
  void handleBeat(const InstanceName &Peer, const LinkBeat &Beat);
  void cancelPeerJob(TargetAgent::JobId Job);
  void handlePeerRequest(std::uint64_t Link, LinkFrame &Frame, HttpBody Body);
  HttpServerOptions callerOptions();
  void sendPeerAnswer(std::uint64_t Link, std::uint64_t Stream,
                      const TargetJobResult &Result);
  LinkFrame rowsFor(const LinkFrame &Wanted) const;
  void applyRows(const LinkFrame &Rows);
  /// Applies the row of a key map that this daemon has committed, and sends the
  /// changes to all peers.
  void publishKeyMap(const MirroredRow &Row);
  void handleMapChanges(const InstanceName &Peer, const LinkFrame &Frame);
  std::vector<KeyCandidate> keyCandidates();
  /// Owners that the key map names but no daemon reports: either their daemon
  /// or target has just restarted, or they are lost.
  /// \param Reported the targets that are reported.
  std::vector<KeyOwner>
  unreportedOwners(const std::vector<KeyCandidate> &Reported) const;
  /// The target on the instance of an unreported owner; none if its daemon
  /// isn't reachable, has none, or serves another service.
  std::optional<TargetIncarnation> replacementOf(const KeyOwner &Owner) const;
  TargetCondition conditionOfUnreported(const KeyOwner &Owner) const;
  /// Logs the conditions of unreported owners that are new or have changed.
  void logUnreported(const std::vector<KeyCandidate> &Unreported);
  SliceLoads keyLoads() const;
  /// Whether a peer is up and reports that it can reach the platform's table.
  bool reachesTable(const InstanceName &Peer) const;
  bool isKeyPlanner() const;
  QuotaCallbacks quotaCallbacks();
  /// Whether this daemon writes the shares of the quotas.
  bool isSharesWriter() const;
  /// Whether this daemon is one of the few that watch the daemons' own
  /// table.
  bool isWatcher() const;
  /// Number of daemons before this one, in the order of their names, that can
  /// reach the table; only those for which \p Counts returns true.
  template <typename Predicate>
  std::ptrdiff_t precedingWatchers(Predicate Counts) const;
  /// How this daemon learns of the changes of the operators' table.
  FollowMode operatorsMode() const;
  void updateFollowModes();
  /// Tells the failure domain that a watch of the operators' table has ended.
  void sendTableFresh();
  void handleTableFresh(const InstanceName &Peer, const LinkFrame &Frame);
  /// Requests the rows that a peer knows and this daemon lacks.
  void requestMissingRows(const InstanceName &Peer, const RowsSeen &PeerSeen);
  bool hasLargeConfiguration() const;
  /// Reads the operators' table when peers have known newer rows for too long:
  /// a watch or a peer may have failed without a sign.
  void readNewerInTime();
  /// Likewise, of any peer.
  void requestMissingRows();
  /// Requests the rows that have changed after the given versions.
  void requestRows(const InstanceName &Peer, const RowsSeen &After);
  std::vector<InstanceName> mapCheckers() const;
  /// Records a crash of the target of \p Instance.
  void recordCrash(const std::vector<CrashedRun> &Runs,
                   const InstanceName &Instance);
  void onTargetCrashed(const std::vector<CrashedRun> &Runs);
  void onSuspectCompleted(RequestDigest Digest);
  void sendRefusedRequests(std::uint64_t Link);
  void handleSuspects(const InstanceName &Peer, const LinkFrame &Frame);
  void answerMapQuestion(const MapCheckQuestion &Question,
                         std::optional<StoreVersion> Checked);
  std::vector<TargetSelector::Candidate>
  candidates(const ServiceName &Service) const;
  std::optional<TargetIncarnation>
  reportedTarget(const InstanceName &Name) const;
  /// Bytes of answers that aren't sent yet, to callers and peers.
  std::size_t heldAnswerBytes() const {
    return m_Callers.pendingBytes() + m_Mesh.pendingAnswerBytes();
  }
  const KeyMap *keyMap(const ServiceName &Service) const;
  /// When the last requests are answered; only during a stop.
  TimePoint answerLimit() const;

  /// State of a peer's target, as last reported by the peer.
  struct PeerTarget {
    KeyOwner m_Owner;
    TargetCondition m_Condition = TargetCondition::NoNewKeys;
    double m_Capacity = 1;
    /// In requests per second; none while the target names no limit.
    std::optional<double> m_NamedLimit;
    /// The peer can reach the platform's table.
    bool m_ReachesTable = false;
    /// A beat tells only what has changed.
    RowsSeen m_RowsSeen;
    /// As the last full report said.
    SharesRevision m_SharesRevision;
    /// Request rates of the slices whose rate isn't negligible; only if this
    /// daemon plans, or may have to soon.
    std::vector<std::pair<std::uint16_t, float>> m_Rates;
  };
  /// A peer's request at the local gate.
  struct PeerJob {
    std::uint64_t m_Link;
    std::uint64_t m_Stream;
    auto operator<=>(const PeerJob &) const = default;
  };

  EventLoop &m_Loop;
  EventLog &m_Log;
  const ExchangeFormat &m_Format;
  const RouterSettings m_Settings;
  const OperatorRows &m_Operators;
  TableService &m_Table;
  TargetSelector m_Selector;
  CrashSuspects m_Suspects;
  /// For the answers that are being received from the target.
  BodyRoom m_AnswerBodyRoom;
  TargetAgent m_Agent;
  /// Outlives what holds reservations in it.
  BodyRoom m_BodyRoom;
  PeerMesh m_Mesh;
  RowCatchUp m_RowCatchUp;
  TableFollower m_Follower;
  QuotaService m_Quota;
  Entrance m_Entrance;
  HttpServer m_Callers;
  AnswerRoom m_AnswerRoom;
  std::unique_ptr<KeyCoordinator> m_Coordinator;
  RouterMetrics &m_Metrics;

  std::shared_ptr<const RouteTable> m_Routes;
  /// Row that m_Routes was decoded from.
  MirroredRow m_RoutesRow;
  std::vector<Member> m_Members;
  struct KnownKeyMap {
    /// Era of the map, from the key of its row.
    StoreEra m_Era;
    /// Of the row; of a later era than the map if it is a copy.
    StoreVersion m_RowVersion;
    KeyMap m_Map;
  };
  std::map<ServiceName, KnownKeyMap> m_KeyMaps;
  std::map<InstanceName, PeerTarget> m_PeerTargets;
  ReplacedOwners m_ReplacedOwners;
  /// Of the unreported owners, as last logged.
  std::map<KeyOwner, TargetCondition> m_LoggedConditions;
  std::map<PeerJob, TargetAgent::JobId> m_PeerJobs;
  EventLoop::TimerId m_ReportTimer;
  EventLoop::TimerId m_MemberRowTimer;
  EventLoop::TimerId m_FollowTimer;
  /// Until then a peer's watch of the operators' table counts as current.
  TimePoint m_OperatorsFreshUntil;
  TimePoint m_LastReport;
  TimePoint m_LastRatesReport;
  /// As of the last call of reportContent().
  struct Told {
    ReportedState m_State;
    SlowState m_Slow;
    RowsSeen m_Rows;
    std::int64_t m_AgeTime = 0;
  };
  Told m_Told;
  /// See readNewerInTime().
  bool m_ReadNewerScheduled = false;
  /// Peer whose rows were requested last.
  InstanceName m_LastAsked;
  bool m_Announced = false;
  std::optional<TimePoint> m_StopStartedAt;
  /// While stopping: since when no request has been in progress.
  TimePoint m_IdleSince;
};

} // namespace balsamwheel
