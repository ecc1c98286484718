// Hashing of keys and their division into shards.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <string_view>

namespace balsamwheel {

/// Hashes a key; the same on every daemon and version.
///
/// \param Key the caller's key, any bytes.
/// \returns the 64-bit XXH3 hash.
/// Complexity: linear in the key's length.
KeyHash hashKey(std::string_view Key);

/// Hashes two values into one; used for rendezvous scores.
///
/// Complexity: constant.
std::uint64_t mixHash(std::uint64_t First, std::uint64_t Second);

/// Maps a key's hash to its shard.
///
/// \param Key the key's hash.
/// \param ShardCount shards of the service, at least 1.
/// Complexity: constant.
ShardIndex shardOf(KeyHash Key, std::uint32_t ShardCount);

} // namespace balsamwheel
