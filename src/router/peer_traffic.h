// Counts the bytes that a daemon sends to its peers, by kind of frame and by
// the receiver's failure domain.
#pragma once

#include "link/peer_link.h"

#include <array>
#include <cstdint>
#include <utility>

namespace balsamwheel {

class PeerTraffic {
public:
  void add(LinkFrameKind Kind, bool OwnDomain, std::size_t Bytes) {
    m_Bytes[static_cast<std::size_t>(Kind)][OwnDomain ? 1 : 0] += Bytes;
  }
  void addBeat(bool OwnDomain, std::size_t Bytes) {
    m_Bytes[BeatIndex][OwnDomain ? 1 : 0] += Bytes;
  }

  /// Calls \p Visit(name of the kind, own domain, bytes) for all that has been
  /// counted since the last call.
  template <typename Visitor> void takeAll(Visitor Visit) {
    for (std::size_t Kind = 0; Kind < m_Bytes.size(); ++Kind)
      for (const bool OwnDomain : {false, true})
        if (const std::uint64_t Bytes =
                std::exchange(m_Bytes[Kind][OwnDomain ? 1 : 0], 0))
          Visit(Kind == BeatIndex
                    ? "Beat"
                    : link_wire::EnumNameKind(static_cast<LinkFrameKind>(Kind)),
                OwnDomain, Bytes);
  }

private:
  /// Beats are no frames and follow their kinds.
  static constexpr std::size_t BeatIndex =
      static_cast<std::size_t>(LinkFrameKind::MAX) + 1;

  std::array<std::array<std::uint64_t, 2>, BeatIndex + 1> m_Bytes{};
};

} // namespace balsamwheel
