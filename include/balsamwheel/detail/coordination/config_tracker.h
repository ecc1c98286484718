// The newest configuration that this daemon knows.
#pragma once

#include "balsamwheel/detail/manifest/document.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace balsamwheel {

/// Applies documents and deltas. Invariant: version() never decreases.
class ConfigTracker {
public:
  /// Applies a row that contains a document or a delta.
  ///
  /// \param Head the newest known version of the head row.
  /// \returns whether the row brought a newer version into force.
  bool merge(const Row &Stored, RowVersion Head);

  ConfigVersion version() const;
  /// Null until the first document is applied.
  std::shared_ptr<const Config> config() const { return m_Config; }

  /// Rows that a reader needs whose view was complete at version \p Head of the
  /// head row: the deltas since then if all of them are stored, else the
  /// complete document.
  std::vector<Row> rowsSince(RowVersion Head) const;

  /// Keys of the rows to read from the table to reach version \p Wanted.
  std::vector<RowKey> rowsToReach(ConfigVersion Wanted) const;

private:
  struct StoredDelta {
    Row m_Row;
    /// The newest known version of the head row when the delta was applied.
    RowVersion m_Head;
  };

  bool mergeDocument(const Row &Stored, RowVersion Head);
  bool mergeDelta(const Row &Stored, RowVersion Head);

  std::shared_ptr<const Config> m_Config;
  /// Head version before which a reader needs the complete document: that of
  /// the last document or of the newest delta that is no longer stored.
  RowVersion m_DocumentHead;
  /// By the configuration version to which the delta leads.
  std::map<std::uint64_t, StoredDelta> m_Deltas;
};

} // namespace balsamwheel
