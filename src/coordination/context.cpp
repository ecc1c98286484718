// Messages, changes of the view and random values for the parts of a
// coordinator.
#include "balsamwheel/detail/coordination/context.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>

namespace balsamwheel {

CoordinationContext::CoordinationContext(CoordinatorOptions Options,
                                         std::uint64_t Seed)
    : m_Options(std::move(Options)),
      m_Random(Seed, hashKey(m_Options.m_Instance.value()).value()),
      m_Session(newSession()), m_Table(m_Effects) {}

void CoordinationContext::send(const PeerAddress &Receiver,
                               ControlMessage Message) {
  if (Receiver != m_Options.m_Peer)
    m_Effects.push_back(SendControl{Receiver, std::move(Message)});
}

void CoordinationContext::sendTo(SessionId Receiver, ControlMessage Message) {
  if (const Member *Found = m_View.findMember(Receiver))
    send(Found->m_Peer, std::move(Message));
}

void CoordinationContext::merge(const std::vector<Row> &Rows) {
  ClusterView::Change Next = m_View.merge(Rows);
  m_PendingChange.m_Any = m_PendingChange.m_Any || Next.m_Any;
  m_PendingChange.m_Members = m_PendingChange.m_Members || Next.m_Members;
  m_PendingChange.m_Config = m_PendingChange.m_Config || Next.m_Config;
  std::ranges::move(Next.m_MapRowKeys,
                    std::back_inserter(m_PendingChange.m_MapRowKeys));
}

SessionId CoordinationContext::newSession() {
  std::uint64_t Result = 0;
  while (Result == 0)
    Result = m_Random();
  return SessionId(Result);
}

WriteId CoordinationContext::newWriteId() {
  return WriteId(newSession().value());
}

Duration CoordinationContext::jitter(Duration Bound) {
  const auto Count = static_cast<std::uint64_t>(Bound.count());
  return Duration(static_cast<Duration::rep>(m_Random() % Count));
}

} // namespace balsamwheel
