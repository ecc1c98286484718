// Detects unresponsive connections by probing peers to which messages are sent.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/node/context.h"
#include "balsamwheel/detail/node/effects.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

namespace balsamwheel {

/// Probes peers and resets connections on which no probe reply arrives. Idle
/// peers are not probed.
class PeerWatch {
public:
  using OnReset = std::function<void(const PeerAddress &, TimePoint)>;

  /// \param MinResetInterval minimum time between two resets of a connection.
  PeerWatch(NodeContext &Context, Duration MinResetInterval)
      : m_Context(Context), m_MinResetInterval(MinResetInterval) {}

  /// Sets a callback that is called for each connection that is reset.
  void setOnReset(OnReset Handler) { m_OnReset = std::move(Handler); }

  /// Sends a probe.
  ///
  /// \returns its nonce, never 0.
  std::uint64_t probe(const PeerAddress &Peer);
  /// Whether the peer has answered this probe or a later one.
  bool answered(const PeerAddress &Peer, std::uint64_t Nonce) const;
  void onProbeReply(const PeerAddress &From, std::uint64_t Nonce);
  /// Resets the connection unless it was reset within the minimum interval.
  void reset(const PeerAddress &Peer, TimePoint Now);

  /// Called when a message without a receipt of its own was sent: probes the
  /// connection, at most once per MinProbeInterval while probes are answered.
  void onSent(const PeerAddress &Peer, TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const { return m_WakeAt; }

private:
  struct Check {
    std::uint64_t m_Nonce = 0;
    /// When the pending probe times out; max if none is pending.
    TimePoint m_EvaluateAt = TimePoint::max();
    /// No probe is sent before this time.
    TimePoint m_NextAt = TimePoint::min();
  };

  NodeContext &m_Context;
  Duration m_MinResetInterval;
  OnReset m_OnReset;
  std::uint64_t m_LastNonce = 0;
  std::unordered_map<PeerAddress, std::uint64_t> m_HighestAnswered;
  std::unordered_map<PeerAddress, TimePoint> m_LastResets;
  std::unordered_map<PeerAddress, Check> m_Checks;
  TimePoint m_WakeAt = TimePoint::max();
};

} // namespace balsamwheel
