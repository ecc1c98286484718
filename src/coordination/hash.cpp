// Implements key hashing with XXH3.
#include "balsamwheel/detail/core/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace balsamwheel {

KeyHash hashKey(std::string_view Key) {
  return KeyHash(XXH3_64bits(Key.data(), Key.size()));
}

std::uint64_t mixHash(std::uint64_t First, std::uint64_t Second) {
  const std::array<std::uint64_t, 2> Values{First, Second};
  return XXH3_64bits(Values.data(), sizeof(Values));
}

ShardIndex shardOf(KeyHash Key, std::uint32_t ShardCount) {
  return ShardIndex(static_cast<std::uint32_t>(Key.value() % ShardCount));
}

} // namespace balsamwheel
