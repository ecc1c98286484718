// Plans one step of changes to the ownership map.
#include "balsamwheel/detail/coordination/planner.h"

#include "balsamwheel/detail/coordination/placement.h"
#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <set>

namespace balsamwheel {

namespace {

/// One round moves half of the remaining shards off leaving owners, but at
/// least this many.
constexpr std::size_t MinEvictionsPerRound = 8;
/// One round moves at most this fraction of the service's shards to balance the
/// counts. Shards whose handover is not settled count against it.
constexpr double BalanceMovesFraction = 0.04;
/// Lower bound of the limit that BalanceMovesFraction gives, in shards.
constexpr std::size_t MinBalanceMoves = 2;

/// Plans one service.
class ServicePlanner {
public:
  ServicePlanner(const PlanRequest &Request, const Service &Planned,
                 Plan &Result)
      : m_Request(Request), m_View(*Request.m_View), m_Service(Planned),
        m_Result(Result), m_ShardCount(m_View.shardCount(Planned.m_Name) != 0
                                           ? m_View.shardCount(Planned.m_Name)
                                           : Planned.m_Shards),
        m_Placement(candidates(), m_ShardCount) {
    loadRows();
  }

  void run() {
    if (m_ShardCount == 0)
      return;
    clearSettled();
    reassignOrphans();
    moveForLoad();
    evictLeaving();
    balanceCounts();
    collectRows();
  }

private:
  std::vector<PlacementCandidate> candidates() const {
    std::vector<PlacementCandidate> Result;
    for (const auto &[Number, Group] : m_View.groups())
      for (const GroupMember &Entry : Group.m_Members) {
        const Member &Value = Entry.m_Member;
        if (Value.m_Service != m_Service.m_Name || m_View.isLeaving(Value))
          continue;
        Result.push_back({.m_Session = Value.m_Session,
                          .m_Hash = hashKey(Value.m_Instance.value()).value(),
                          .m_Weight = Value.m_Slots});
      }
    return Result;
  }

  void loadRows() {
    const std::vector<MapRow> &Known = m_View.map(m_Service.m_Name);
    for (std::uint32_t Part = 0; Part < mapRowCount(m_ShardCount); ++Part) {
      const bool Exists =
          Part < Known.size() && Known[Part].m_Version.value() != 0;
      m_Rows.push_back(Exists
                           ? Known[Part]
                           : makeMapRow(m_Service.m_Name, Part, m_ShardCount));
    }
    for (const MapRow &Row : m_Rows)
      for (const ShardEntry &Entry : Row.m_Entries)
        m_Placement.add(Entry.m_Owner);
  }

  ShardEntry &entry(std::uint32_t Shard) {
    return m_Rows[Shard / ShardsPerRow].m_Entries[Shard % ShardsPerRow];
  }

  ShardRef ref(std::uint32_t Shard) const {
    return {m_Service.m_Name, ShardIndex(Shard)};
  }

  std::uint64_t shardHash(std::uint32_t Shard) const {
    return mixHash(hashKey(m_Service.m_Name.value()).value(), Shard);
  }

  bool hasLiveFormerOwner(const ShardEntry &Entry) const {
    return Entry.m_FormerOwner.value() != 0 &&
           m_View.isLive(Entry.m_FormerOwner);
  }

  void markChanged(std::uint32_t Shard) {
    m_ChangedParts.insert(Shard / ShardsPerRow);
  }

  void clearSettled() {
    for (const auto &[Shard, Settled] : *m_Request.m_Settled) {
      if (Shard.m_Service != m_Service.m_Name ||
          Shard.m_Shard.value() >= m_ShardCount)
        continue;
      ShardEntry &Entry = entry(Shard.m_Shard.value());
      if (Entry.m_Epoch != Settled || Entry.m_FormerOwner.value() == 0)
        continue;
      Entry.m_FormerOwner = SessionId();
      markChanged(Shard.m_Shard.value());
    }
  }

  /// Assigns a shard to another owner and records the former owner if it is
  /// live.
  void assign(std::uint32_t Shard, SessionId Owner) {
    ShardEntry &Entry = entry(Shard);
    SessionId Former = Entry.m_FormerOwner;
    if (m_View.isLive(Entry.m_Owner))
      Former = Entry.m_Owner;
    if (!m_View.isLive(Former) || Former == Owner)
      Former = SessionId();
    m_Placement.remove(Entry.m_Owner);
    m_Placement.add(Owner);
    Entry = {.m_Owner = Owner,
             .m_Epoch = Epoch(Entry.m_Epoch.value() + 1),
             .m_FormerOwner = Former};
    markChanged(Shard);
    ++m_Result.m_Moves;
  }

