// Validating access to YAML documents.
#include "balsamwheel/detail/manifest/yaml_fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace balsamwheel {

namespace {

struct Unit {
  const char *m_Suffix;
  std::int64_t m_Microseconds;
};

constexpr std::array<Unit, 5> Units{{{"us", 1},
                                     {"ms", 1'000},
                                     {"s", 1'000'000},
                                     {"m", 60'000'000},
                                     {"h", 3'600'000'000}}};

/// Largest number in front of a duration's unit.
constexpr std::int64_t MaxDurationNumber = 1'000'000'000;

std::string inRange(Range Allowed) {
  return "must be a whole number from " + std::to_string(Allowed.m_Min) +
         " to " + std::to_string(Allowed.m_Max);
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string toString(const Problem &Value) {
  std::string Result = Value.m_File;
  if (Value.m_Line > 0)
    Result += ":" + std::to_string(Value.m_Line);
  if (!Value.m_Field.empty())
    Result += ": " + Value.m_Field;
  return Result + ": " + Value.m_Reason;
}

std::optional<Duration> parseDuration(const std::string &Text) {
  std::int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Count);
  if (Error != std::errc() || Count < 0 || Count > MaxDurationNumber)
    return std::nullopt;
  const std::string Suffix(Stop, End);
  for (const Unit &Candidate : Units)
    if (Suffix == Candidate.m_Suffix)
      return Duration(Count * Candidate.m_Microseconds);
  return std::nullopt;
}

void ProblemLog::add(const YAML::Node &Where, std::string Field,
                     std::string Reason) {
  const int Line = Where.IsDefined() ? Where.Mark().line + 1 : 0;
  addLine(Line, std::move(Field), std::move(Reason));
}

void ProblemLog::addLine(int Line, std::string Field, std::string Reason) {
  m_Problems.push_back({.m_File = m_File,
                        .m_Line = Line,
                        .m_Field = std::move(Field),
                        .m_Reason = std::move(Reason)});
}

YamlMap::YamlMap(const YAML::Node &Node, std::string Path, ProblemLog &Log)
    : m_Node(Node), m_Path(std::move(Path)), m_Log(&Log) {
  if (!m_Node.IsMap())
    m_Log->add(m_Node, m_Path, "must be a mapping");
}

bool YamlMap::has(const std::string &Key) const {
  return m_Node.IsMap() && m_Node[Key].IsDefined();
}

std::string YamlMap::path(const std::string &Key) const {
  return m_Path.empty() ? Key : m_Path + "." + Key;
}

YAML::Node YamlMap::find(const std::string &Key) {
  m_ReadKeys.insert(Key);
  if (!has(Key))
    return YAML::Node(YAML::NodeType::Undefined);
  return m_Node[Key];
}

void YamlMap::problem(const std::string &Key, std::string Reason) {
  const bool Present = has(Key);
  m_Log->add(Present ? m_Node[Key] : m_Node, path(Key), std::move(Reason));
}

std::optional<std::string> YamlMap::text(const std::string &Key) {
  const YAML::Node Value = find(Key);
  if (!Value.IsDefined())
    return std::nullopt;
  if (!Value.IsScalar() || Value.Scalar().empty()) {
    problem(Key, "must be a non-empty string");
    return std::nullopt;
  }
  return Value.Scalar();
}

std::string YamlMap::requiredText(const std::string &Key) {
  if (!has(Key)) {
    m_ReadKeys.insert(Key);
    problem(Key, "is missing");
    return {};
  }
  return text(Key).value_or("");
}

std::optional<std::uint64_t> YamlMap::number(const std::string &Key,
                                             Range Allowed) {
  const YAML::Node Value = find(Key);
  if (!Value.IsDefined())
    return std::nullopt;
  const std::optional<std::uint64_t> Parsed =
      Value.IsScalar() ? parseNumber(Value.Scalar()) : std::nullopt;
  if (!Parsed || *Parsed < Allowed.m_Min || *Parsed > Allowed.m_Max) {
    problem(Key, inRange(Allowed));
    return std::nullopt;
  }
  return Parsed;
}

std::optional<bool> YamlMap::flag(const std::string &Key) {
  const YAML::Node Value = find(Key);
  if (!Value.IsDefined())
    return std::nullopt;
  if (Value.IsScalar() && Value.Scalar() == "true")
    return true;
  if (Value.IsScalar() && Value.Scalar() == "false")
    return false;
  problem(Key, "must be true or false");
  return std::nullopt;
}

std::optional<Duration> YamlMap::duration(const std::string &Key, Duration Min,
                                          Duration Max) {
  const YAML::Node Value = find(Key);
  if (!Value.IsDefined())
    return std::nullopt;
  const std::optional<Duration> Parsed =
      Value.IsScalar() ? parseDuration(Value.Scalar()) : std::nullopt;
  if (!Parsed) {
    problem(Key, "must be a duration such as 250ms, 2s or 1m");
    return std::nullopt;
  }
  if (*Parsed < Min || *Parsed > Max) {
    problem(Key, "must be from " + std::to_string(Min.count()) + "us to " +
                     std::to_string(Max.count()) + "us");
    return std::nullopt;
  }
  return Parsed;
}

std::vector<std::string> YamlMap::texts(const std::string &Key) {
  const YAML::Node Value = find(Key);
  std::vector<std::string> Result;
  if (!Value.IsDefined())
    return Result;
  if (!Value.IsSequence()) {
    problem(Key, "must be a list of strings");
    return Result;
  }
  for (std::size_t Index = 0; Index < Value.size(); ++Index) {
    const YAML::Node Item = Value[Index];
    if (Item.IsScalar() && !Item.Scalar().empty())
      Result.push_back(Item.Scalar());
    else
      m_Log->add(Item, path(Key) + "[" + std::to_string(Index) + "]",
                 "must be a non-empty string");
  }
  return Result;
}

std::optional<std::size_t>
YamlMap::choice(const std::string &Key, const std::vector<std::string> &Names) {
  const YAML::Node Value = find(Key);
  if (!Value.IsDefined())
    return std::nullopt;
  const auto Found = Value.IsScalar()
                         ? std::find(Names.begin(), Names.end(), Value.Scalar())
                         : Names.end();
  if (Found != Names.end())
    return static_cast<std::size_t>(Found - Names.begin());
  std::string Reason = "must be one of";
  for (const std::string &Name : Names)
    Reason += " " + Name;
  problem(Key, Reason);
  return std::nullopt;
}

std::vector<YamlMap> YamlMap::maps(const std::string &Key) {
  const YAML::Node Value = find(Key);
  std::vector<YamlMap> Result;
  if (!Value.IsDefined())
    return Result;
  if (!Value.IsSequence()) {
    problem(Key, "must be a list");
    return Result;
  }
  for (std::size_t Index = 0; Index < Value.size(); ++Index)
    Result.emplace_back(Value[Index],
                        path(Key) + "[" + std::to_string(Index) + "]", *m_Log);
  return Result;
}

std::optional<YamlMap> YamlMap::map(const std::string &Key) {
  const YAML::Node Value = find(Key);
  if (!Value.IsDefined())
    return std::nullopt;
  return YamlMap(Value, path(Key), *m_Log);
}

void YamlMap::finish() {
  if (!m_Node.IsMap())
    return;
  std::set<std::string> Seen;
  for (const auto &Entry : m_Node) {
    const std::string Key =
        Entry.first.IsScalar() ? Entry.first.Scalar() : "(not a string)";
    if (!Seen.insert(Key).second)
      m_Log->add(Entry.first, path(Key), "is a duplicate field");
    else if (!m_ReadKeys.contains(Key))
      m_Log->add(Entry.first, path(Key), "is not a known field");
  }
}

} // namespace balsamwheel
