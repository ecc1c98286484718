// Reads a YAML mapping field by field and collects all errors.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "daemon/settings.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace balsamwheel::daemon {

/// State that the sections of one file share.
struct ReadContext {
  std::string m_File;
  std::vector<SettingsError> m_Errors;
};

/// Reads one mapping. Absent fields leave their targets unchanged. Call
/// finish() last: it reports the fields that were never read.
class SectionReader {
public:
  SectionReader(ReadContext &Context, const YAML::Node &Section,
                std::string Path);

  /// Reads a non-empty string.
  ///
  /// \param Check returns an error message for a value; empty if it is valid.
  void text(const char *Name, std::string &Target, bool Required = false,
            const std::function<std::string(const std::string &)> &Check = {});
  void flag(const char *Name, bool &Target);
  void real(const char *Name, double &Target, double Min, double Max);
  void milliseconds(const char *Name, Duration &Target, std::int64_t Min,
                    std::int64_t Max);

  template <typename Number>
  void integer(const char *Name, Number &Target, std::int64_t Min,
               std::int64_t Max) {
    if (const auto Value = readInteger(Name, Min, Max))
      Target = static_cast<Number>(*Value);
  }

  /// Reads one of the named values in \p Choices.
  template <typename Value>
  void choice(const char *Name, Value &Target,
              const std::vector<std::pair<std::string, Value>> &Choices) {
    std::string Text;
    std::string Allowed;
    for (const auto &[Choice, Mapped] : Choices)
      Allowed += (Allowed.empty() ? "" : ", ") + Choice;
    text(Name, Text, false, [&](const std::string &Given) -> std::string {
      for (const auto &[Choice, Mapped] : Choices)
        if (Choice == Given)
          return {};
      return "must be one of " + Allowed;
    });
    for (const auto &[Choice, Mapped] : Choices)
      if (Choice == Text)
        Target = Mapped;
  }

  /// Reads a nested mapping. An absent mapping counts as empty.
  void section(const char *Name,
               const std::function<void(SectionReader &)> &Read);
  /// Reports unknown and duplicate fields.
  void finish();

private:
  YAML::Node find(const char *Name);
  std::optional<std::int64_t> readInteger(const char *Name, std::int64_t Min,
                                          std::int64_t Max);
  std::string fieldPath(const std::string &Name) const;
  void report(const YAML::Mark &Mark, const std::string &Field,
              std::string Reason);

  ReadContext &m_Context;
  YAML::Node m_Section;
  std::string m_Path;
  std::set<std::string> m_ReadFields;
};

} // namespace balsamwheel::daemon
