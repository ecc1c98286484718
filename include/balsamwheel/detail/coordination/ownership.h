// The shards of this session: which are active, and how they change hands.
#pragma once

#include "balsamwheel/detail/coordination/context.h"
#include "balsamwheel/detail/coordination/in_flight.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace balsamwheel {

/// Invariant: a shard is active only when no former owner is named, or the
/// former owner has yielded it under the current epoch, or is gone.
class Ownership {
public:
  explicit Ownership(CoordinationContext &Context) : m_Context(&Context) {}

  /// Compares the map with what is held; activates, yields and asks.
  void update(TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const { return m_AskAt; }
  void onYield(const Yield &Message, TimePoint Now);
  void onYieldRequest(const YieldRequest &Message, const PeerAddress &From);
  void onKeyFinished(const KeyFinished &Message);
  void orderStarted(const ShardRef &Shard, KeyHash Key);
  void orderFinished(const ShardRef &Shard, KeyHash Key);
  /// The session was expelled: nothing is held any more.
  void reset();

  struct Check {
    Reason m_Reason = Reason::NotOwner;
    Epoch m_Epoch;
  };
  /// Whether an order for a key may be sent, the lease aside.
  Check check(const ShardRef &Shard, KeyHash Key) const;
  std::optional<TimePoint> activeSince(const ShardRef &Shard) const;
  /// The live session a shard was taken from, 0 if none.
  SessionId formerOwner(const ShardRef &Shard) const;
  /// Shards taken over completely whose entry still names a former owner.
  std::vector<std::pair<ShardRef, Epoch>> settled() const;
  bool hasOrders() const { return !m_InFlight.empty(); }
  /// The map names this session as an owner.
  bool ownsAny() const { return m_Owned != 0; }
  std::size_t owned() const { return m_Owned; }
  /// Shards that are not active yet.
  std::size_t pending() const;
  /// Active shards with keys that wait for the former owner.
  std::size_t waiting() const;

private:
  struct Held {
    Epoch m_Epoch;
    SessionId m_Former;
    bool m_Active = false;
    /// The former owner's part is over.
    bool m_Resolved = false;
    TimePoint m_ActiveSince;
    /// Keys with orders still running at the former owner.
    std::unordered_set<KeyHash> m_Waiting;
  };
  struct EarlyYield {
    SessionId m_From;
    Epoch m_Epoch;
    std::vector<KeyHash> m_InFlight;
  };

  struct RowCount {
    /// Version of the map row that was taken in.
    RowVersion m_Version;
    std::size_t m_Owned = 0;
  };

  void updateRow(const MapRow &Row, RowCount &Seen, TimePoint Now);
  void take(const ShardRef &Shard, const ShardEntry &Entry, TimePoint Now);
  void refresh(const ShardRef &Shard, Held &Value, const ShardEntry &Entry,
               TimePoint Now);
  void activate(const ShardRef &Shard, Held &Value, TimePoint Now);
  void applyYield(const ShardRef &Shard, Held &Value, const EarlyYield &From,
                  TimePoint Now);
  std::optional<Yield::Item> makeYield(const ShardRef &Shard,
                                       const ShardEntry &Entry) const;
  void askFormers(TimePoint Now);

  CoordinationContext *m_Context;
  InFlightKeys m_InFlight;
  /// Also shards that were given away, until the new owner has them.
  std::unordered_map<ShardRef, Held> m_Held;
  std::unordered_map<ShardRef, EarlyYield> m_Early;
  std::map<std::string, RowCount> m_Rows;
  std::size_t m_Owned = 0;
  TimePoint m_AskAt = Never;
};

} // namespace balsamwheel
