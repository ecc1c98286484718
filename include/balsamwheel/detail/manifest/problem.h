// Errors found while validating a YAML document.
#pragma once

#include <string>
#include <vector>

namespace balsamwheel {

/// One error in a document.
struct Problem {
  std::string m_File;
  /// Line number from 1; 0 if unknown.
  int m_Line = 0;
  /// Path of the field, e.g. "services[2].shards".
  std::string m_Field;
  std::string m_Reason;

  bool operator==(const Problem &) const = default;
};

/// Formats a problem as "file:line: field: reason".
std::string toString(const Problem &Value);

} // namespace balsamwheel
