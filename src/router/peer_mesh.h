// Connections between this daemon and those of the other instances. They carry
// forwarded requests, load reports and table rows.
#pragma once

#include "event_log.h"
#include "peer_traffic.h"
#include "report_schedule.h"
#include "router_settings.h"

#include "balsamwheel/detail/load/link_delay.h"

#include "link/peer_link.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace balsamwheel {

/// An instance, as described by its row in the daemons' own table.
struct Member {
  InstanceName m_Instance;
  DomainName m_Domain;
  ServiceName m_Service;
  Endpoint m_Address;

  bool operator==(const Member &) const = default;
};

struct PeerMeshOptions {
  /// Interval between two reports to all peers, without the additional time for
  /// each peer.
  Duration m_ReportInterval = std::chrono::milliseconds(250);
  /// Added to the interval for each peer, so that the number of reports that a
  /// daemon sends per second stays bounded as the mesh grows.
  Duration m_ReportIntervalPerPeer = std::chrono::milliseconds(6);
  /// With at least this many peers, a report that tells nothing new, or nothing
  /// much to another failure domain, waits for two intervals. In a smaller mesh
  /// the interval is short, and a lost packet would leave too little time until
  /// the connection counts as silent.
  std::size_t m_MinPeersForPauses = 50;
  /// Interval between two full reports to a peer without a change, at least and
  /// for each peer: they would be most of the traffic in a large mesh.
  Duration m_FullReportInterval = std::chrono::seconds(30);
  Duration m_FullReportIntervalPerPeer = std::chrono::milliseconds(400);
  /// A connection that has been silent for this many report intervals is
  /// closed.
  int m_MaxMissedReports = 4;
  /// A request that has waited this long triggers a ping, to find out whether
  /// requests still reach the peer. Longer than most requests take.
  Duration m_PingAfter = std::chrono::milliseconds(500);
  /// A connection whose ping isn't answered for this long is closed, however
  /// long the interval between reports is.
  Duration m_PingTimeout = std::chrono::milliseconds(1300);
  Duration m_MinReconnectDelay = std::chrono::milliseconds(100);
  Duration m_MaxReconnectDelay = std::chrono::seconds(2);
  /// For the bodies of peers' requests; null means no limit. Must outlive the
  /// mesh.
  BodyRoom *m_BodyRoom = nullptr;
};

struct PeerMeshEvents {
  /// A peer's request; it is answered by answer() or answerLarge() with the
  /// same link.
  std::function<void(std::uint64_t LinkId, LinkFrame &, HttpBody Body)>
      m_OnRequest;
  /// A peer's request whose body has found no room.
  std::function<void(std::uint64_t LinkId, std::uint64_t Stream)>
      m_OnRequestWithoutRoom;
  std::function<void(std::uint64_t LinkId, std::uint64_t Stream)> m_OnCancel;
  /// A peer's request is to be refused if it hasn't begun.
  std::function<void(std::uint64_t LinkId, std::uint64_t Stream)> m_OnWithdraw;
  /// A peer's connection has ended: its requests are to be cancelled.
  std::function<void(std::uint64_t LinkId)> m_OnInboundClosed;
  std::function<void(const InstanceName &, const LinkFrame &)> m_OnReport;
  /// Follows a report on the same connection.
  std::function<void(const InstanceName &, const LinkBeat &)> m_OnBeat;
  std::function<void(const LinkFrame &Rows)> m_OnRows;
  std::function<LinkFrame(const LinkFrame &Wanted)> m_OnRowsWanted;
  std::function<void(const InstanceName &, const LinkFrame &)> m_OnTableFresh;
  /// A peer's question; it is answered by answer() with the same link.
  std::function<void(std::uint64_t LinkId, const LinkFrame &)>
      m_OnMapCheckWanted;
  std::function<void(const LinkFrame &)> m_OnMapChecked;
  std::function<void(const InstanceName &, const LinkFrame &)> m_OnMapChanges;
  /// A peer has connected; frames can be sent by answer().
  std::function<void(std::uint64_t LinkId)> m_OnPeerConnected;
  /// News of requests that may crash targets.
  std::function<void(const InstanceName &, const LinkFrame &)> m_OnSuspects;
  /// A lender's or asker's frame about quotas; it is answered by answer() with
  /// the same link.
  std::function<void(std::uint64_t LinkId, const InstanceName &, LinkFrameKind,
                     std::string_view Body)>
      m_OnQuotaQuestion;
  /// A keeper's frame about quotas.
  std::function<void(const InstanceName &, LinkFrameKind,
                     std::string_view Body)>
      m_OnQuotaAnswer;
  std::function<void(const InstanceName &)> m_OnPeerDown;
};

