// A row of the ownership map: the owners of consecutive shards of one service.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

inline constexpr char MapRowPrefix[] = "map/";
inline constexpr std::uint32_t ShardsPerRow = 256;

/// The assignment of a shard to its owner.
struct ShardEntry {
  /// 0 if the shard was never assigned.
  SessionId m_Owner;
  /// Increases by one with each change of the owner.
  Epoch m_Epoch;
  /// The former owner while it may still have orders running; 0 once the
  /// handover is settled.
  SessionId m_FormerOwner;

  bool operator==(const ShardEntry &) const = default;
};

struct MapRow {
  ServiceName m_Service;
  /// Index of the row among the map rows of the service.
  std::uint32_t m_Part = 0;
  /// Number of shards of the whole service.
  std::uint32_t m_ShardCount = 0;
  RowVersion m_Version;
  /// Increases by one with each write; the head row names the newest value.
  std::uint64_t m_Counter = 0;
  /// Entry I belongs to shard m_Part * ShardsPerRow + I.
  std::vector<ShardEntry> m_Entries;
};

/// Key of a map row: the prefix, the service name, '/' and the part's number.
RowKey mapRowKey(const ServiceName &Service, std::uint32_t Part);
bool isMapRowKey(const RowKey &Key);

std::string toValue(const MapRow &Map, WriteId Id);
/// \returns none when the row is absent or does not have the expected format.
std::optional<MapRow> parseMapRow(const Row &Stored);

/// Creates a row in which no shard has an owner.
MapRow makeMapRow(const ServiceName &Service, std::uint32_t Part,
                  std::uint32_t ShardCount);

/// Number of map rows of a service with \p ShardCount shards.
constexpr std::uint32_t mapRowCount(std::uint32_t ShardCount) {
  return (ShardCount + ShardsPerRow - 1) / ShardsPerRow;
}

} // namespace balsamwheel
