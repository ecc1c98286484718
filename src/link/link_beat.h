// Compact reports between the daemons of instances. A full report is a frame of
// 200 bytes and more, most of which rarely changes; a beat has a fixed layout
// and only the parts that have changed.
#pragma once

#include "link_generated.h"

#include <optional>
#include <string>
#include <string_view>

namespace balsamwheel {

struct LinkBeat {
  /// Its field "parts" is set by encodeBeat().
  link_wire::GateBeat m_Gate;
  std::optional<link_wire::RowsBeat> m_Rows;
  std::optional<link_wire::AgeBeat> m_Age;
};

/// Encodes a beat without the length that precedes it on the wire.
std::string encodeBeat(const LinkBeat &Beat);

/// Decodes what encodeBeat() returned; none when the size doesn't match the
/// parts that the beat names.
std::optional<LinkBeat> decodeBeat(std::string_view Text);

} // namespace balsamwheel
