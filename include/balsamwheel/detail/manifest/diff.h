// What changes between two manifests, for operators to read.
#pragma once

#include "balsamwheel/detail/manifest/model.h"

#include <string>
#include <vector>

namespace balsamwheel {

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// One changed field or entry.
struct ManifestChange {
  ChangeKind m_Kind = ChangeKind::Changed;
  /// Path such as "services/orders/shards".
  std::string m_Path;
  /// JSON of the value; empty when there is none on that side.
  std::string m_Before;
  std::string m_After;
};

/// Compares two manifests; entries of lists are matched by name.
///
/// Complexity: n log n in the number of fields.
std::vector<ManifestChange> diffManifests(const Manifest &Before,
                                          const Manifest &After);

/// Reasons why a change cannot be put in force on a running deployment, such
/// as another number of shards.
std::vector<std::string> incompatibleChanges(const Manifest &Before,
                                             const Manifest &After);

} // namespace balsamwheel
