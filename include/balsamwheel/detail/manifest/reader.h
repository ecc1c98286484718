// Reads a manifest and checks it whole.
#pragma once

#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/manifest/problem.h"

#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// A manifest, or the reasons why there is none.
struct ManifestResult {
  /// Set only when m_Problems is empty.
  std::optional<Manifest> m_Manifest;
  std::vector<Problem> m_Problems;
};

/// Reads a manifest from YAML text.
///
/// \param Text the whole document.
/// \param File its name in problems.
/// \returns every problem that was found, not only the first.
/// Complexity: linear in the text, quadratic in the number of services.
ManifestResult readManifest(const std::string &Text, const std::string &File);

/// Reads a manifest from a file; an unreadable file is a problem.
ManifestResult readManifestFile(const std::string &File);

} // namespace balsamwheel
