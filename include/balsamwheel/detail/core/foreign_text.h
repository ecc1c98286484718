// Identifiers and tokens whose text other processes choose.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace balsamwheel {

/// Whether \p Text is valid UTF-8 (RFC 3629). Complexity: linear.
constexpr bool isUtf8(std::string_view Text) {
  for (std::size_t Index = 0; Index < Text.size();) {
    const auto Lead = static_cast<unsigned char>(Text[Index++]);
    if (Lead < 0x80)
      continue;
    // 0xc0 and 0xc1 would begin a longer encoding than necessary.
    const std::size_t Following = Lead < 0xc2   ? 0
                                  : Lead < 0xe0 ? 1
                                  : Lead < 0xf0 ? 2
                                  : Lead < 0xf5 ? 3
                                                : 0;
    if (Following == 0 || Text.size() - Index < Following)
      return false;
    std::uint32_t CodePoint = Lead & (0x3fU >> Following);
    for (std::size_t Byte = 0; Byte < Following; ++Byte) {
      const auto Next = static_cast<unsigned char>(Text[Index++]);
      if ((Next & 0xc0U) != 0x80)
        return false;
      CodePoint = CodePoint << 6U | (Next & 0x3fU);
    }
    const bool Overlong = (Following == 2 && CodePoint < 0x800) ||
                          (Following == 3 && CodePoint < 0x10000);
    const bool Surrogate = CodePoint >= 0xd800 && CodePoint <= 0xdfff;
    if (Overlong || Surrogate || CodePoint > 0x10ffff)
      return false;
  }
  return true;
}

/// Whether \p Text has a control character of ASCII. Complexity: linear.
constexpr bool hasControlCharacter(std::string_view Text) {
  for (const char Each : Text)
    if (const auto Code = static_cast<unsigned char>(Each);
        Code < 0x20 || Code == 0x7f)
      return true;
  return false;
}

/// A text of another process that is stored in rows and sent in headers.
///
/// Invariant: valid UTF-8 without control characters, of at most
/// MaxForeignTextBytes; so that encoding it as JSON or as a header can't fail.
///
/// \tparam Tag distinguishes texts of different meaning.
template <typename Tag> class ForeignText {
public:
  /// Creates an empty text.
  ForeignText() = default;
  /// \returns none if the invariant doesn't hold for \p Text.
  static std::optional<ForeignText> fromText(std::string Text);

  const std::string &value() const { return m_Value; }
  bool empty() const { return m_Value.empty(); }
  auto operator<=>(const ForeignText &) const = default;

private:
  explicit ForeignText(std::string Text) : m_Value(std::move(Text)) {}

  std::string m_Value;
};

inline constexpr std::size_t MaxForeignTextBytes = 200;

template <typename Tag>
std::optional<ForeignText<Tag>> ForeignText<Tag>::fromText(std::string Text) {
  if (Text.size() > MaxForeignTextBytes || hasControlCharacter(Text) ||
      !isUtf8(Text))
    return std::nullopt;
  return ForeignText(std::move(Text));
}

/// Id of a target, chosen by the target; empty means none.
using TargetId = ForeignText<struct TargetIdTag>;

/// With which the next owner of keys starts in a warm state; chosen by the
/// target that has released them; empty means none.
using HandoverToken = ForeignText<struct HandoverTokenTag>;

} // namespace balsamwheel
