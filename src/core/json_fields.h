// Decoding of JSON that other processes have written: rows of tables,
// heartbeats, configurations. Nothing about it can be taken for granted.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <concepts>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace balsamwheel {

/// A JSON text or field that can't be used. What it says quotes no values: they
/// may be secret, or too long for a log line.
class JsonFieldError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Levels of arrays and objects that a text may have. The library copies and
/// compares values by recursion.
inline constexpr std::size_t MaxJsonDepth = 32;

/// Whether the text has more than MaxJsonDepth levels. Complexity: linear in
/// the size of the text.
inline bool isTooDeep(std::string_view Text) {
  std::size_t Depth = 0;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Each = Text[Index];
    if (InString) {
      if (Each == '\\')
        ++Index;
      InString = Each != '"';
      continue;
    }
    if (Each == '"')
      InString = true;
    else if (Each == '[' || Each == '{')
      ++Depth;
    else if ((Each == ']' || Each == '}') && Depth > 0)
      --Depth;
    if (Depth > MaxJsonDepth)
      return true;
  }
  return false;
}

/// Parses a text of another process.
/// \throws JsonFieldError if it isn't JSON or has more than MaxJsonDepth
/// levels.
inline nlohmann::json parseForeignJson(std::string_view Text) {
  if (isTooDeep(Text))
    throw JsonFieldError("too many levels");
  nlohmann::json Result = nlohmann::json::parse(Text, nullptr, false);
  if (Result.is_discarded())
    throw JsonFieldError("no valid JSON");
  return Result;
}

/// Reads a whole number in a range of its type.
/// \throws JsonFieldError if the value is something else.
template <std::integral Number>
Number integerFrom(const nlohmann::json &Value,
                   Number Min = std::numeric_limits<Number>::min(),
                   Number Max = std::numeric_limits<Number>::max()) {
  const auto InRange = [&](auto Candidate) {
    return std::cmp_greater_equal(Candidate, Min) &&
           std::cmp_less_equal(Candidate, Max);
  };
  if (Value.is_number_unsigned()) {
    if (const auto Known = Value.get<std::uint64_t>(); InRange(Known))
      return static_cast<Number>(Known);
  } else if (Value.is_number_integer()) {
    if (const auto Known = Value.get<std::int64_t>(); InRange(Known))
      return static_cast<Number>(Known);
  } else if (Value.is_number_float()) {
    // Whole numbers that some writers encode as 4.0 or 4e0; beyond 2^53 they
    // aren't exact.
    const double Known = Value.get<double>();
    constexpr double MaxExact = 9007199254740992.0;
    if (std::trunc(Known) == Known && std::abs(Known) <= MaxExact &&
        InRange(static_cast<std::int64_t>(Known)))
      return static_cast<Number>(Known);
  }
  throw JsonFieldError("no whole number in its range");
}

/// Reads a time in seconds; a negative one counts as zero.
/// \throws JsonFieldError if it isn't a number, or is above a thousand days.
inline Duration durationFromSeconds(const nlohmann::json &Value) {
  constexpr double MaxSeconds = 86400.0 * 1000;
  const double Seconds = Value.is_number() ? Value.get<double>() : NAN;
  if (!(Seconds <= MaxSeconds))
    throw JsonFieldError("no time in its range");
  return Duration(
      static_cast<Duration::rep>(std::max(Seconds, 0.0) * 1'000'000));
}

/// Returns a field; null if the value isn't an object or has no such field.
inline const nlohmann::json *findField(const nlohmann::json &Object,
                                       const char *Name) {
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

/// Returns a field.
/// \throws JsonFieldError if there is no such field.
inline const nlohmann::json &fieldAt(const nlohmann::json &Object,
                                     const char *Name) {
  const nlohmann::json *Found = findField(Object, Name);
  if (!Found)
    throw JsonFieldError(std::string(Name) + ": missing");
  return *Found;
}

/// Returns the text of a string field.
/// \throws JsonFieldError if there is no such field.
inline const std::string &textAt(const nlohmann::json &Object,
                                 const char *Name) {
  const nlohmann::json *Found = findField(Object, Name);
  if (!Found || !Found->is_string())
    throw JsonFieldError(std::string(Name) + ": no text");
  return Found->get_ref<const std::string &>();
}

/// Returns an array field; an empty array if there is no such field.
/// \throws JsonFieldError if the field isn't an array.
inline const nlohmann::json &arrayAt(const nlohmann::json &Object,
                                     const char *Name) {
  static const nlohmann::json Empty = nlohmann::json::array();
  const nlohmann::json *Found = findField(Object, Name);
  if (Found && !Found->is_array())
    throw JsonFieldError(std::string(Name) + ": no array");
  return Found ? *Found : Empty;
}

} // namespace balsamwheel
