// The shards that this session owns: which are active, and their handover from
// and to other sessions.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/in_flight.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace balsamwheel {

/// Invariant: a shard is active only if the map names no former owner, or the
/// former owner has yielded the shard under the current epoch, or the former
/// owner's session has ended.
class Ownership {
public:
  explicit Ownership(CoordinationContext &Context) : m_Context(&Context) {}

  /// Compares the map with the held shards; activates shards, yields shards to
  /// new owners and requests yields from former owners.
  void update(TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const { return m_YieldRequestAt; }
  void onYield(const Yield &Message, TimePoint Now);
  void onYieldRequest(const YieldRequest &Message, const PeerAddress &From);
  void onKeyFinished(const KeyFinished &Message);
  void orderStarted(const ShardRef &Shard, KeyHash Key);
  void orderFinished(const ShardRef &Shard, KeyHash Key);
  /// Drops all held shards; called when the session was expelled.
  void reset();

  struct Check {
    Reason m_Reason = Reason::NotOwner;
    Epoch m_Epoch;
  };
  /// Whether an order for a key may be sent. Does not check the lease.
  Check check(const ShardRef &Shard, KeyHash Key) const;
  std::optional<TimePoint> activeSince(const ShardRef &Shard) const;
  /// The session that a shard was taken over from; 0 if there is none or it is
  /// no longer live.
  SessionId formerOwner(const ShardRef &Shard) const;
  /// Shards whose handover is complete although their map entry still names a
  /// live former owner.
  std::vector<std::pair<ShardRef, Epoch>> settled() const;
  bool hasOrders() const { return !m_InFlight.empty(); }
  /// Whether the map names this session as owner of any shard.
  bool ownsAny() const { return m_Owned != 0; }
  std::size_t ownedCount() const { return m_Owned; }
  /// Number of held shards that are not active yet.
  std::size_t pendingCount() const;
  /// Number of active shards with keys that still have orders running at the
  /// former owner.
  std::size_t resolvingCount() const;

private:
  struct HeldShard {
    Epoch m_Epoch;
    SessionId m_FormerOwner;
    bool m_Active = false;
    /// The handover is complete: the former owner has no running orders left
    /// for this shard.
    bool m_Resolved = false;
    TimePoint m_ActiveSince;
    /// Keys with orders still running at the former owner.
    std::unordered_set<KeyHash> m_WaitingKeys;
  };
  /// What a former owner's Yield message said about one shard.
  struct ReceivedYield {
    SessionId m_From;
    Epoch m_Epoch;
    std::vector<KeyHash> m_InFlight;
  };

  struct RowState {
    /// Version of the map row that was last processed.
    RowVersion m_Version;
    /// Number of shards in the row that this session owns.
    std::size_t m_Owned = 0;
  };

  void updateRow(const MapRow &Row, RowState &State, TimePoint Now);
  void acquire(const ShardRef &Shard, const ShardEntry &Entry, TimePoint Now);
  /// Activates a held shard if its former owner has ended or yielded it.
  void advanceHandover(const ShardRef &Shard, HeldShard &Held,
                       const ShardEntry &Entry, TimePoint Now);
  void activate(const ShardRef &Shard, HeldShard &Held, TimePoint Now);
  void applyYield(const ShardRef &Shard, HeldShard &Held,
                  const ReceivedYield &Received, TimePoint Now);
  /// \returns none while DrainThenSwitch must wait for running orders.
  std::optional<Yield::Item> makeYield(const ShardRef &Shard,
                                       const ShardEntry &Entry) const;
  void requestYields(TimePoint Now);

  CoordinationContext *m_Context;
  InFlightKeys m_InFlight;
  /// The owned shards, and shards handed over to another owner until the map no
  /// longer names this session as their former owner.
  std::unordered_map<ShardRef, HeldShard> m_Held;
  /// Yields that arrived before the map row that assigns the shard to this
  /// session.
  std::unordered_map<ShardRef, ReceivedYield> m_EarlyYields;
  /// By map row key.
  std::map<std::string, RowState> m_RowStates;
  std::size_t m_Owned = 0;
  TimePoint m_YieldRequestAt = Never;
};

} // namespace balsamwheel
