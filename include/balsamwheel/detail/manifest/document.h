// The configuration as it is stored: a JSON document, and deltas between
// versions of it.
#pragma once

#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/platform/table.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// Converts a configuration to its canonical JSON document.
nlohmann::json toDocument(const Config &Value);

/// Reads a document that toDocument() wrote.
///
/// \returns none when the document has another shape.
std::optional<Config> fromDocument(const nlohmann::json &Document);

/// The row that holds the newest version and the deltas that led to it.
///
/// Value: {"version": N, "write_id": W, "document": {...}}.
inline const RowKey ConfigHeadRow{"config/head"};

/// Prefix of the rows with single deltas: "config/delta/N" leads from version
/// N-1 to N. Value: {"version": N, "patch": [RFC 6902 operations]}.
inline constexpr char ConfigDeltaPrefix[] = "config/delta/";

/// The last versions that are kept as single deltas.
inline constexpr std::uint64_t KeptConfigDeltas = 64;

/// Returns the key of the row with the delta that leads to \p Version.
RowKey configDeltaRow(ConfigVersion Version);

/// Builds the transaction that replaces a configuration by a newer one.
///
/// The caller adds its own condition and write for the head of all rows.
///
/// \param Current the row ConfigHeadRow as read, version 0 if absent.
/// \param Base the configuration in that row.
/// \param Next the new configuration; its version must be Base's plus 1.
/// \param Id goes into the written rows.
/// Complexity: linear in the size of the document.
Transaction makeConfigCommit(const Row &Current, const Config &Base,
                             const Config &Next, WriteId Id);

/// Applies a delta's RFC 6902 patch.
///
/// \returns none when it does not lead from \p Base to the next version.
std::optional<Config> applyDelta(const Config &Base, const std::string &Patch);

/// Reads the configuration from a row ConfigHeadRow.
///
/// \returns none when the row is absent or has another shape.
std::optional<Config> configFromRow(const Row &HeadRow);

} // namespace balsamwheel
