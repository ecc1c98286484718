// Finds connections that went silent, by probes beside the traffic on them.
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

/// Probes peers and resets the connections that do not answer. Idle peers are
/// never probed.
class PeerWatch {
public:
  using OnReset = std::function<void(const PeerAddress &, TimePoint)>;

  PeerWatch(NodeContext &Context, Duration Patience)
      : m_Context(Context), m_Patience(Patience) {}

  /// Called for each connection that is reset.
  void setOnReset(OnReset Handler) { m_OnReset = std::move(Handler); }

  /// Sends a probe. \returns its nonce, never 0.
  std::uint64_t probe(const PeerAddress &Peer);
  /// Whether the peer answered this probe or a later one.
  bool answered(const PeerAddress &Peer, std::uint64_t Nonce) const;
  void onProbeReply(const PeerAddress &From, std::uint64_t Nonce);
  /// Resets the connection unless that was done within the patience.
  void reset(const PeerAddress &Peer, TimePoint Now);

  /// A message that expects a reaction was sent: checks the connection, at
  /// most once in a while.
  void onSent(const PeerAddress &Peer, TimePoint Now);
  void onTick(TimePoint Now);
  TimePoint nextWake() const { return m_Wake; }

private:
  struct Check {
    std::uint64_t m_Nonce = 0;
    /// When the silence of the open check is judged, max for none.
    TimePoint m_JudgeAt = TimePoint::max();
    TimePoint m_NextAt = TimePoint::min();
  };

  NodeContext &m_Context;
  Duration m_Patience;
  OnReset m_OnReset;
  std::uint64_t m_LastNonce = 0;
  std::unordered_map<PeerAddress, std::uint64_t> m_Answered;
  std::unordered_map<PeerAddress, TimePoint> m_Resets;
  std::unordered_map<PeerAddress, Check> m_Checks;
  TimePoint m_Wake = TimePoint::max();
};

} // namespace balsamwheel
