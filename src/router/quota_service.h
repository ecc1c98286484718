// The quotas of organisations as the router uses them: timers, frames, the
// shares row, metrics and log lines around QuotaMember, which decides.
//
// Nothing is sent, written or allocated unless the configuration limits an
// organisation.
#pragma once

#include "commit_backoff.h"
#include "event_log.h"
#include "router_metrics.h"
#include "table_service.h"

#include "balsamwheel/detail/quota/member.h"

#include "core/callback_guard.h"
#include "link/peer_link.h"

#include <memory>

namespace balsamwheel {

struct QuotaServiceOptions {
  QuotaMemberOptions m_Member;
  /// Interval at which keepers are chosen and the row is looked after.
  Duration m_UpdateInterval = std::chrono::milliseconds(250);
  /// Interval at which waiting requests are looked after.
  Duration m_WorkInterval = std::chrono::milliseconds(50);
  /// Delay before a check of the row in the table is repeated, and the greatest
  /// random one before the first.
  Duration m_CheckRetryDelay = std::chrono::seconds(1);
  Duration m_MaxFirstCheckDelay = std::chrono::milliseconds(200);
  /// Minimum interval between two log lines for the denials of one
  /// organisation.
  Duration m_DenialLogInterval = std::chrono::seconds(1);
  /// Interval at which the organisations with metrics of their own are chosen.
  Duration m_LabelInterval = std::chrono::seconds(10);
};

/// Functions of the router that the service calls.
struct QuotaCallbacks {
  /// Peers that are connected.
  std::function<std::vector<InstanceName>()> m_UpPeers;
  /// All instances that have a member row.
  std::function<std::set<InstanceName>()> m_Members;
  /// Sends a frame to a peer.
  std::function<void(const InstanceName &, LinkFrameKind,
                     const std::string &Body)>
      m_Send;
  /// Answers a frame of a peer.
  std::function<void(std::uint64_t Link, LinkFrameKind,
                     const std::string &Body)>
      m_Answer;
  /// Whether this daemon is the one that writes the shares row.
  std::function<bool()> m_IsWriter;
  /// The shares row as this daemon knows it; null without one.
  std::function<const MirroredRow *()> m_Row;
  /// Latest known era of the store; none while the own table hasn't been read
  /// in it.
  std::function<std::optional<StoreEra>()> m_ReadEra;
  /// Called for each row in a reply to a commit, and with its era.
  std::function<void(const MirroredRow &)> m_OnRow;
  std::function<void(StoreEra)> m_OnEra;
};

class QuotaService {
public:
  /// \p RetryAfter is meaningless if the token was granted.
  using OnDecision = std::function<void(QuotaVerdict, Duration RetryAfter)>;

  QuotaService(EventLoop &Loop, EventLog &Log, TableService &Table,
               RouterMetrics &Metrics, InstanceName Self,
               QuotaServiceOptions Options, QuotaCallbacks Callbacks);
  ~QuotaService();
  QuotaService(const QuotaService &) = delete;
  QuotaService &operator=(const QuotaService &) = delete;

  static RowKey sharesRow() { return RowKey("quota/shares"); }

  /// Applies the quotas of a configuration.
  void configure(const OrganisationDirectory &Organisations);
  /// Handles a change of the shares row.
  void rowChanged(const MirroredRow &Row);
  /// Handles the revision in a peer's report.
  void onReport(const InstanceName &Peer, SharesRevision Applied);
  /// The revision to report to peers; 0 without quotas.
  SharesRevision revision() const;
  /// Handles a lender's or asker's frame.
  void onQuestion(std::uint64_t Link, const InstanceName &From,
                  LinkFrameKind Kind, std::string_view Body);
  /// Handles a keeper's frame.
  void onAnswer(const InstanceName &From, LinkFrameKind Kind,
                std::string_view Body);
  /// A peer has been lost.
  void onPeerDown();
  /// Stops keeping, as the process is about to end.
  void end();

  bool isLimited(const OrganisationName &Name) const {
    return m_Quotas.contains(Name);
  }
  /// Asks for a token for a request of a limited organisation. \p Done is
  /// called once, not before this function has returned, unless the request is
  /// cancelled.
  /// \param Until when a token is of no use any more.
  QuotaTicket acquire(const OrganisationName &Name, TimePoint Until,
                      OnDecision Done);
  void cancel(QuotaTicket Ticket);
  /// Returns the token of a request that no target has run.
  void giveBack(const OrganisationName &Name, TimePoint GrantedAt);

private:
  struct Pending {
    OrganisationName m_Organisation;
    OnDecision m_Done;
  };

  void startMember();
  /// Grants all waiting requests, as there are no quotas any more.
  void stopMember();
  void update();
  /// Sends and decides what is due.
  void work();
  /// Calls work() after the present event.
  void postWork();
  void scheduleWork();
  void decide(const std::vector<QuotaDecision> &Decisions);
  /// Writes the shares row if that is due.
  void writeRow();
  /// Checks that the known row is in force if few of its daemons are reached.
  void checkRow();
  void commit(OwnRowCommit Commit, StoreEra Era);
  /// Version that a commit has to name in this era; 0 when there is no row.
  RowVersion rowVersion(StoreEra Era) const;
  void logKeepers();
  void logDenial(const InstanceName &Asker, const QuotaAsk &Ask,
                 const QuotaReply &Reply);

  EventLoop &m_Loop;
  EventLog &m_Log;
  TableService &m_Table;
  RouterMetrics &m_Metrics;
  InstanceName m_Self;
  QuotaServiceOptions m_Options;
  QuotaCallbacks m_Callbacks;
  CommitBackoff m_Backoff;
  std::map<OrganisationName, Quota> m_Quotas;
  /// Null without quotas.
  std::unique_ptr<QuotaMember> m_Member;
  std::map<QuotaTicket, Pending> m_Pending;
  std::array<InstanceName, QuotaGroupCount> m_LoggedKeepers;
  std::map<OrganisationName, TimePoint> m_DenialLoggedAt;
  EventLoop::TimerId m_UpdateTimer;
  EventLoop::TimerId m_WorkTimer;
  bool m_WorkScheduled = false;
  bool m_WorkPosted = false;
  bool m_Committing = false;
  bool m_Ended = false;
  TimePoint m_NextCheck;
  TimePoint m_NextLabels;
  /// Of the callbacks of commits and posted tasks.
  CallbackGuard m_Guard;
};

} // namespace balsamwheel
