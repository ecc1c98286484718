// Connections to the daemons of the other instances: requests out and in,
// reports, and table rows passed on.
#pragma once

#include "event_log.h"
#include "router_settings.h"

#include "balsamwheel/detail/load/link_delay.h"

#include "link/peer_link.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamwheel {

/// Another instance, as its own row in the table describes it.
struct Member {
  InstanceName m_Instance;
  DomainName m_Domain;
  ServiceName m_Service;
  Endpoint m_Address;

  bool operator==(const Member &) const = default;
};

struct PeerMeshOptions {
  /// Shortest time between two reports to all peers.
  Duration m_ReportInterval = std::chrono::milliseconds(250);
  /// Added to it for each peer, so that large meshes cost no more.
  Duration m_ReportIntervalPerPeer = std::chrono::milliseconds(6);
  /// Reports missed in a row before a silent connection is given up.
  int m_MissedReports = 4;
  /// A request that has waited this long raises the question whether requests
  /// still reach the peer: longer than most requests take.
  Duration m_PingAfter = std::chrono::milliseconds(500);
  Duration m_FirstReconnect = std::chrono::milliseconds(100);
  Duration m_LongestReconnect = std::chrono::seconds(2);
};

struct PeerMeshEvents {
  /// A peer's request; answers go through answer() with the same link.
  std::function<void(std::uint64_t LinkId, LinkFrame &, std::string Body)>
      m_OnRequest;
  std::function<void(std::uint64_t LinkId, std::uint64_t Stream)> m_OnCancel;
  /// The peer behind the link has left: its requests are wanted no more.
  std::function<void(std::uint64_t LinkId)> m_OnCallerLost;
  std::function<void(const InstanceName &, const LinkFrame &)> m_OnReport;
  std::function<void(const LinkFrame &Rows)> m_OnRows;
  std::function<LinkFrame(const LinkFrame &Wanted)> m_OnRowsWanted;
  std::function<void(const InstanceName &)> m_OnPeerDown;
};

/// What became of a request that was passed on.
struct PeerReply {
  /// Null when the connection ended first: the request may have run.
  std::unique_ptr<LinkFrame> m_Answer;
  std::string m_Body;
};

/// Invariants: each request passed on ends exactly once, by its callback or by
/// cancel(); a peer is up only while its reports arrive.
class PeerMesh {
public:
  using OnReply = std::function<void(PeerReply)>;

  PeerMesh(EventLoop &Loop, EventLog &Log, const RouterSettings &Settings,
           PeerMeshOptions Options, PeerMeshEvents Events);
  ~PeerMesh();

  bool listen();
  /// Replaces the known members; this instance's own entry is ignored.
  void setMembers(const std::vector<Member> &Members);

  bool isUp(const InstanceName &Peer) const;
  /// Since when a peer has been out of reach; none while it is up.
  std::optional<TimePoint> downSince(const InstanceName &Peer) const;
  std::vector<InstanceName> upPeers() const;

  /// The frame's stream is set here. \returns 0 when the peer isn't up: then
  /// nothing was sent and the callback isn't called.
  std::uint64_t request(const InstanceName &Peer, LinkFrame Frame,
                        std::string_view Body, OnReply Done);
  void cancel(const InstanceName &Peer, std::uint64_t Stream);
  void answer(std::uint64_t LinkId, const LinkFrame &Frame,
              std::string_view Body);
  /// Like answer(), but large answers leave one after the other.
  void answerLarge(std::uint64_t LinkId, const LinkFrame &Frame,
                   std::string_view Body);
  /// Sends \p Report to all who are connected; \p ForService, if any, goes to
  /// those of this instance's service in its place.
  void broadcast(const LinkFrame &Report,
                 const std::optional<LinkFrame> &ForService);
  void askForRows(const InstanceName &Peer, const LinkFrame &Wanted);
  /// Bytes of answers that peers haven't taken yet.
  std::size_t pendingAnswers() const;
  /// Interval at which broadcast() is due.
  Duration reportInterval() const;

private:
  struct Waiting {
    OnReply m_Done;
    TimePoint m_Sent;
  };
  struct Peer {
    Member m_Member;
    std::unique_ptr<PeerLink> m_Link;
    bool m_Greeted = false;
    /// A report has arrived on the present connection.
    bool m_Up = false;
    TimePoint m_DownSince;
    TimePoint m_ConnectingSince;
    Duration m_Pause{0};
    TimePoint m_NextTry;
    std::map<std::uint64_t, Waiting> m_Waiting;
    /// When an answer or a pong last showed that requests reach the peer.
    TimePoint m_LastProof;
    /// A ping that hasn't been answered.
    std::optional<TimePoint> m_PingSent;
  };
  struct Caller {
    std::unique_ptr<PeerLink> m_Link;
    InstanceName m_Instance;
    ServiceName m_Service;
    LinkDelay m_Delay;
  };

  void connect(const InstanceName &Name, Peer &To);
  void drop(const InstanceName &Name, Peer &Of, const char *Why);
  void received(const InstanceName &Name, LinkFrame &Frame, std::string Body);
  void accepted(ACE_HANDLE Handle);
  void receivedFromCaller(std::uint64_t LinkId, LinkFrame &Frame,
                          std::string Body);
  void callerEnded(std::uint64_t LinkId);
  /// Begins with the next large answer if none is on its way.
  void sendNextLarge();
  void check();
  /// Finds out whether requests still reach a peer whose reports arrive: a
  /// connection may have gone silent one way only.
  void checkWaiting(const InstanceName &Name, Peer &Of);
  void proved(Peer &Of);
  Duration silenceLimit() const;
  /// This daemon's clock, for frames whose wait on the way is told.
  std::int64_t sentAt() const;

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings &m_Settings;
  PeerMeshOptions m_Options;
  PeerMeshEvents m_Events;
  Acceptor m_Acceptor;
  std::map<InstanceName, Peer> m_Peers;
  std::map<std::uint64_t, Caller> m_Callers;
  struct LargeAnswer {
    std::uint64_t m_Link;
    std::string m_Text;
  };
  std::deque<LargeAnswer> m_Large;
  /// Link that a large answer leaves on; 0 when there is none.
  std::uint64_t m_LargeOn = 0;
  std::uint64_t m_LastLink = 0;
  std::uint64_t m_LastStream = 0;
};

} // namespace balsamwheel