/// Result of a request that was sent to a peer.
struct PeerReply {
  /// Null when the connection ended before the answer: the request may have
  /// run.
  std::unique_ptr<LinkFrame> m_Answer;
  std::string m_Body;
};

/// What report() sends, as far as it is due.
struct ReportContent {
  ReportedState m_State;
  /// With all parts that exist.
  LinkBeat m_Beat;
  /// Makes the full report; called at most once.
  std::function<LinkFrame()> m_Full;
  /// Likewise, with the request rates of slices.
  std::function<LinkFrame()> m_FullWithRates;
  /// Peers that plan with the rates, or may have to soon. They get a report in
  /// each round: they notice a lost peer sooner than others do.
  std::set<InstanceName> m_Planners;
  /// The planners get the rates now.
  bool m_RatesDue = false;
};

/// Invariants: each request sent ends exactly once, by its callback or by
/// cancel(); a peer is up only while its reports arrive.
class PeerMesh {
public:
  using OnReply = std::function<void(PeerReply)>;

  PeerMesh(EventLoop &Loop, EventLog &Log, const RouterSettings &Settings,
           PeerMeshOptions Options, PeerMeshEvents Events);
  ~PeerMesh();

  bool listen();
  /// Replaces the known members; the entry of this instance is ignored.
  void setMembers(const std::vector<Member> &Members);

  /// Sets the service whose daemons are pinged when they have been silent for a
  /// while, so that their loss is noticed without requests to them; none pings
  /// nobody.
  void watchService(const std::optional<ServiceName> &Service) {
    m_WatchedService = Service;
  }

  bool isUp(const InstanceName &Peer) const;
  /// Since when a peer has been unreachable; none while it is up or when it is
  /// unknown.
  std::optional<TimePoint> downSince(const InstanceName &Peer) const;
  std::vector<InstanceName> upPeers() const;

  /// Sends a request to a peer; the frame's kind, stream and time are set here.
  /// \returns the stream, or 0 when the peer isn't up: then nothing was sent
  /// and the callback isn't called.
  std::uint64_t request(const InstanceName &Peer, LinkFrame Frame,
                        const HttpBody &Body, OnReply Done);
  void cancel(const InstanceName &Peer, std::uint64_t Stream);
  /// Asks for the refusal of a request that hasn't begun. It is answered in any
  /// case; a peer of an earlier version goes on as before.
  void withdraw(const InstanceName &Peer, std::uint64_t Stream);
  void answer(std::uint64_t LinkId, const LinkFrame &Frame,
              std::string_view Body);
  /// Like answer(), but large answers are sent one after the other.
  void answerLarge(std::uint64_t LinkId, const LinkFrame &Frame,
                   std::string_view Body);
  /// Sends a frame to all connected peers.
  void broadcast(const LinkFrame &Frame);
  /// Sends the connected peers the reports that are due to them.
  void report(const ReportContent &Content);
  /// Sends a frame to the connected peers of this daemon's failure domain.
  void broadcastInDomain(const LinkFrame &Frame);
  /// Sends a frame that is no request to a peer.
  /// \returns false when the peer isn't up.
  bool send(const InstanceName &Peer, const LinkFrame &Frame,
            std::string_view Body = {});
  /// Bytes of answers that haven't been written to their connections yet.
  std::size_t pendingAnswerBytes() const;
  /// Interval at which report() is to be called.
  Duration reportInterval() const;
  /// Bytes sent to peers.
  PeerTraffic &traffic() { return m_Traffic; }

private:
  struct PendingRequest {
    OnReply m_OnReply;
    TimePoint m_SentAt;
  };
  /// A known instance and this daemon's connection to it.
  struct Peer {
    Member m_Member;
    std::unique_ptr<PeerLink> m_Link;
    bool m_HelloSent = false;
    /// A report has arrived on the current connection.
    bool m_Up = false;
    TimePoint m_DownSince;
    TimePoint m_ConnectingSince;
    Duration m_ReconnectDelay{0};
    TimePoint m_NextConnect;
    std::map<std::uint64_t, PendingRequest> m_Pending;
    /// When an answer or a pong last proved that requests reach the peer.
    TimePoint m_LastConfirmed;
    /// When the ping was sent that hasn't been answered yet.
    std::optional<TimePoint> m_PingSentAt;
  };
  struct ArrivedRequest {
    std::unique_ptr<LinkFrame> m_Frame;
    HttpBody m_Body;
    bool m_BodyDropped = false;
    /// How long it was on the way.
    Duration m_Delay;
    TimePoint m_ReadAt;
  };
  /// A connection that a peer has opened to this daemon.
  struct InboundPeer {
    std::unique_ptr<PeerLink> m_Link;
    InstanceName m_Instance;
    DomainName m_Domain;
    ServiceName m_Service;
    LinkDelay m_Delay;
    bool m_TakesBeats = false;
    ReportSchedule m_Reports;
    /// Requests that were read and not yet passed on, in order.
    std::vector<ArrivedRequest> m_Arrived;
  };

