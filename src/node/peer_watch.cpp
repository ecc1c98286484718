// Probes and resets of connections.
#include "balsamwheel/detail/node/peer_watch.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// A connection that carries control messages is checked once in this time.
constexpr Duration CheckPeriod = std::chrono::milliseconds(500);
constexpr Duration CheckPatience = std::chrono::milliseconds(150);

} // namespace

std::uint64_t PeerWatch::probe(const PeerAddress &Peer) {
  const std::uint64_t Nonce = ++m_LastNonce;
  m_Context.send(Peer, Probe{.m_Nonce = Nonce});
  return Nonce;
}

bool PeerWatch::answered(const PeerAddress &Peer, std::uint64_t Nonce) const {
  const auto It = m_Answered.find(Peer);
  return It != m_Answered.end() && It->second >= Nonce;
}

void PeerWatch::onProbeReply(const PeerAddress &From, std::uint64_t Nonce) {
  // A reply to a former run of this daemon must not count.
  if (Nonce > m_LastNonce)
    return;
  std::uint64_t &Highest = m_Answered[From];
  Highest = std::max(Highest, Nonce);
}

void PeerWatch::reset(const PeerAddress &Peer, TimePoint Now) {
  const auto [It, Inserted] = m_Resets.try_emplace(Peer, Now);
  if (!Inserted && Now - It->second < m_Patience)
    return;
  It->second = Now;
  m_Context.emit(ResetPeer{.m_Peer = Peer});
  if (m_OnReset)
    m_OnReset(Peer, Now);
}

void PeerWatch::onSent(const PeerAddress &Peer, TimePoint Now) {
  Check &Current = m_Checks[Peer];
  if (Current.m_JudgeAt != TimePoint::max() || Now < Current.m_NextAt)
    return;
  Current.m_Nonce = probe(Peer);
  Current.m_JudgeAt = Now + CheckPatience;
  Current.m_NextAt = Now + CheckPeriod;
  m_Wake = std::min(m_Wake, Current.m_JudgeAt);
}

void PeerWatch::onTick(TimePoint Now) {
  if (Now < m_Wake)
    return;
  m_Wake = TimePoint::max();
  for (auto &[Peer, Current] : m_Checks) {
    if (Current.m_JudgeAt > Now) {
      m_Wake = std::min(m_Wake, Current.m_JudgeAt);
      continue;
    }
    Current.m_JudgeAt = TimePoint::max();
    if (answered(Peer, Current.m_Nonce))
      continue;
    Current.m_NextAt = Now;
    reset(Peer, Now);
  }
}

} // namespace balsamwheel
