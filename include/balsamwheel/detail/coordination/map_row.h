// A row of the ownership map: a run of shards of one service.
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

struct ShardEntry {
  SessionId m_Owner;
  Epoch m_Epoch;
  /// The former owner while it may have orders running; 0 if settled.
  SessionId m_Former;

  bool operator==(const ShardEntry &) const = default;
};

struct MapRow {
  ServiceName m_Service;
  std::uint32_t m_Part = 0;
  /// Shards of the whole service.
  std::uint32_t m_ShardCount = 0;
  RowVersion m_Version;
  std::uint64_t m_Counter = 0;
  /// Shards from m_Part * ShardsPerRow on.
  std::vector<ShardEntry> m_Entries;
};

/// The part of a map row's key after the prefix names service and part.
RowKey mapRowKey(const ServiceName &Service, std::uint32_t Part);
bool isMapRowKey(const RowKey &Key);

std::string toValue(const MapRow &Map, WriteId Id);
/// \returns none when the row is absent or has another shape.
std::optional<MapRow> parseMapRow(const Row &Stored);

/// An unowned row for a part of a service.
MapRow makeMapRow(const ServiceName &Service, std::uint32_t Part,
                  std::uint32_t ShardCount);

/// Rows that a service with so many shards has.
constexpr std::uint32_t mapRowCount(std::uint32_t ShardCount) {
  return (ShardCount + ShardsPerRow - 1) / ShardsPerRow;
}

} // namespace balsamwheel
