// What the router does for the quotas of organisations.
#include "router.h"

#include <algorithm>

namespace balsamwheel {

QuotaCallbacks Router::quotaCallbacks() {
  return {.m_UpPeers = [this] { return m_Mesh.upPeers(); },
          .m_Members =
              [this] {
                std::set<InstanceName> Result;
                for (const Member &Each : m_Members)
                  Result.insert(Each.m_Instance);
                return Result;
              },
          .m_Send =
              [this](const InstanceName &Peer, LinkFrameKind Kind,
                     const std::string &Body) {
                LinkFrame Frame;
                Frame.kind = Kind;
                m_Mesh.send(Peer, Frame, Body);
              },
          .m_Answer =
              [this](std::uint64_t Link, LinkFrameKind Kind,
                     const std::string &Body) {
                LinkFrame Frame;
                Frame.kind = Kind;
                m_Mesh.answer(Link, Frame, Body);
              },
          .m_IsWriter = [this] { return isSharesWriter(); },
          .m_Row =
              [this] {
                return m_Follower.mirror().find(TableName::Own,
                                                QuotaService::sharesRow());
              },
          .m_ReadEra = [this]() -> std::optional<StoreEra> {
            if (!m_Follower.hasRead(TableName::Own))
              return std::nullopt;
            return m_Follower.era();
          },
          .m_OnRow = [this](const MirroredRow &Row) { publishRow(Row); },
          .m_OnEra = [this](StoreEra Era) { m_Follower.noteEra(Era); }};
}

bool Router::isSharesWriter() const {
  if (!m_Follower.isReachable(TableName::Own))
    return false;
  return std::none_of(m_Members.begin(), m_Members.end(),
                      [&](const Member &Each) {
                        return Each.m_Instance < m_Settings.m_Instance &&
                               reachesTable(Each.m_Instance);
                      });
}

} // namespace balsamwheel
