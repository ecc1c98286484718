// What the parts of a node share: the coordinator, the effects, the loopback.
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

/// Lives as long as the node. Messages to the node's own address are queued
/// and handled before the current call returns.
class NodeContext {
public:
  NodeContext(CoordinatorOptions Options, std::uint64_t Seed)
      : m_Self(Options.m_Peer), m_Coordinator(std::move(Options), Seed),
        m_RandomState(mixHash(Seed, RandomSalt)) {
    m_StreamRun = random() << 32U;
  }

  Coordinator &coordinator() { return m_Coordinator; }
  const Coordinator &coordinator() const { return m_Coordinator; }
  const PeerAddress &self() const { return m_Self; }
  bool isSelf(const PeerAddress &Peer) const { return Peer == m_Self; }

  void emit(Effect Value) { m_Effects.push_back(std::move(Value)); }

  void send(const PeerAddress &To, RequestMessage Message) {
    if (isSelf(To))
      m_Loopback.push_back(std::move(Message));
    else
      emit(SendRequest{.m_To = To, .m_Message = std::move(Message)});
  }

  std::deque<RequestMessage> &loopback() { return m_Loopback; }

  const Effects &effects() const { return m_Effects; }

  /// Moves the coordinator's effects to the node's own.
  void collectEffects() {
    for (Effect &Value : m_Coordinator.takeEffects())
      m_Effects.push_back(std::move(Value));
  }

  Effects takeEffects() {
    collectEffects();
    return std::exchange(m_Effects, {});
  }

  /// A new stream id, unique over all runs of all daemons.
  std::uint64_t nextStream() { return m_StreamRun | ++m_StreamCounter; }

  /// The caller's request behind a stream to this daemon itself.
  std::unordered_map<std::uint64_t, RequestHandle> &localRequests() {
    return m_LocalRequests;
  }

  /// Remembers the session of the moment as one of this run's.
  void noteSession() { m_OwnSessions.insert(m_Coordinator.session()); }

  /// Whether a session is this run's, now or earlier.
  bool isOwnSession(SessionId Session) const {
    return m_OwnSessions.contains(Session);
  }

  std::uint64_t random() {
    m_RandomState = mixHash(m_RandomState, RandomSalt);
    return m_RandomState;
  }

  /// Null when the service is unknown; valid while \p Held lives.
  const Service *findService(const ServiceName &Name,
                             std::shared_ptr<const Config> &Held) const {
    Held = m_Coordinator.config();
    return Held ? Held->m_Manifest.findService(Name) : nullptr;
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
  /// Upper half of every stream id of this run.
  std::uint64_t m_StreamRun = 0;
  std::uint32_t m_StreamCounter = 0;
};

} // namespace balsamwheel
