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

/// Applies documents and deltas. Invariant: version() never falls.
class ConfigTracker {
public:
  /// Applies a row with a document or a delta.
  ///
  /// \param Head version of the head row that names this change.
  /// \returns whether a newer version is in force.
  bool merge(const Row &Stored, RowVersion Head);

  ConfigVersion version() const;
  std::shared_ptr<const Config> config() const { return m_Config; }

  /// Rows that lead from the version known at \p Head to the newest: the
  /// deltas if all are kept, else the whole document.
  std::vector<Row> rowsSince(RowVersion Head) const;

  /// Rows to read from the table to get from here to \p Wanted.
  std::vector<RowKey> rowsToReach(ConfigVersion Wanted) const;

private:
  struct StoredDelta {
    Row m_Row;
    RowVersion m_Head;
  };

  bool mergeDocument(const Row &Stored, RowVersion Head);
  bool mergeDelta(const Row &Stored, RowVersion Head);

  std::shared_ptr<const Config> m_Config;
  /// Head at which the last whole document came in.
  RowVersion m_DocumentHead;
  std::map<std::uint64_t, StoredDelta> m_Deltas;
};

} // namespace balsamwheel
