// What the parts of one coordinator share.
#pragma once

#include "balsamwheel/detail/coordination/cluster_view.h"
#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/coordination/table_client.h"
#include "balsamwheel/detail/node/effects.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <utility>

namespace balsamwheel {

struct CoordinationContext {
  CoordinationContext(CoordinatorOptions Options, std::uint64_t Seed);
  // The table client holds a pointer to the effects.
  CoordinationContext(const CoordinationContext &) = delete;
  CoordinationContext &operator=(const CoordinationContext &) = delete;

  CoordinatorOptions m_Options;
  pcg64 m_Random;
  /// A new one after each expulsion.
  SessionId m_Session;
  Effects m_Effects;
  TableClient m_Table;
  ClusterView m_View;
  /// Merged changes that the coordinator has not yet passed to its parts.
  ClusterView::Change m_Changed;

  void send(const PeerAddress &Receiver, ControlMessage Message);
  /// Sends to a live session; drops the message if there is no such.
  void sendTo(SessionId Receiver, ControlMessage Message);
  /// Merges rows and notes what changed.
  void merge(const std::vector<Row> &Rows);

  SessionId newSession();
  WriteId newWriteId();
  /// A uniform time in [0, Bound).
  Duration jitter(Duration Bound);
};

/// The time of the earlier of two timers.
inline void keepEarlier(TimePoint &Wake, TimePoint Other) {
  if (Other < Wake)
    Wake = Other;
}

inline constexpr TimePoint Never = TimePoint::max();

} // namespace balsamwheel
