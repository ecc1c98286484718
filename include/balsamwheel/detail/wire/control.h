// Control messages between daemons: membership, leases, shard map, handover.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsamwheel {

/// Heartbeat of a member to the leader of its group. It also requests admission
/// if the session is not yet in the group's row.
struct Heartbeat {
  std::uint32_t m_Group = 0;
  SessionId m_Session;
  /// Increases by one with each heartbeat of the session.
  std::uint64_t m_Sequence = 0;
  ConfigVersion m_ConfigApplied;
  /// Version of the head row at which the sender's view was last complete.
  std::uint64_t m_HeadVersionSeen = 0;
  /// JSON of the member's own entry in the group row; empty if unchanged.
  std::string m_Entry;

  bool operator==(const Heartbeat &) const = default;
};

/// Reports the last heartbeat of a member that is committed to the table.
struct HeartbeatAck {
  std::uint32_t m_Group = 0;
  SessionId m_Session;
  std::uint64_t m_SequenceCommitted = 0;
  /// Version of the group's row as known to the leader.
  RowVersion m_GroupRowVersion;
  /// Version of the head row at which the leader's view was last complete.
  RowVersion m_Head;
  /// The session was expelled or not admitted, and must join as a new session.
  bool m_Expelled = false;
  /// Delay until the next heartbeat as requested by the leader, which aligns
  /// the heartbeats of the whole group so that they share one write; 0 leaves
  /// the time to the member.
  Duration m_NextHeartbeatIn{0};

  bool operator==(const HeartbeatAck &) const = default;
};

/// Asks a witness for a short lease extension while the table is unreachable.
struct ExtendRequest {
  SessionId m_Session;
  std::uint64_t m_Sequence = 0;
  /// The last sequence that the session knows to be committed.
  std::uint64_t m_SequenceCommitted = 0;
  std::uint32_t m_Group = 0;
  RowVersion m_GroupRowVersion;
  ConfigVersion m_ConfigApplied;
  /// Version of the head row at which the sender's view was last complete.
  std::uint64_t m_HeadVersionSeen = 0;

  bool operator==(const ExtendRequest &) const = default;
};

struct ExtendReply {
  SessionId m_Session;
  SessionId m_Witness;
  std::uint64_t m_Sequence = 0;
  bool m_Granted = false;

  bool operator==(const ExtendReply &) const = default;
};

/// Asks a witness to grant no further lease extensions to \c m_Subject until a
/// sequence of it above \c m_Sequence is committed to the table.
struct PromiseRequest {
  SessionId m_Subject;
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Group = 0;
  RowVersion m_GroupRowVersion;

  bool operator==(const PromiseRequest &) const = default;
};

/// Answers a PromiseRequest. The witness grants no further extension from now
/// on; \c m_Promised is true once its earlier extensions have expired too.
struct PromiseReply {
  SessionId m_Subject;
  SessionId m_Witness;
  std::uint64_t m_Sequence = 0;
  std::uint32_t m_Group = 0;
  RowVersion m_GroupRowVersion;
  bool m_Promised = false;

  bool operator==(const PromiseReply &) const = default;
};

/// Requests the rows that changed after a version of the head row.
struct ChangesRequest {
  RowVersion m_Head;

  bool operator==(const ChangesRequest &) const = default;
};

/// Rows of the table as read by some daemon. Idempotent: a receiver keeps the
/// higher version of each row.
struct Changes {
  /// Version of the head row at which the sender's view was last complete.
  RowVersion m_Head;
  std::vector<Row> m_Rows;

  bool operator==(const Changes &) const = default;
};

/// Sent by the former owner once it has stopped admitting requests for these
/// shards.
struct Yield {
  struct Item {
    ShardRef m_Shard;
    /// Epoch of the new assignment.
    Epoch m_Epoch;
    /// Keys that still have running orders at the former owner.
    std::vector<KeyHash> m_InFlight;

    bool operator==(const Item &) const = default;
  };
  SessionId m_From;
  SessionId m_To;
  std::vector<Item> m_Items;

  bool operator==(const Yield &) const = default;
};

/// Sent by a new owner that still waits for the Yield of these shards.
struct YieldRequest {
  SessionId m_From;
  std::vector<ShardRef> m_Shards;

  bool operator==(const YieldRequest &) const = default;
};

/// Confirms receipt of the Yield of these shards. Not sent by this version and
/// ignored on receipt.
struct YieldAck {
  SessionId m_From;
  std::vector<ShardRef> m_Shards;

  bool operator==(const YieldAck &) const = default;
};

/// Sent by the former owner when its last order has ended for a key listed in
/// Yield::Item::m_InFlight.
struct KeyFinished {
  SessionId m_From;
  ShardRef m_Shard;
  Epoch m_Epoch;
  KeyHash m_Key;

  bool operator==(const KeyFinished &) const = default;
};

/// An owner's report to the planner, either about completed handovers
/// (m_Settled is not empty) or about its load.
struct OwnerReport {
  struct Load {
    ShardRef m_Shard;
    /// Requests per second, smoothed.
    double m_Rate = 0;

    bool operator==(const Load &) const = default;
  };
  SessionId m_From;
  /// Shards whose handover is complete: no order of the former owner is left.
  std::vector<std::pair<ShardRef, Epoch>> m_Settled;
  /// The shards with the highest load.
  std::vector<Load> m_Hottest;
  /// Requests per second over all shards.
  double m_TotalRate = 0;

  bool operator==(const OwnerReport &) const = default;
};

using ControlMessage =
    std::variant<Heartbeat, HeartbeatAck, ExtendRequest, ExtendReply,
                 PromiseRequest, PromiseReply, ChangesRequest, Changes, Yield,
                 YieldRequest, YieldAck, KeyFinished, OwnerReport>;

} // namespace balsamwheel
