// Keys of the local target: which it holds, and the grants and releases by
// which that changes, in the way in which the targets of its service are
// granted keys.
#pragma once

#include "event_log.h"
#include "exchange_format.h"

#include "balsamwheel/detail/keyspace/call_hold_ledger.h"
#include "balsamwheel/detail/routing/route_table.h"

#include "net/http_client.h"

#include <variant>

namespace balsamwheel {

struct TargetKeysOptions {
  CallHoldOptions m_Holds;
  /// Maximum time for the answer to a release, which the target sends when the
  /// work on the released keys has ended.
  Duration m_ReleaseTimeout = std::chrono::seconds(4);
  /// A connection to the target fails when sent data stays unacknowledged for
  /// this long.
  Duration m_TcpUserTimeout = std::chrono::seconds(1);
  /// Interval at which the state of grants is checked.
  Duration m_CheckInterval = std::chrono::milliseconds(250);
};

/// Functions that the keys of the target need from the router.
struct TargetKeysCallbacks {
  /// Key map of the target's service; null while it isn't known.
  std::function<const KeyMap *()> m_Map;
  /// Whether the map is known to be in force.
  std::function<bool(TimePoint)> m_MayGrant;
  /// The target holds further keys.
  std::function<void()> m_OnGranted;
  /// The target has released keys, or refused a fencing token.
  std::function<void()> m_OnReleased;
};

/// State of one incarnation of the target.
///
/// Invariants: a call is sent only in the event in which the ledger has decided
/// on it; a grant is sent only while a connection stays open that was opened
/// when a heartbeat of the incarnation arrived: nothing in a grant names the
/// incarnation, so the next one to listen at the address would take it.
class TargetKeys {
public:
  /// \param EarlierGrantsEnd until then the target may hold any keys, granted
  ///        by a previous daemon.
  TargetKeys(EventLoop &Loop, EventLog &Log, const ExchangeFormat &Format,
             const Endpoint &Target, KeyOwner Self, TargetKeysOptions Options,
             TimePoint EarlierGrantsEnd, TargetKeysCallbacks Callbacks);
  ~TargetKeys();

  /// Changes the way in which the target is granted keys. Whatever it holds
  /// then counts as held until its hold has run out.
  void setMode(GrantMode Mode);
  /// Processes the keys that a heartbeat reports.
  void report(const HoldReport &Report);
  /// Returns the grants for the answer to a heartbeat that arrived at
  /// \p Arrived; none if the target isn't granted keys that way.
  std::optional<std::vector<GrantSpan>> grants(const KeyMap &Map,
                                               TimePoint Arrived);
  /// Sends the calls that are due.
  void update();
  /// The target has refused a request although holds() was true for its key.
  void refuted(KeyIndex Key);

  bool holds(KeyIndex Key) const;
  /// The keys that the target certainly holds.
  std::vector<HeldSpan> held() const;
  /// Time from which on the target certainly holds no keys, unless it gets
  /// another grant.
  TimePoint heldUntil() const;
  /// The keys that the map takes away from the target and that it has released.
  std::vector<ReleasedSpan> completedReleases(const KeyMap &Map) const;
  /// The spans whose fencing tokens the target has refused as too low.
  std::vector<HeldSpan> refusedGrants() const;
  /// Number of spans that the target certainly holds.
  std::size_t spans() const { return held().size(); }

private:
  void tick();
  /// Opens the connection that shows that the incarnation is still there.
  void watchPresence();
  void send(const CallHoldLedger::StartedCall &Started);
  void callEnded(const CallHoldLedger::StartedCall &Started,
                 const HttpCallResult &Result);

  EventLoop &m_Loop;
  EventLog &m_Log;
  const ExchangeFormat &m_Format;
  KeyOwner m_Self;
  TargetKeysOptions m_Options;
  TargetKeysCallbacks m_Callbacks;
  std::variant<HoldLedger, CallHoldLedger> m_Ledger;
  /// Of grants under another grant mode, or by a previous daemon.
  TimePoint m_EarlierGrantsEnd;
  Endpoint m_Address;
  /// Carries nothing; ends when the incarnation does.
  Stream m_Presence;
  HttpClient m_Grants;
  HttpClient m_Releases;
  EventLoop::TimerId m_Timer;
};

} // namespace balsamwheel
