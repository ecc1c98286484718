// Stand-in for a daemon that others connect to.
#pragma once

#include "link/peer_link.h"
#include "raw_server.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamwheel::tests {

/// Accepts links, sends a report on each new one, and passes on the frames that
/// arrive.
class PeerStandIn {
public:
  using OnFrame = std::function<void(PeerLink &, const LinkFrame &)>;

  explicit PeerStandIn(EventLoop &Loop, OnFrame Handler = {})
      : m_Handler(std::move(Handler)),
        m_Acceptor(Loop, [this, &Loop](ACE_HANDLE Handle) {
          accept(Loop, Handle);
          m_Links.back()->send(report());
        }) {
    REQUIRE(m_Acceptor.listen(m_Address));
  }

  const Endpoint &address() const { return m_Address; }
  /// Value of its row among the members.
  std::string memberRow(const std::string &Service) const {
    return R"({"address":")" + m_Address.toText() +
           R"(","domain":"d","service":")" + Service + R"("})";
  }
  /// Sends another report on each link.
  void sendReports() {
    for (const auto &Link : m_Links)
      Link->send(report());
  }
  std::size_t accepted() const { return m_Links.size(); }
  int closed() const { return m_ClosedCount; }

  /// In the reports.
  std::string m_TargetId = "t";

private:
  /// Of a target with free slots.
  LinkFrame report() const {
    LinkFrame Frame;
    Frame.kind = LinkFrameKind::Report;
    Frame.gate = std::make_unique<link_wire::GateStateT>();
    Frame.gate->slots = 4;
    Frame.target_id = m_TargetId;
    return Frame;
  }

  void accept(EventLoop &Loop, ACE_HANDLE Handle) {
    const std::size_t Index = m_Links.size();
    PeerLinkEvents Events;
    Events.m_OnFrame = [this, Index](std::unique_ptr<LinkFrame> Frame,
                                     const LinkBody &) {
      if (m_Handler)
        m_Handler(*m_Links[Index], *Frame);
    };
    Events.m_OnEnd = [this](const char *) { ++m_ClosedCount; };
    m_Links.push_back(std::make_unique<PeerLink>(Loop, std::move(Events)));
    REQUIRE(m_Links.back()->adopt(Handle));
  }

  OnFrame m_Handler;
  Endpoint m_Address = *Endpoint::fromText(freeAddress());
  std::vector<std::unique_ptr<PeerLink>> m_Links;
  int m_ClosedCount = 0;
  Acceptor m_Acceptor;
};

} // namespace balsamwheel::tests
