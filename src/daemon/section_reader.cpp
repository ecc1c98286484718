// Checks types and ranges, and finds unknown and duplicate fields.
#include "daemon/section_reader.h"

#include <utility>

namespace balsamwheel::daemon {

SectionReader::SectionReader(ReadContext &Context, const YAML::Node &Section,
                             std::string Path)
    : m_Context(Context), m_Section(Section), m_Path(std::move(Path)) {
  if (!m_Section.IsMap()) {
    report(m_Section.Mark(), m_Path, "must be a mapping");
    m_Section = YAML::Node(YAML::NodeType::Map);
  }
}

std::string SectionReader::fieldPath(const std::string &Name) const {
  return m_Path.empty() ? Name : m_Path + "." + Name;
}

void SectionReader::report(const YAML::Mark &Mark, const std::string &Field,
                           std::string Reason) {
  m_Context.m_Errors.push_back({.m_File = m_Context.m_File,
                                .m_Line = Mark.is_null() ? 1 : Mark.line + 1,
                                .m_Field = Field,
                                .m_Reason = std::move(Reason)});
}

YAML::Node SectionReader::find(const char *Name) {
  m_ReadFields.insert(Name);
  for (const auto &Item : m_Section)
    if (Item.first.IsScalar() && Item.first.Scalar() == Name)
      return Item.second;
  return YAML::Node(YAML::NodeType::Undefined);
}

void SectionReader::text(
    const char *Name, std::string &Target, bool Required,
    const std::function<std::string(const std::string &)> &Check) {
  const YAML::Node Value = find(Name);
  if (!Value.IsDefined()) {
    if (Required)
      report(m_Section.Mark(), fieldPath(Name), "is missing");
    return;
  }
  if (!Value.IsScalar() || Value.Scalar().empty()) {
    report(Value.Mark(), fieldPath(Name), "must be a non-empty string");
    return;
  }
  const std::string Message = Check ? Check(Value.Scalar()) : std::string();
  if (!Message.empty()) {
    report(Value.Mark(), fieldPath(Name), Message);
    return;
  }
  Target = Value.Scalar();
}

void SectionReader::flag(const char *Name, bool &Target) {
  const YAML::Node Value = find(Name);
  if (!Value.IsDefined())
    return;
  if (!YAML::convert<bool>::decode(Value, Target))
    report(Value.Mark(), fieldPath(Name), "must be true or false");
}

void SectionReader::real(const char *Name, double &Target, double Min,
                         double Max) {
  const YAML::Node Value = find(Name);
  if (!Value.IsDefined())
    return;
  double Number = 0;
  if (YAML::convert<double>::decode(Value, Number) && Number >= Min &&
      Number <= Max) {
    Target = Number;
    return;
  }
  report(Value.Mark(), fieldPath(Name),
         "must be a number from " + std::to_string(Min) + " to " +
             std::to_string(Max));
}

std::optional<std::int64_t> SectionReader::readInteger(const char *Name,
                                                       std::int64_t Min,
                                                       std::int64_t Max) {
  const YAML::Node Value = find(Name);
  if (!Value.IsDefined())
    return std::nullopt;
  std::int64_t Number = 0;
  if (YAML::convert<std::int64_t>::decode(Value, Number) && Number >= Min &&
      Number <= Max)
    return Number;
  report(Value.Mark(), fieldPath(Name),
         "must be a whole number from " + std::to_string(Min) + " to " +
             std::to_string(Max));
  return std::nullopt;
}

void SectionReader::milliseconds(const char *Name, Duration &Target,
                                 std::int64_t Min, std::int64_t Max) {
  if (const auto Value = readInteger(Name, Min, Max))
    Target = std::chrono::milliseconds(*Value);
}

void SectionReader::section(const char *Name,
                            const std::function<void(SectionReader &)> &Read) {
  const YAML::Node Value = find(Name);
  SectionReader Inner(
      m_Context, Value.IsDefined() ? Value : YAML::Node(YAML::NodeType::Map),
      fieldPath(Name));
  Read(Inner);
  Inner.finish();
}

void SectionReader::finish() {
  std::set<std::string> Seen;
  for (const auto &Item : m_Section) {
    const std::string Name =
        Item.first.IsScalar() ? Item.first.Scalar() : std::string("?");
    if (!m_ReadFields.contains(Name))
      report(Item.first.Mark(), fieldPath(Name), "is not a known field");
    else if (!Seen.insert(Name).second)
      report(Item.first.Mark(), fieldPath(Name), "is a duplicate field");
  }
}

} // namespace balsamwheel::daemon
