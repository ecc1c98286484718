// Takes part in assigning the keys of the local target's service to owners:
// maintains the authority to grant keys, reports released keys, and plans the
// assignment while this daemon is the planner.
//
// Safety rests on conditional commits of one row: whichever daemon plans, a
// change takes effect only if the row still has the version that the change was
// made from. A daemon grants keys only while a commit or check that it started
// less than the authority duration ago has found the row unchanged, so a
// revocation is binding for it once that time has passed.
//
// A commit without an answer may take effect late, also one that an earlier run
// of this daemon has sent. A version in which a target may be granted a key is
// therefore never followed by one in which the key is free, unless the target
// has released it: the key is revoked first. In that version nobody grants it,
// so what its owner's daemon finds out about its hold can't change any more.
//
// When the store has returned to an earlier copy, the planner restores the
// latest known map in the row of the new era. It may lack changes that were in
// force, so it gives no authority over any key until the daemon of the owner
// has confirmed that its target has held the key all the while, or until all
// holds of the earlier era have ended.
#pragma once

#include "commit_backoff.h"
#include "event_log.h"
#include "map_check_sharing.h"
#include "router_settings.h"
#include "table_service.h"
#include "target_agent.h"

#include "core/callback_guard.h"

#include "balsamwheel/detail/keyspace/key_planner.h"

namespace balsamwheel {

/// Identifies the row that holds the key map of a service in one era of the
/// store, in the daemons' own table.
///
/// Each era has a row of its own: the condition of a commit that was made from
/// a map of an earlier era can't be met by a version that was given out again.
struct KeyMapRowId {
  ServiceName m_Service;
  StoreEra m_Era;
};

RowKey keyMapRow(const KeyMapRowId &Id);
/// \returns none when the row doesn't hold a key map.
std::optional<KeyMapRowId> parseKeyMapRow(const RowKey &Key);

struct KeyCoordinatorOptions {
  /// How long after the start of a successful check of the map keys may be
  /// granted.
  Duration m_AuthorityDuration = std::chrono::seconds(3);
  /// Interval between two checks of the map.
  Duration m_CheckInterval = std::chrono::milliseconds(1500);
  /// Delay before a failed commit or check is repeated.
  Duration m_CheckRetryDelay = std::chrono::milliseconds(300);
  /// Interval at which update() is called.
  Duration m_PlanInterval = std::chrono::milliseconds(500);
  /// Time after the creation of the coordinator in which it doesn't plan, so
  /// that the daemon learns of the other targets first.
  Duration m_StartupDelay = std::chrono::seconds(2);
  /// Delay before the keys that the target has held all the while are confirmed
  /// in a restored map; differs between daemons, so that their commits don't
  /// conflict.
  Duration m_ConfirmDelay{0};
  /// The whole system has started for the first time: without a map, nobody
  /// holds keys.
  bool m_SystemStart = true;
  KeyPlannerOptions m_Planner;
  /// Of random delays; differs between daemons.
  std::uint64_t m_Seed = 0;
  MapCheckSharingOptions m_Sharing;
  /// Maximum interval between the answer to a shared check and the next
  /// question. Daemons that were answered together then ask together again.
  Duration m_SharedCheckInterval = std::chrono::milliseconds(1200);
  /// Delay before a check for peers is repeated after a conflict.
  Duration m_ConflictRetryDelay = std::chrono::milliseconds(50);
};

/// Functions of the router that the coordinator calls.
struct KeyCoordinatorCallbacks {
  /// All known targets of the service.
  std::function<std::vector<KeyCandidate>()> m_Candidates;
  /// Requests per second for each slice of keys, over all targets.
  std::function<SliceLoads()> m_Loads;
  /// Whether this daemon is the planner.
  std::function<bool()> m_IsPlanner;
  /// Called for each row in a reply to a commit.
  std::function<void(const MirroredRow &)> m_OnRow;
  /// Called with the era of each reply.
  std::function<void(StoreEra)> m_OnEra;
  /// The authority to grant keys has been extended.
  std::function<void()> m_OnAuthority;
  /// Daemons of the service that can reach the table, up to this one.
  std::function<std::vector<InstanceName>()> m_Checkers;
  /// Asks a peer for a check.
  /// \returns false if the peer isn't up.
  std::function<bool(const InstanceName &, std::uint64_t Stream)> m_Ask;
  /// Answers a question of a peer; \p Checked is none if no check succeeded.
  std::function<void(const MapCheckQuestion &,
                     std::optional<StoreVersion> Checked)>
      m_Answer;
  /// A commit or check has failed.
  std::function<void()> m_OnFailure;
};

class KeyCoordinator {
public:
  KeyCoordinator(EventLoop &Loop, EventLog &Log, TableService &Table,
                 TargetAgent &Agent, ServiceName Service,
                 KeyCoordinatorOptions Options,
                 KeyCoordinatorCallbacks Callbacks);
  ~KeyCoordinator();