  void connect(const InstanceName &Name, Peer &Remote);
  void disconnect(const InstanceName &Name, Peer &Remote, const char *Why);
  void received(const InstanceName &Name, LinkFrame &Frame, std::string Body);
  void accepted(ACE_HANDLE Handle);
  void receivedInbound(std::uint64_t LinkId, std::unique_ptr<LinkFrame> Frame,
                       LinkBody Body);
  /// Passes on the requests that were read, unless input that isn't read yet
  /// may cancel them.
  void passOnArrived(std::uint64_t LinkId);
  void inboundEnded(std::uint64_t LinkId);
  /// Closes the earlier connections of a peer that has opened another one: it
  /// has given them up, and they may have failed without a sign here.
  void closeReplaced(std::uint64_t LinkId, const InstanceName &Peer);
  /// Starts sending the next large answer if none is being sent.
  void sendNextLarge();
  void checkConnections();
  /// Checks that requests still reach a peer whose reports arrive: a connection
  /// may fail in one direction only.
  void checkReachability(const InstanceName &Name, Peer &Remote);
  void confirmReachable(Peer &Remote);
  Duration silenceLimit() const;
  void ping(Peer &Remote);
  void receivedBeat(const InstanceName &Name, const LinkBeat &Beat);
  /// Send and count.
  void sendTo(const Peer &Remote, const LinkFrame &Frame,
              std::string_view Body = {});
  /// Sends a frame that only names a request.
  void sendAbout(const Peer &Remote, LinkFrameKind Kind, std::uint64_t Stream);
  void sendTo(const InboundPeer &Remote, const LinkFrame &Frame,
              std::string_view Body = {});
  void sendEncodedTo(const InboundPeer &Remote, LinkFrameKind Kind,
                     std::string_view Text);
  bool isOwnDomain(const DomainName &Domain) const {
    return Domain == m_Settings.m_Domain;
  }
  ReportIntervals reportIntervals() const;
  /// Current time of this daemon's clock, from which the receiver computes how
  /// long a frame was delayed on the way.
  std::int64_t sendTimestamp() const;

  EventLoop &m_Loop;
  EventLog &m_Log;
  const RouterSettings &m_Settings;
  PeerMeshOptions m_Options;
  PeerMeshEvents m_Events;
  Acceptor m_Acceptor;
  std::map<InstanceName, Peer> m_Peers;
  std::optional<ServiceName> m_WatchedService;
  PeerTraffic m_Traffic;
  std::map<std::uint64_t, InboundPeer> m_Inbound;
  struct LargeAnswer {
    std::uint64_t m_LinkId;
    /// The encoded frame and body.
    std::string m_Text;
  };
  std::deque<LargeAnswer> m_LargeAnswers;
  /// Link on which a large answer is being sent; 0 when there is none.
  std::uint64_t m_LargeAnswerLink = 0;
  std::uint64_t m_LastLink = 0;
  std::uint64_t m_LastStream = 0;
};

} // namespace balsamwheel
