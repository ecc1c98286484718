// Detection of lost peers, whatever the interval between reports is.
#include "router/peer_mesh.h"
#include "router_rig.h"
#include "support/peer_stand_in.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// A mesh with the report interval of a large deployment and one peer, which
/// sends a report on each connection and nothing else.
struct SilentPeer {
  SilentPeer() {
    m_Settings.m_Instance = InstanceName("a");
    m_Settings.m_Peers = freeEndpoint();
    m_Mesh = std::make_unique<PeerMesh>(
        m_Rig.m_Loop, m_Rig.m_Log, m_Settings,
        PeerMeshOptions{.m_ReportInterval = 10s},
        PeerMeshEvents{
            .m_OnReport = [](const InstanceName &, const LinkFrame &) {},
            .m_OnPeerDown = [this](const InstanceName &) { m_Lost = true; }});
    REQUIRE(m_Mesh->listen());
    m_Mesh->setMembers({{.m_Instance = m_Peer,
                         .m_Domain = DomainName("d"),
                         .m_Service = m_Service,
                         .m_Address = m_Remote.address()}});
    REQUIRE(m_Rig.runUntil([&] { return m_Mesh->isUp(m_Peer); }));
  }

  const InstanceName m_Peer{"b"};
  const ServiceName m_Service{"keyed"};
  Rig m_Rig;
  RouterSettings m_Settings;
  PeerStandIn m_Remote{m_Rig.m_Loop};
  std::unique_ptr<PeerMesh> m_Mesh;
  bool m_Lost = false;
};

} // namespace

TEST_CASE("a lost peer with requests is noticed long before its next report") {
  SilentPeer Silent;
  bool Ended = false;
  Silent.m_Mesh->request(Silent.m_Peer, {}, "", [&](const PeerReply &Reply) {
    Ended = !Reply.m_Answer;
  });
  Silent.m_Rig.runFor(3s);
  CHECK(Silent.m_Lost);
  CHECK(Ended);
}

TEST_CASE("a lost owner of keys is noticed without requests to it") {
  SilentPeer Silent;
  Silent.m_Mesh->watchService(Silent.m_Service);
  Silent.m_Rig.runFor(3s);
  CHECK(Silent.m_Lost);
}

TEST_CASE("an idle peer isn't taken for lost between two reports") {
  SilentPeer Silent;
  Silent.m_Mesh->watchService(ServiceName("other"));
  Silent.m_Rig.runFor(3s);
  CHECK_FALSE(Silent.m_Lost);
}
