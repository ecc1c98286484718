// The local copy of the table's rows: members, ownership map, configuration.
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

/// Merges rows, received in any order and any number of times, and keeps the
/// newest version of each.
///
/// Invariant: the version of a stored row and of the configuration never
/// decreases.
class ClusterView {
public:
  /// What a merge changed in the view.
  struct Change {
    bool m_Any = false;
    bool m_Members = false;
    bool m_Config = false;
    /// Keys of the map rows that were replaced.
    std::vector<RowKey> m_MapRowKeys;
  };

  /// Merges the rows of one table read or one message.
  Change merge(const std::vector<Row> &Rows);

  const HeadRow &head() const { return m_Head; }
  /// Whether every row has the counter that the head row names for it.
  bool isComplete() const { return m_Complete; }
  /// The newest version of the head row at which the view was complete.
  RowVersion completeHeadVersion() const { return m_CompleteHeadVersion; }
  /// Keys of the rows that are missing or older than the head row says.
  std::vector<RowKey> staleRows() const;
  /// A row as it was read from the table; null if it is not known.
  const Row *storedRow(const RowKey &Key) const;
  /// Rows that changed after a version of the head row, including the head row
  /// itself.
  std::vector<Row> rowsSince(RowVersion Head) const;

  const std::map<std::uint32_t, GroupRow> &groups() const { return m_Groups; }
  const GroupRow *findGroup(std::uint32_t Group) const;
  /// Complexity: constant on average.
  const Member *findMember(SessionId Session) const;
  /// Whether the session is listed in a group row.
  bool isLive(SessionId Session) const;
  /// Whether the session has left its group permanently, so that its lease has
  /// ended. Always false while the view is incomplete, because the view may
  /// then be older than the session.
  bool hasEnded(SessionId Session) const;
  std::size_t memberCount() const { return m_Members.size(); }
  /// Whether a member takes no new work: it says so itself, or the
  /// configuration drains it or takes its domain out.
  bool isLeaving(const Member &Value) const;

  /// The map rows of a service, indexed by part; empty if it has none.
  const std::vector<MapRow> &map(const ServiceName &Service) const;
  /// Complexity: constant on average.
  const ShardEntry *findEntry(const ShardRef &Shard) const;
  /// Number of shards of a service according to its map rows; 0 if it has none
  /// yet.
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
    /// The first version of the head row that named this counter; none while
    /// the known head row is older than this row.
    std::optional<RowVersion> m_NamedByHead;
  };

  void mergeHead(const Row &Stored, Change &Result);
  void mergeGroup(const Row &Stored, Change &Result);
  void mergeMap(const Row &Stored, Change &Result);
  void storeRow(const Row &Stored, std::uint64_t Counter);
  void indexGroup(const GroupRow &Group);
  void updateComplete();
  bool matchesHead(const RowKey &Key, std::uint64_t Counter) const;

  HeadRow m_Head;
  bool m_Complete = false;
  RowVersion m_CompleteHeadVersion;
  std::map<std::string, StoredRow> m_Rows;
  std::map<std::uint32_t, GroupRow> m_Groups;
  /// Each live session with its group. A session is in one group row at a time,
  /// or in two until a late admission to another group expires.
  std::unordered_map<SessionId, std::pair<std::uint32_t, Member>> m_Members;
  std::unordered_map<ServiceName, std::vector<MapRow>> m_Maps;
  ConfigTracker m_Config;
};

} // namespace balsamwheel
