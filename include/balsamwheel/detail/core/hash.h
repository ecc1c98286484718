// Hashes keys and assigns them to shards.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <cstdint>
#include <string_view>

namespace balsamwheel {

/// Hashes a key. The result is the same on every daemon and in every version.
///
/// \param Key the caller's key; any bytes are allowed.
/// \returns the 64-bit XXH3 hash.
/// Complexity: linear in the key's length.
KeyHash hashKey(std::string_view Key);

/// Combines two values into one hash, e.g. for rendezvous hashing.
///
/// Complexity: constant.
std::uint64_t mixHash(std::uint64_t First, std::uint64_t Second);

/// Returns the shard of a key: the hash modulo the number of shards.
///
/// \param Key the key's hash.
/// \param ShardCount number of shards of the service, at least 1.
/// Complexity: constant.
ShardIndex shardOf(KeyHash Key, std::uint32_t ShardCount);

} // namespace balsamwheel
