// State that the parts of one coordinator share.
#pragma once

#include "balsamwheel/detail/coordination/cluster_view.h"
#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/coordination/table_client.h"
#include "balsamwheel/detail/node/effects.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <utility>

namespace balsamwheel {

/// Options, view, table client and outgoing effects of one coordinator.
struct CoordinationContext {
  CoordinationContext(CoordinatorOptions Options, std::uint64_t Seed);
  // The table client holds a pointer to the effects.
  CoordinationContext(const CoordinationContext &) = delete;
  CoordinationContext &operator=(const CoordinationContext &) = delete;

  CoordinatorOptions m_Options;
  pcg64 m_Random;
  /// Replaced by a new session after each expulsion.
  SessionId m_Session;
  Effects m_Effects;
  TableClient m_Table;
  ClusterView m_View;
  /// Changes of the view that the coordinator has not yet passed to its parts.
  ClusterView::Change m_PendingChange;

  /// Sends to a peer; messages to the local address are dropped.
  void send(const PeerAddress &Receiver, ControlMessage Message);
  /// Sends to a live session; drops the message if the session is unknown.
  void sendTo(SessionId Receiver, ControlMessage Message);
  /// Merges rows into the view and records what changed.
  void merge(const std::vector<Row> &Rows);

  /// A random session id other than 0.
  SessionId newSession();
  WriteId newWriteId();
  /// A uniformly distributed duration in [0, Bound).
  Duration jitter(Duration Bound);
};

/// Sets \p Wake to \p Other if that is earlier.
inline void keepEarlier(TimePoint &Wake, TimePoint Other) {
  if (Other < Wake)
    Wake = Other;
}

/// The time of a timer that is not set.
inline constexpr TimePoint Never = TimePoint::max();

} // namespace balsamwheel
