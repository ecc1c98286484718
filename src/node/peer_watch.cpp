// Implements the probing and resetting of connections.
#include "balsamwheel/detail/node/peer_watch.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Minimum interval between two probes of a connection that carries control
/// messages, as long as the probes are answered.
constexpr Duration MinProbeInterval = std::chrono::milliseconds(500);
/// A connection without a probe reply within this time is reset.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(150);

} // namespace

std::uint64_t PeerWatch::probe(const PeerAddress &Peer) {
  const std::uint64_t Nonce = ++m_LastNonce;
  m_Context.send(Peer, Probe{.m_Nonce = Nonce});
  return Nonce;
}

bool PeerWatch::answered(const PeerAddress &Peer, std::uint64_t Nonce) const {
  const auto It = m_HighestAnswered.find(Peer);
  return It != m_HighestAnswered.end() && It->second >= Nonce;
}

void PeerWatch::onProbeReply(const PeerAddress &From, std::uint64_t Nonce) {
  // Ignores replies to probes of an earlier run of this daemon.
  if (Nonce > m_LastNonce)
    return;
  std::uint64_t &Highest = m_HighestAnswered[From];
  Highest = std::max(Highest, Nonce);
}

void PeerWatch::reset(const PeerAddress &Peer, TimePoint Now) {
  const auto [It, Inserted] = m_LastResets.try_emplace(Peer, Now);
  if (!Inserted && Now - It->second < m_MinResetInterval)
    return;
  It->second = Now;
  m_Context.emit(ResetPeer{.m_Peer = Peer});
  if (m_OnReset)
    m_OnReset(Peer, Now);
}

void PeerWatch::onSent(const PeerAddress &Peer, TimePoint Now) {
  Check &Current = m_Checks[Peer];
  if (Current.m_EvaluateAt != TimePoint::max() || Now < Current.m_NextAt)
    return;
  Current.m_Nonce = probe(Peer);
  Current.m_EvaluateAt = Now + ProbeTimeout;
  Current.m_NextAt = Now + MinProbeInterval;
  m_WakeAt = std::min(m_WakeAt, Current.m_EvaluateAt);
}

void PeerWatch::onTick(TimePoint Now) {
  if (Now < m_WakeAt)
    return;
  m_WakeAt = TimePoint::max();
  for (auto &[Peer, Current] : m_Checks) {
    if (Current.m_EvaluateAt > Now) {
      m_WakeAt = std::min(m_WakeAt, Current.m_EvaluateAt);
      continue;
    }
    Current.m_EvaluateAt = TimePoint::max();
    if (answered(Peer, Current.m_Nonce))
      continue;
    Current.m_NextAt = Now;
    reset(Peer, Now);
  }
}

} // namespace balsamwheel
