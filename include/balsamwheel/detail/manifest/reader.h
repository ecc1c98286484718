// Reads and validates manifests.
#pragma once

#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/manifest/problem.h"

#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// A manifest, or the errors found in it.
struct ManifestResult {
  /// Set if and only if m_Problems is empty.
  std::optional<Manifest> m_Manifest;
  std::vector<Problem> m_Problems;
};

/// Reads a manifest from YAML text.
///
/// \param Text the complete document.
/// \param File the file name to report in problems.
/// \returns the manifest or all problems found, not only the first.
/// Complexity: linear in the text, quadratic in the number of services.
ManifestResult readManifest(const std::string &Text, const std::string &File);

/// Reads a manifest from a file; an unreadable file is reported as a problem.
ManifestResult readManifestFile(const std::string &File);

} // namespace balsamwheel
