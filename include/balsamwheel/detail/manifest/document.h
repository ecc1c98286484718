// The stored format of the configuration: a JSON document, and deltas between
// its versions.
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
/// \returns none when the document does not have the expected format.
std::optional<Config> fromDocument(const nlohmann::json &Document);

/// Key of the row that holds the newest version of the configuration.
///
/// Value: {"version": N, "write_id": W, "document": {...}}.
inline const RowKey ConfigHeadRowKey{"config/head"};

/// Key prefix of the rows that hold one delta each: "config/delta/N" leads from
/// version N-1 to N. Value: {"version": N, "patch": [RFC 6902 operations]}.
inline constexpr char ConfigDeltaPrefix[] = "config/delta/";

/// Number of newest versions whose deltas are kept.
inline constexpr std::uint64_t KeptConfigDeltas = 64;

/// Key of the row with the delta that leads to \p Version.
RowKey configDeltaRowKey(ConfigVersion Version);

/// Creates the transaction that replaces a configuration by a newer one.
///
/// The caller adds the condition on the head row and its new value, see
/// appendHeadUpdate().
///
/// \param Current the row with the key ConfigHeadRowKey as read; version 0 if
/// absent.
/// \param Base the configuration in that row.
/// \param Next the new configuration; its version must be Base's plus 1.
/// \param Id the write id; stored in that row.
/// Complexity: linear in the size of the document.
Transaction makeConfigCommit(const Row &Current, const Config &Base,
                             const Config &Next, WriteId Id);

/// Applies a delta.
///
/// \param Delta the value of the delta's row, see ConfigDeltaPrefix.
/// \returns none when the delta cannot be applied or does not lead from \p Base
/// to the next version.
std::optional<Config> applyDelta(const Config &Base, const std::string &Delta);

/// Reads the configuration from the row with the key ConfigHeadRowKey.
///
/// \returns none when the row is absent or does not have the expected format.
std::optional<Config> configFromRow(const Row &Stored);

} // namespace balsamwheel
