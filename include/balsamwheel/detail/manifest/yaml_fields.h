// Validating access to YAML documents. All errors are collected with line and
// field; malformed values are never coerced.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/manifest/problem.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamwheel {

/// Collects the problems of one document.
class ProblemLog {
public:
  explicit ProblemLog(std::string File) : m_File(std::move(File)) {}

  void add(const YAML::Node &Where, std::string Field, std::string Reason);
  void addLine(int Line, std::string Field, std::string Reason);
  const std::vector<Problem> &problems() const { return m_Problems; }

private:
  std::string m_File;
  std::vector<Problem> m_Problems;
};

/// Inclusive range of a number.
struct Range {
  std::uint64_t m_Min = 0;
  std::uint64_t m_Max = UINT64_MAX;
};

/// One mapping of a document. finish() reports the fields that are present but
/// were never read.
class YamlMap {
public:
  /// \param Path path of the mapping; empty for the document root.
  YamlMap(const YAML::Node &Node, std::string Path, ProblemLog &Log);

  bool has(const std::string &Key) const;
  /// Reads a non-empty string; none if absent.
  std::optional<std::string> text(const std::string &Key);
  std::string requiredText(const std::string &Key);
  std::optional<std::uint64_t> number(const std::string &Key, Range Allowed);
  std::optional<bool> flag(const std::string &Key);
  /// Reads a duration such as "250ms", "2s" or "1m".
  std::optional<Duration> duration(const std::string &Key, Duration Min,
                                   Duration Max);
  /// Reads a list of non-empty strings; empty if absent.
  std::vector<std::string> texts(const std::string &Key);
  /// Reads one of \p Names and returns its index; none if absent.
  std::optional<std::size_t> choice(const std::string &Key,
                                    const std::vector<std::string> &Names);
  /// Reads a list of mappings; empty if absent.
  std::vector<YamlMap> maps(const std::string &Key);
  /// Reads a nested mapping; none if absent.
  std::optional<YamlMap> map(const std::string &Key);

  void problem(const std::string &Key, std::string Reason);
  /// Reports unknown and duplicate fields. Call it after all reads.
  void finish();

private:
  YAML::Node find(const std::string &Key);
  std::string path(const std::string &Key) const;

  YAML::Node m_Node;
  std::string m_Path;
  ProblemLog *m_Log;
  std::set<std::string> m_ReadKeys;
};

/// Parses a duration such as "250ms"; none if it is malformed or too large.
std::optional<Duration> parseDuration(const std::string &Text);

} // namespace balsamwheel
