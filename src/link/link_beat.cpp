// Layout of beats: structs of the schema, one after the other.
#include "link_beat.h"

#include <array>
#include <bit>
#include <cstring>
#include <type_traits>

namespace balsamwheel {

namespace {

constexpr std::uint16_t RowsPart = 1;
constexpr std::uint16_t AgePart = 2;

template <typename T> void append(std::string &Text, const T &Part) {
  static_assert(std::is_trivially_copyable_v<T>);
  const std::size_t At = Text.size();
  Text.resize(At + sizeof(T));
  std::memcpy(Text.data() + At, &Part, sizeof(T));
}

/// Takes a part from the start of \p Text. The size has been checked.
template <typename T> T take(std::string_view &Text) {
  static_assert(std::is_trivially_copyable_v<T>);
  std::array<char, sizeof(T)> Bytes{};
  Text.copy(Bytes.data(), Bytes.size());
  Text.remove_prefix(Bytes.size());
  return std::bit_cast<T>(Bytes);
}

} // namespace

std::string encodeBeat(const LinkBeat &Beat) {
  const link_wire::GateBeat &Gate = Beat.m_Gate;
  const int Parts = (Beat.m_Rows ? RowsPart : 0) + (Beat.m_Age ? AgePart : 0);
  std::string Text;
  append(Text, link_wire::GateBeat(Gate.service(), Gate.link_wait(),
                                   Gate.rate_limit(), Gate.spare_tokens(),
                                   Gate.running(), Gate.waiting(), Gate.slots(),
                                   static_cast<std::uint16_t>(Parts)));
  if (Beat.m_Rows)
    append(Text, *Beat.m_Rows);
  if (Beat.m_Age)
    append(Text, *Beat.m_Age);
  return Text;
}

std::optional<LinkBeat> decodeBeat(std::string_view Text) {
  if (Text.size() < sizeof(link_wire::GateBeat))
    return std::nullopt;
  LinkBeat Beat{.m_Gate = take<link_wire::GateBeat>(Text)};
  const bool HasRows = (Beat.m_Gate.parts() & RowsPart) != 0;
  const bool HasAge = (Beat.m_Gate.parts() & AgePart) != 0;
  if (Text.size() != (HasRows ? sizeof(link_wire::RowsBeat) : 0) +
                         (HasAge ? sizeof(link_wire::AgeBeat) : 0))
    return std::nullopt;
  if (HasRows)
    Beat.m_Rows = take<link_wire::RowsBeat>(Text);
  if (HasAge)
    Beat.m_Age = take<link_wire::AgeBeat>(Text);
  return Beat;
}

} // namespace balsamwheel
