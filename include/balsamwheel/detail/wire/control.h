// Control messages between daemons: membership, leases, the map, handover.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsamwheel {

/// A member's sign of life, sent to the leader of its group. It is also the
/// request to be admitted when the session is not yet in the group's row.
struct Heartbeat {
  std::uint32_t m_Group = 0;
  SessionId m_Session;
  /// Grows by one with each heartbeat of the session.
  std::uint64_t m_Sequence = 0;
  ConfigVersion m_ConfigApplied;
  std::uint64_t m_MapSeen = 0;
  /// JSON of the member's own entry in the row; only when it changed.
  std::string m_Entry;

  bool operator==(const Heartbeat &) const = default;
};

/// Tells a member which of its heartbeats stands in the table.
struct HeartbeatAck {
  std::uint32_t m_Group = 0;
  SessionId m_Session;
  std::uint64_t m_SequenceCommitted = 0;
  RowVersion m_GroupRow;
  /// Version of the head row that the leader read last.
  RowVersion m_Head;
  bool m_Expelled = false;
  /// When the leader wants the next heartbeat, so that those of the whole
  /// group share one write; 0 leaves it to the member.
  Duration m_NextBeatIn{0};

  bool operator==(const HeartbeatAck &) const = default;
};

/// Asks a witness for a short extension while the table cannot be reached.
struct ExtendRequest {
  SessionId m_Session;
  std::uint64_t m_Sequence = 0;
  /// The last sequence that the session knows to stand in the table.
  std::uint64_t m_SequenceCommitted = 0;
  std::uint32_t m_Group = 0;
  RowVersion m_GroupRow;
  ConfigVersion m_ConfigApplied;
  std::uint64_t m_MapSeen = 0;

  bool operator==(const ExtendRequest &) const = default;
};

struct ExtendReply {
  SessionId m_Session;
  SessionId m_Witness;
  std::uint64_t m_Sequence = 0;
  bool m_Granted = false;

  bool operator==(const ExtendReply &) const = default;
};

/// Asks a witness to extend \c m_Subject no more while no sequence above
/// \c m_Sequence of it stands in the table.
struct PromiseRequest {
  SessionId m_Subject;
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Group = 0;
  RowVersion m_GroupRow;

  bool operator==(const PromiseRequest &) const = default;
};

/// A promise. \c m_Promised is true once no extension by the witness is
/// outstanding; until then the witness only grants no further one.
struct PromiseReply {
  SessionId m_Subject;
  SessionId m_Witness;
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Group = 0;
  RowVersion m_GroupRow;
  bool m_Promised = false;

  bool operator==(const PromiseReply &) const = default;
};

/// Asks for the rows that changed since a version of the head row.
struct ChangesRequest {
  RowVersion m_Head;

  bool operator==(const ChangesRequest &) const = default;
};

/// Rows of the table as some daemon read them. Idempotent: a receiver keeps
/// the higher version of each.
struct Changes {
  RowVersion m_Head;
  std::vector<Row> m_Rows;

  bool operator==(const Changes &) const = default;
};

/// The former owner stopped admitting requests for these shards.
struct Yield {
  struct Item {
    ShardRef m_Shard;
    /// Epoch of the new assignment.
    Epoch m_Epoch;
    /// Keys with orders still running at the former owner.
    std::vector<KeyHash> m_InFlight;

    bool operator==(const Item &) const = default;
  };
  SessionId m_From;
  SessionId m_To;
  std::vector<Item> m_Items;

  bool operator==(const Yield &) const = default;
};

/// The new owner asks again, or confirms what it received.
struct YieldRequest {
  SessionId m_From;
  std::vector<ShardRef> m_Shards;

  bool operator==(const YieldRequest &) const = default;
};

struct YieldAck {
  SessionId m_From;
  std::vector<ShardRef> m_Shards;

  bool operator==(const YieldAck &) const = default;
};

/// The former owner finished its last order for a key it had listed.
struct KeyFinished {
  SessionId m_From;
  ShardRef m_Shard;
  Epoch m_Epoch;
  KeyHash m_Key;

  bool operator==(const KeyFinished &) const = default;
};

/// Owners tell the planner what they settled and what load they carry.
struct OwnerReport {
  struct Load {
    ShardRef m_Shard;
    /// Requests a second, smoothed.
    double m_Rate = 0;

    bool operator==(const Load &) const = default;
  };
  SessionId m_From;
  /// Shards taken over completely: the former owner has no part left.
  std::vector<std::pair<ShardRef, Epoch>> m_Settled;
  /// The shards with the most load.
  std::vector<Load> m_Hottest;
  /// Requests a second over all shards.
  double m_TotalRate = 0;

  bool operator==(const OwnerReport &) const = default;
};

using ControlMessage =
    std::variant<Heartbeat, HeartbeatAck, ExtendRequest, ExtendReply,
                 PromiseRequest, PromiseReply, ChangesRequest, Changes, Yield,
                 YieldRequest, YieldAck, KeyFinished, OwnerReport>;

} // namespace balsamwheel