  void reassignOrphans() {
    if (m_Placement.empty())
      return;
    for (std::uint32_t Shard = 0; Shard < m_ShardCount; ++Shard)
      if (!m_View.isLive(entry(Shard).m_Owner))
        assign(Shard, *m_Placement.choose(shardHash(Shard)));
  }

  bool isMovable(std::uint32_t Shard) {
    return m_View.isLive(entry(Shard).m_Owner) &&
           !hasLiveFormerOwner(entry(Shard));
  }

  void moveForLoad() {
    for (const LoadMove &Move : m_Request.m_LoadMoves) {
      const std::uint32_t Shard = Move.m_Shard.m_Shard.value();
      if (Move.m_Shard.m_Service != m_Service.m_Name || Shard >= m_ShardCount)
        continue;
      if (entry(Shard).m_Owner == Move.m_OldOwner && isMovable(Shard) &&
          m_Placement.contains(Move.m_NewOwner))
        assign(Shard, Move.m_NewOwner);
    }
  }

  void evictLeaving() {
    if (m_Placement.empty())
      return;
    std::vector<std::uint32_t> Movable;
    bool HasUnsettled = false;
    for (std::uint32_t Shard = 0; Shard < m_ShardCount; ++Shard) {
      if (m_Placement.contains(entry(Shard).m_Owner))
        continue;
      if (isMovable(Shard))
        Movable.push_back(Shard);
      else
        HasUnsettled = true;
    }
    m_Evicting = HasUnsettled || !Movable.empty();
    m_Result.m_MovesRemain = m_Result.m_MovesRemain || m_Evicting;
    if (!m_Request.m_IncludePaced)
      return;
    const std::size_t RoundSize =
        std::max(MinEvictionsPerRound, Movable.size() / 2);
    Movable.resize(std::min(Movable.size(), RoundSize));
    for (std::uint32_t Shard : Movable)
      assign(Shard, *m_Placement.choose(shardHash(Shard)));
  }

  std::size_t unsettledCount() {
    std::size_t Result = 0;
    for (std::uint32_t Shard = 0; Shard < m_ShardCount; ++Shard)
      if (hasLiveFormerOwner(entry(Shard)))
        ++Result;
    return Result;
  }

  bool isBalancing() const {
    return m_Placement.isUnbalanced() ||
           m_Request.m_BalancingServices.contains(m_Service.m_Name);
  }

  void balanceCounts() {
    if (m_Evicting || !isBalancing())
      return;
    const std::size_t MaxMoves =
        std::max(MinBalanceMoves,
                 static_cast<std::size_t>(m_ShardCount * BalanceMovesFraction));
    const std::size_t Unsettled = unsettledCount();
    std::size_t MovesLeft = Unsettled >= MaxMoves ? 0 : MaxMoves - Unsettled;
    bool MovesRemain = Unsettled > 0;
    for (std::uint32_t Shard = 0; Shard < m_ShardCount; ++Shard) {
      const SessionId Owner = entry(Shard).m_Owner;
      if (!isMovable(Shard) || !m_Placement.hasSurplus(Owner))
        continue;
      MovesRemain = true;
      if (!m_Request.m_IncludePaced || MovesLeft == 0)
        break;
      const std::optional<SessionId> NewOwner =
          m_Placement.choose(shardHash(Shard));
      if (!NewOwner || *NewOwner == Owner)
        continue;
      assign(Shard, *NewOwner);
      --MovesLeft;
    }
    if (!MovesRemain)
      return;
    m_Result.m_MovesRemain = true;
    m_Result.m_BalancingServices.insert(m_Service.m_Name);
  }

  void collectRows() {
    for (std::uint32_t Part = 0; Part < m_Rows.size(); ++Part) {
      const bool IsNew = m_Rows[Part].m_Version.value() == 0;
      if (m_ChangedParts.contains(Part) || (IsNew && !m_Placement.empty()))
        m_Result.m_Rows.push_back(std::move(m_Rows[Part]));
    }
  }

  const PlanRequest &m_Request;
  const ClusterView &m_View;
  const Service &m_Service;
  Plan &m_Result;
  std::uint32_t m_ShardCount;
  Placement m_Placement;
  std::vector<MapRow> m_Rows;
  std::set<std::uint32_t> m_ChangedParts;
  /// Leaving owners still have shards; counts are not balanced meanwhile.
  bool m_Evicting = false;
};

} // namespace

Plan planNextStep(const PlanRequest &Request) {
  Plan Result;
  const std::shared_ptr<const Config> Current = Request.m_View->config();
  if (!Current)
    return Result;
  for (const Service &Candidate : Current->m_Manifest.m_Services)
    if (Candidate.m_DividedByKey)
      ServicePlanner(Request, Candidate, Result).run();
  return Result;
}

} // namespace balsamwheel
