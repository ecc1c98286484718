// State shared by the parts of a node: the coordinator, the pending effects and
// the loopback queue.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/core/hash.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/wire/request.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace balsamwheel {

/// Shared state; lives as long as the node. Messages to the node's own address
/// go to a loopback queue, which the node empties before the current call
/// returns.
class NodeContext {
public:
  NodeContext(CoordinatorOptions Options, std::uint64_t Seed)
      : m_Self(Options.m_Peer), m_Coordinator(std::move(Options), Seed),
        m_RandomState(mixHash(Seed, RandomSalt)) {
    m_StreamPrefix = random() << 32U;
  }

  Coordinator &coordinator() { return m_Coordinator; }
  const Coordinator &coordinator() const { return m_Coordinator; }
  const PeerAddress &self() const { return m_Self; }
  bool isSelf(const PeerAddress &Peer) const { return Peer == m_Self; }

  void emit(Effect Value) { m_Effects.push_back(std::move(Value)); }

  void send(const PeerAddress &Receiver, RequestMessage Message) {
    if (isSelf(Receiver))
      m_Loopback.push_back(std::move(Message));
    else
      emit(SendRequest{.m_To = Receiver, .m_Message = std::move(Message)});
  }

  std::deque<RequestMessage> &loopback() { return m_Loopback; }

  const Effects &effects() const { return m_Effects; }

  /// Moves the coordinator's pending effects to those of the node.
  void collectEffects() {
    for (Effect &Value : m_Coordinator.takeEffects())
      m_Effects.push_back(std::move(Value));
  }

  Effects takeEffects() {
    collectEffects();
    return std::exchange(m_Effects, {});
  }

  /// Returns a new stream id. Its upper 32 bits are random per run, so that ids
  /// differ between all runs of all daemons.
  std::uint64_t nextStream() { return m_StreamPrefix | ++m_StreamCounter; }

  /// The caller's request for each stream sent to this daemon itself.
  std::unordered_map<std::uint64_t, RequestHandle> &localRequests() {
    return m_LocalRequests;
  }

  /// Records the current session as one of this run.
  void recordSession() { m_OwnSessions.insert(m_Coordinator.session()); }

  /// Whether this run has or had this session.
  bool isOwnSession(SessionId Session) const {
    return m_OwnSessions.contains(Session);
  }

  std::uint64_t random() {
    m_RandomState = mixHash(m_RandomState, RandomSalt);
    return m_RandomState;
  }

  /// Returns null if the service is unknown. The result is valid as long as
  /// \p KeepAlive, which is set to the configuration that owns it.
  const Service *findService(const ServiceName &Name,
                             std::shared_ptr<const Config> &KeepAlive) const {
    KeepAlive = m_Coordinator.config();
    return KeepAlive ? KeepAlive->m_Manifest.findService(Name) : nullptr;
  }

private:
  static constexpr std::uint64_t RandomSalt = 0x9E3779B97F4A7C15U;

  PeerAddress m_Self;
  Coordinator m_Coordinator;
  Effects m_Effects;
  std::deque<RequestMessage> m_Loopback;
  std::unordered_map<std::uint64_t, RequestHandle> m_LocalRequests;
  std::unordered_set<SessionId> m_OwnSessions;
  std::uint64_t m_RandomState;
  /// Upper 32 bits of every stream id of this run.
  std::uint64_t m_StreamPrefix = 0;
  std::uint32_t m_StreamCounter = 0;
};

} // namespace balsamwheel