  /// Reports the latest known map.
  /// \param MapEra era of the row that holds it.
  /// \param Map none when the row doesn't exist.
  /// \param Version the row's; of a later era than \p MapEra if the row is only
  ///        a copy from before a rollback.
  void mapChanged(StoreEra MapEra, std::optional<KeyMap> Map,
                  StoreVersion Version);
  /// Reports that the table has been read in an era: if it contains no map of
  /// this era, one may be created.
  void onTableRead(StoreEra Era);
  /// Commits or checks the map if that is due. Called periodically and after
  /// each heartbeat.
  void update();
  /// Whether keys may be granted at \p Now.
  bool mayGrant(TimePoint Now) const {
    return m_Map && Now < m_AuthorityUntil && !awaitsConfirmation();
  }
  /// Handles a question of a peer, which is answered by a callback.
  void onQuestion(std::uint64_t Link, std::uint64_t Stream);
  /// Handles a peer's answer.
  /// \param Checked the row's version that a check has found; none if it
  ///        failed.
  void onAnswer(std::uint64_t Stream, std::optional<StoreVersion> Checked);
  const KeyMap *map() const { return m_Map ? &*m_Map : nullptr; }
  std::uint64_t commits() const { return m_Commits; }

private:
  /// Whether the target holds keys that the map doesn't confirm yet: a grant
  /// without them would make it release them.
  bool awaitsConfirmation() const;
  /// First map of the era; none while this daemon isn't to create it.
  std::optional<KeyMap> firstMap() const;
  /// The map with all changes that this daemon has to make.
  KeyMap desired() const;
  /// Commits \p Value to the row of an era; none only checks that the row is
  /// unchanged.
  void commit(StoreEra Era, RowVersion Expected,
              std::optional<std::string> Value);
  void onCommitReply(const TableServiceReply &Reply, StoreEra Era,
                     TimePoint StartedAt, bool HadWrite);
  /// Checks the map, or asks a peer to do it.
  void check();
  /// Ends the question in progress without success.
  void questionFailed();
  void extendAuthority(TimePoint StartedAt);
  /// Calls update() when a check for the collected questions is due, but not
  /// before \p MinDelay.
  void scheduleCollected(Duration MinDelay);
  void tick();

  EventLoop &m_Loop;
  EventLog &m_Log;
  TableService &m_Table;
  TargetAgent &m_Agent;
  ServiceName m_Service;
  KeyCoordinatorOptions m_Options;
  KeyCoordinatorCallbacks m_Callbacks;
  KeyPlanner m_Planner;
  TimePoint m_StartedAt;
  std::optional<KeyMap> m_Map;
  StoreEra m_MapEra;
  RowVersion m_Version;
  /// A map of an earlier era that is newer than m_Map but was never in force in
  /// its own era, as far as this daemon knows.
  std::optional<KeyMap> m_Earlier;
  TimePoint m_AuthorityUntil;
  TimePoint m_NextCheck;
  /// Eras in which the table has been read: the first one, and the latest.
  std::optional<StoreEra> m_FirstReadEra;
  std::optional<StoreEra> m_ReadEra;
  TimePoint m_ConfirmAt;
  struct Question {
    InstanceName m_Peer;
    std::uint64_t m_Stream = 0;
    TimePoint m_AskedAt;
  };
  MapCheckAsker m_Asker;
  MapCheckCollector m_Collector;
  CommitBackoff m_Backoff;
  /// The question to a peer in progress.
  std::optional<Question> m_Question;
  std::uint64_t m_LastQuestion = 0;
  EventLoop::TimerId m_QuestionTimer;
  EventLoop::TimerId m_CollectTimer;
  bool m_Committing = false;
  std::uint64_t m_Commits = 0;
  EventLoop::TimerId m_Timer;
  EventLoop::TimerId m_ConfirmTimer;
  /// Of the callbacks of commits and posted tasks: the coordinator ends with
  /// its service, at any time.
  CallbackGuard m_Guard;
};

} // namespace balsamwheel
