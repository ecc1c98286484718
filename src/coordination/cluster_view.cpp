// Merging of table rows into the local copy.
#include "balsamwheel/detail/coordination/cluster_view.h"

#include <algorithm>

namespace balsamwheel {

ClusterView::Change ClusterView::merge(const std::vector<Row> &Rows) {
  Change Result;
  for (const Row &Stored : Rows)
    if (Stored.m_Key == HeadRowKey)
      mergeHead(Stored, Result);
  for (const Row &Stored : Rows) {
    if (groupOfKey(Stored.m_Key))
      mergeGroup(Stored, Result);
    else if (isMapRowKey(Stored.m_Key))
      mergeMap(Stored, Result);
    else if (Stored.m_Key != HeadRowKey &&
             m_Config.merge(Stored, m_Head.m_Version))
      Result.m_Config = Result.m_Any = true;
  }
  updateComplete();
  return Result;
}

void ClusterView::mergeHead(const Row &Stored, Change &Result) {
  if (Stored.m_Version <= m_Head.m_Version)
    return;
  std::optional<HeadRow> Next = parseHeadRow(Stored);
  if (!Next)
    return;
  m_Head = std::move(*Next);
  Result.m_Any = true;
  for (auto &[Key, Kept] : m_Rows)
    if (!Kept.m_NamedByHead && matchesHead(Kept.m_Row.m_Key, Kept.m_Counter))
      Kept.m_NamedByHead = m_Head.m_Version;
  m_Rows[HeadRowKey.value()] = {
      .m_Row = Stored, .m_Counter = 0, .m_NamedByHead = m_Head.m_Version};
}

void ClusterView::mergeGroup(const Row &Stored, Change &Result) {
  std::optional<GroupRow> Next = parseGroupRow(Stored);
  if (!Next || Next->m_Version.value() == 0)
    return;
  const auto Previous = m_Groups.find(Next->m_Group);
  if (Previous != m_Groups.end() &&
      Next->m_Version <= Previous->second.m_Version)
    return;
  const bool MembersChanged = Previous == m_Groups.end() ||
                              Next->m_Counter != Previous->second.m_Counter;
  storeRow(Stored, Next->m_Counter);
  Result.m_Any = true;
  Result.m_Members = Result.m_Members || MembersChanged;
  if (MembersChanged)
    indexGroup(*Next);
  m_Groups[Next->m_Group] = std::move(*Next);
}

void ClusterView::mergeMap(const Row &Stored, Change &Result) {
  std::optional<MapRow> Next = parseMapRow(Stored);
  if (!Next)
    return;
  std::vector<MapRow> &Parts = m_Maps[Next->m_Service];
  if (Parts.size() <= Next->m_Part)
    Parts.resize(Next->m_Part + 1);
  if (Next->m_Version <= Parts[Next->m_Part].m_Version)
    return;
  storeRow(Stored, Next->m_Counter);
  Result.m_Any = true;
  Result.m_MapRowKeys.push_back(Stored.m_Key);
  Parts[Next->m_Part] = std::move(*Next);
}

void ClusterView::storeRow(const Row &Stored, std::uint64_t Counter) {
  StoredRow &Kept = m_Rows[Stored.m_Key.value()];
  if (Counter != Kept.m_Counter || Kept.m_Row.m_Version.value() == 0) {
    Kept.m_Counter = Counter;
    Kept.m_NamedByHead.reset();
    if (matchesHead(Stored.m_Key, Counter))
      Kept.m_NamedByHead = m_Head.m_Version;
  }
  Kept.m_Row = Stored;
}

void ClusterView::indexGroup(const GroupRow &Group) {
  std::erase_if(m_Members, [&Group](const auto &Item) {
    return Item.second.first == Group.m_Group;
  });
  for (const GroupMember &Value : Group.m_Members)
    m_Members[Value.m_Member.m_Session] = {Group.m_Group, Value.m_Member};
  // A session that this group no longer lists may be listed in another group.
  for (const auto &[Other, Row] : m_Groups)
    if (Other != Group.m_Group)
      for (const GroupMember &Value : Row.m_Members)
        m_Members.try_emplace(Value.m_Member.m_Session, Other, Value.m_Member);
}

bool ClusterView::matchesHead(const RowKey &Key, std::uint64_t Counter) const {
  return m_Head.counter(Key) == Counter;
}

void ClusterView::updateComplete() {
  m_Complete = staleRows().empty();
  for (const auto &[Key, Kept] : m_Rows)
    if (isMapRowKey(Kept.m_Row.m_Key) && !Kept.m_NamedByHead)
      m_Complete = false;
  if (m_Complete)
    m_CompleteHeadVersion = m_Head.m_Version;
}

std::vector<RowKey> ClusterView::staleRows() const {
  std::vector<RowKey> Result;
  for (const auto &[Text, Counter] : m_Head.m_Counters) {
    const RowKey Key(Text);
    if (Key == ConfigHeadRowKey) {
      std::ranges::copy(m_Config.rowsToReach(ConfigVersion(Counter)),
                        std::back_inserter(Result));
      continue;
    }
    const auto Found = m_Rows.find(Text);
    if (Found == m_Rows.end() || Found->second.m_Counter < Counter)
      Result.push_back(Key);
  }
  return Result;
}

const Row *ClusterView::storedRow(const RowKey &Key) const {
  const auto Found = m_Rows.find(Key.value());
  return Found == m_Rows.end() ? nullptr : &Found->second.m_Row;
}

std::vector<Row> ClusterView::rowsSince(RowVersion Head) const {
  std::vector<Row> Result;
  for (const auto &[Key, Kept] : m_Rows)
    if (!Kept.m_NamedByHead || *Kept.m_NamedByHead > Head)
      Result.push_back(Kept.m_Row);
  std::ranges::copy(m_Config.rowsSince(Head), std::back_inserter(Result));
  return Result;
}

const GroupRow *ClusterView::findGroup(std::uint32_t Group) const {
  const auto Found = m_Groups.find(Group);
  return Found == m_Groups.end() ? nullptr : &Found->second;
}

const Member *ClusterView::findMember(SessionId Session) const {
  const auto Found = m_Members.find(Session);
  return Found == m_Members.end() ? nullptr : &Found->second.second;
}

bool ClusterView::isLive(SessionId Session) const {
  return m_Members.contains(Session);
}

bool ClusterView::hasEnded(SessionId Session) const {
  return m_Complete && !m_Members.contains(Session);
}

bool ClusterView::isLeaving(const Member &Value) const {
  if (Value.m_Leaving)
    return true;
  const std::shared_ptr<const Config> Current = config();
  if (!Current)
    return false;
  return std::ranges::binary_search(Current->m_DomainsOut, Value.m_Domain) ||
         std::ranges::binary_search(Current->m_Draining, Value.m_Instance);
}

const std::vector<MapRow> &ClusterView::map(const ServiceName &Service) const {
  static const std::vector<MapRow> NoRows;
  const auto Found = m_Maps.find(Service);
  return Found == m_Maps.end() ? NoRows : Found->second;
}

const ShardEntry *ClusterView::findEntry(const ShardRef &Shard) const {
  const std::vector<MapRow> &Parts = map(Shard.m_Service);
  const std::uint32_t Part = Shard.m_Shard.value() / ShardsPerRow;
  const std::uint32_t Index = Shard.m_Shard.value() % ShardsPerRow;
  if (Part >= Parts.size() || Index >= Parts[Part].m_Entries.size())
    return nullptr;
  return &Parts[Part].m_Entries[Index];
}

std::uint32_t ClusterView::shardCount(const ServiceName &Service) const {
  for (const MapRow &Part : map(Service))
    if (Part.m_ShardCount != 0)
      return Part.m_ShardCount;
  return 0;
}

} // namespace balsamwheel
