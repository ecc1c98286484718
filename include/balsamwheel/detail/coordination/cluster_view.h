// What this daemon knows of the table's rows: members, map, configuration.
#pragma once

#include "balsamwheel/detail/coordination/config_tracker.h"
#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/coordination/head_row.h"
#include "balsamwheel/detail/coordination/map_row.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Merges rows as they arrive, in any order and number, and keeps the newest
/// of each. Invariant: no row and no configuration falls to a lower version.
class ClusterView {
public:
  /// What a merge changed.
  struct Change {
    bool m_Any = false;
    bool m_Members = false;
    bool m_Config = false;
    std::vector<RowKey> m_MapRows;
  };

  /// Merges rows of one snapshot or message.
  Change merge(const std::vector<Row> &Rows);

  const HeadRow &head() const { return m_Head; }
  /// Every row stands at the counter that the head row names.
  bool complete() const { return m_Complete; }
  /// The newest head version for which the view was complete.
  RowVersion completeHead() const { return m_CompleteHead; }
  /// Rows that are older than the head row says.
  std::vector<RowKey> staleRows() const;
  /// A row as it was read; null if it is not known.
  const Row *storedRow(const RowKey &Key) const;
  /// Rows that changed after a head version, the head row included.
  std::vector<Row> rowsSince(RowVersion Head) const;

  const std::map<std::uint32_t, GroupRow> &groups() const { return m_Groups; }
  const GroupRow *findGroup(std::uint32_t Group) const;
  /// Complexity: constant on average.
  const Member *findMember(SessionId Session) const;
  bool isLive(SessionId Session) const;
  /// The session has left its group for good: its lease is over. Never true
  /// while the view could merely be older than the session.
  bool isGone(SessionId Session) const;
  std::size_t memberCount() const { return m_Members.size(); }
  /// A member takes no new work.
  bool isLeaving(const Member &Value) const;

  /// Rows of a service by part; empty if it has none.
  const std::vector<MapRow> &map(const ServiceName &Service) const;
  /// Complexity: constant on average.
  const ShardEntry *findEntry(const ShardRef &Shard) const;
  /// Shards of a service as the map divides it; 0 if there is no map yet.
  std::uint32_t shardCount(const ServiceName &Service) const;
  const std::unordered_map<ServiceName, std::vector<MapRow>> &maps() const {
    return m_Maps;
  }
  std::shared_ptr<const Config> config() const { return m_Config.config(); }
  ConfigVersion configVersion() const { return m_Config.version(); }
  const ConfigTracker &configTracker() const { return m_Config; }

private:
  struct StoredRow {
    Row m_Row;
    std::uint64_t m_Counter = 0;
    /// Head version that named this counter first; none if still ahead of it.
    std::optional<RowVersion> m_Head;
  };

  void mergeHead(const Row &Stored, Change &Result);
  void mergeGroup(const Row &Stored, Change &Result);
  void mergeMap(const Row &Stored, Change &Result);
  void keep(const Row &Stored, std::uint64_t Counter);
  void indexGroup(const GroupRow &Group);
  void updateComplete();
  bool isCurrent(const RowKey &Key, std::uint64_t Counter) const;

  HeadRow m_Head;
  bool m_Complete = false;
  RowVersion m_CompleteHead;
  std::map<std::string, StoredRow> m_Rows;
  std::map<std::uint32_t, GroupRow> m_Groups;
  /// Each live session and its group; a session is in one row at a time, or
  /// in two while a late admission to another group lapses.
  std::unordered_map<SessionId, std::pair<std::uint32_t, Member>> m_Members;
  std::unordered_map<ServiceName, std::vector<MapRow>> m_Maps;
  ConfigTracker m_Config;
};

} // namespace balsamwheel
