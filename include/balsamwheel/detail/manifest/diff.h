// Differences between two manifests, in a form for operators.
#pragma once

#include "balsamwheel/detail/manifest/model.h"

#include <string>
#include <vector>

namespace balsamwheel {

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// One added, removed or changed field or list entry.
struct ManifestChange {
  ChangeKind m_Kind = ChangeKind::Changed;
  /// Path such as "services/orders/shards".
  std::string m_Path;
  /// JSON of the old value; empty for added fields.
  std::string m_Before;
  /// JSON of the new value; empty for removed fields.
  std::string m_After;
};

/// Compares two manifests. List entries are matched by their "name" field.
///
/// Complexity: O(n log n) in the number of fields.
std::vector<ManifestChange> diffManifests(const Manifest &Before,
                                          const Manifest &After);

/// Returns the reasons why a change can't be applied to a running deployment,
/// such as a different number of shards; empty if it can.
std::vector<std::string> incompatibleChanges(const Manifest &Before,
                                             const Manifest &After);

} // namespace balsamwheel
