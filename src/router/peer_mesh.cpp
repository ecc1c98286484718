// Maintenance of the connections between daemons, and dispatch of the frames on
// them.
#include "peer_mesh.h"
#include "report_texts.h"

#include "balsamwheel/detail/core/foreign_text.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

/// Interval at which connections are checked and reconnections attempted.
constexpr Duration CheckInterval = std::chrono::milliseconds(100);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(800);
/// A peer whose connection has this many unsent bytes gets no reports until
/// they have been sent.
constexpr std::size_t MaxPendingBytesForReport = std::size_t{256} << 10;
/// A request that was delayed for longer is passed on only when all input of
/// its connection has been read: a cancellation may stand behind it.
constexpr Duration MaxDelayUnchecked = std::chrono::milliseconds(100);

} // namespace

PeerMesh::PeerMesh(EventLoop &Loop, EventLog &Log,
                   const RouterSettings &Settings, PeerMeshOptions Options,
                   PeerMeshEvents Events)
    : m_Loop(Loop), m_Log(Log), m_Settings(Settings), m_Options(Options),
      m_Events(std::move(Events)),
      m_Acceptor(Loop, [this](ACE_HANDLE Handle) { accepted(Handle); }) {}

PeerMesh::~PeerMesh() = default;

bool PeerMesh::listen() {
  if (!m_Acceptor.listen(m_Settings.m_Peers))
    return false;
  checkConnections();
  return true;
}

void PeerMesh::setMembers(const std::vector<Member> &Members) {
  std::map<InstanceName, const Member *> ByName;
  for (const Member &Each : Members)
    if (Each.m_Instance != m_Settings.m_Instance)
      ByName[Each.m_Instance] = &Each;
  std::vector<InstanceName> Stale;
  for (const auto &[Name, Known] : m_Peers) {
    const auto Found = ByName.find(Name);
    if (Found == ByName.end() || *Found->second != Known.m_Member)
      Stale.push_back(Name);
  }
  for (const InstanceName &Name : Stale) {
    disconnect(Name, m_Peers.at(Name), "its entry changed");
    m_Peers.erase(Name);
  }
  for (const auto &[Name, Each] : ByName) {
    if (m_Peers.contains(Name))
      continue;
    Peer &Added = m_Peers[Name];
    Added.m_Member = *Each;
    Added.m_DownSince = m_Loop.now();
    connect(Name, Added);
  }
}

void PeerMesh::connect(const InstanceName &Name, Peer &Remote) {
  PeerLinkEvents Events;
  Events.m_OnOpen = [this, Name] {
    Peer &Remote = m_Peers.at(Name);
    Remote.m_HelloSent = true;
    LinkFrame Hello;
    Hello.kind = LinkFrameKind::Hello;
    Hello.sent_at = sendTimestamp();
    Hello.wanted = Name.value();
    Hello.instance = m_Settings.m_Instance.value();
    Hello.domain = m_Settings.m_Domain.value();
    Hello.service = m_Settings.m_Service.value();
    Hello.beats = true;
    sendTo(Remote, Hello);
  };
  Events.m_OnFrame = [this, Name](std::unique_ptr<LinkFrame> Frame,
                                  LinkBody Body) {
    received(Name, *Frame, std::move(Body.m_Text));
  };
  Events.m_OnBeat = [this, Name](const LinkBeat &Beat) {
    receivedBeat(Name, Beat);
  };
  Events.m_OnEnd = [this, Name](const char *Why) {
    disconnect(Name, m_Peers.at(Name), Why);
  };
  Remote.m_HelloSent = false;
  Remote.m_ConnectingSince = m_Loop.now();
  Remote.m_Link = std::make_unique<PeerLink>(m_Loop, std::move(Events));
  if (!Remote.m_Link->connect(Remote.m_Member.m_Address))
    disconnect(Name, Remote, "no socket");
}

void PeerMesh::disconnect(const InstanceName &Name, Peer &Remote,
                          const char *Why) {
  if (Remote.m_Link) {
    Remote.m_Link->close();
    m_Loop.destroyLater(std::move(Remote.m_Link));
  }
  Remote.m_ReconnectDelay =
      std::clamp(Remote.m_ReconnectDelay * 2, m_Options.m_MinReconnectDelay,
                 m_Options.m_MaxReconnectDelay);
  Remote.m_NextConnect = m_Loop.now() + Remote.m_ReconnectDelay;
  const auto Unanswered = std::move(Remote.m_Pending);
  Remote.m_Pending.clear();
  Remote.m_PingSentAt.reset();
  if (Remote.m_Up) {
    Remote.m_Up = false;
    Remote.m_DownSince = m_Loop.now();
    m_Log.write(
        LogClass::StateChange,
        LogLine("peer_lost")
            .add("peer", Name.value())
            .add("why", Why)
            .add("requests", static_cast<std::int64_t>(Unanswered.size())));
    m_Events.m_OnPeerDown(Name);
  }
  for (const auto &[Stream, Each] : Unanswered)
    m_Loop.post([Done = Each.m_OnReply] { Done({}); });
}

void PeerMesh::received(const InstanceName &Name, LinkFrame &Frame,
                        std::string Body) {
  Peer &Remote = m_Peers.at(Name);
  if (Frame.kind == LinkFrameKind::Report) {
    if (!Remote.m_Up) {
      Remote.m_Up = true;
      Remote.m_ReconnectDelay = Duration::zero();
      m_Log.write(LogClass::StateChange,
                  LogLine("peer_up").add("peer", Name.value()));
    }
    m_Events.m_OnReport(Name, Frame);
  } else if (Frame.kind == LinkFrameKind::Pong) {
    confirmReachable(Remote);
  } else if (Frame.kind == LinkFrameKind::Answer) {
    confirmReachable(Remote);
    if (Frame.gate)
      m_Events.m_OnReport(Name, Frame);
    auto Found = Remote.m_Pending.extract(Frame.stream);
    if (Found.empty())
      return;
    PeerReply Reply;
    Reply.m_Answer = std::make_unique<LinkFrame>(std::move(Frame));
    Reply.m_Body = std::move(Body);
    Found.mapped().m_OnReply(std::move(Reply));
  } else if (Frame.kind == LinkFrameKind::Rows) {
    m_Events.m_OnRows(Frame);
  } else if (Frame.kind == LinkFrameKind::TableFresh) {
    m_Events.m_OnTableFresh(Name, Frame);
  } else if (Frame.kind == LinkFrameKind::MapChecked) {
    m_Events.m_OnMapChecked(Frame);
  } else if (Frame.kind == LinkFrameKind::MapChanges) {
    m_Events.m_OnMapChanges(Name, Frame);
  } else if (Frame.kind == LinkFrameKind::CrashedRuns ||
             Frame.kind == LinkFrameKind::RefusedRequests ||
             Frame.kind == LinkFrameKind::SuspectCompleted) {
    m_Events.m_OnSuspects(Name, Frame);
  } else if (Frame.kind == LinkFrameKind::QuotaStamp ||
             Frame.kind == LinkFrameKind::QuotaReply) {
    m_Events.m_OnQuotaAnswer(Name, Frame.kind, Body);
  }
}

void PeerMesh::receivedBeat(const InstanceName &Name, const LinkBeat &Beat) {
  if (m_Peers.at(Name).m_Up)
    m_Events.m_OnBeat(Name, Beat);
}

void PeerMesh::accepted(ACE_HANDLE Handle) {
  const std::uint64_t Id = ++m_LastLink;
  PeerLinkEvents Events;
  Events.m_OnFrame = [this, Id](std::unique_ptr<LinkFrame> Frame,
                                LinkBody Body) {
    receivedInbound(Id, std::move(Frame), std::move(Body));
  };
  Events.m_OnReadDone = [this, Id] { passOnArrived(Id); };
  Events.m_OnEnd = [this, Id](const char *) { inboundEnded(Id); };
  Events.m_OnDrained = [this, Id] {
    if (m_LargeAnswerLink != Id)
      return;
    m_LargeAnswerLink = 0;
    sendNextLarge();
  };
  InboundPeer &Added = m_Inbound[Id];
  Added.m_Link = std::make_unique<PeerLink>(m_Loop, std::move(Events),
                                            m_Options.m_BodyRoom);
  if (!Added.m_Link->adopt(Handle))
    m_Inbound.erase(Id);
}

void PeerMesh::receivedInbound(std::uint64_t LinkId,
                               std::unique_ptr<LinkFrame> Received,
                               LinkBody Body) {
  const auto Found = m_Inbound.find(LinkId);
  if (Found == m_Inbound.end())
    return; // Rejected because of an earlier frame.
  InboundPeer &Remote = Found->second;
  const LinkFrame &Frame = *Received;
  switch (Frame.kind) {
  case LinkFrameKind::Hello: {
    const bool ValidNames =
        isUtf8(Frame.instance) && isUtf8(Frame.domain) && isUtf8(Frame.service);
    // The address may formerly have belonged to another instance.
    if (!ValidNames || (!Frame.wanted.empty() &&
                        Frame.wanted != m_Settings.m_Instance.value())) {
      m_Log.write(LogClass::StateChange, LogLine("peer_turned_away")
                                             .add("peer", Frame.instance)
                                             .add("wanted", Frame.wanted));
      Remote.m_Link->close();
      return inboundEnded(LinkId);
    }
    Remote.m_Delay.recordFrame(Frame.sent_at, m_Loop.now());
    Remote.m_Instance = InstanceName(Frame.instance);
    Remote.m_Domain = DomainName(Frame.domain);
    Remote.m_Service = ServiceName(Frame.service);
    Remote.m_TakesBeats = Frame.beats;
    Remote.m_Reports = ReportSchedule(isOwnDomain(Remote.m_Domain));
    closeReplaced(LinkId, Remote.m_Instance);
    // A peer that can connect to this daemon is probably reachable, too.
    auto Known = m_Peers.find(Remote.m_Instance);
    if (Known != m_Peers.end() && !Known->second.m_Link)
      Known->second.m_NextConnect = m_Loop.now();
    return m_Events.m_OnPeerConnected(LinkId);
  }
  case LinkFrameKind::Request: {
    const Duration Delay =
        Remote.m_Delay.recordFrame(Frame.sent_at, m_Loop.now());
    Remote.m_Arrived.push_back(
        {.m_Frame = std::move(Received),
         .m_Body =
             HttpBody(std::move(Body.m_Text), std::move(Body.m_Reservation)),
         .m_BodyDropped = Body.m_Dropped,
         .m_Delay = Delay,
         .m_ReadAt = m_Loop.now()});
    return;
  }
  case LinkFrameKind::Cancel: {
    const std::size_t Erased =
        std::erase_if(Remote.m_Arrived, [&](const ArrivedRequest &Each) {
          return Each.m_Frame->stream == Frame.stream;
        });
    if (Erased == 0)
      m_Events.m_OnCancel(LinkId, Frame.stream);
    return;
  }
  case LinkFrameKind::Withdraw: {
    const auto Unread =
        std::find_if(Remote.m_Arrived.begin(), Remote.m_Arrived.end(),
                     [&](const ArrivedRequest &Each) {
                       return Each.m_Frame->stream == Frame.stream;
                     });
    if (Unread == Remote.m_Arrived.end())
      return m_Events.m_OnWithdraw(LinkId, Frame.stream);
    // The gate refuses it when it is passed on.
    Unread->m_Frame->deadline_left = 0;
    return;
  }
  case LinkFrameKind::Ping: {
    LinkFrame Pong;
    Pong.kind = LinkFrameKind::Pong;
    return sendTo(Remote, Pong);
  }
  case LinkFrameKind::RowsWanted:
    return sendTo(Remote, m_Events.m_OnRowsWanted(Frame));
  case LinkFrameKind::MapCheckWanted:
    return m_Events.m_OnMapCheckWanted(LinkId, Frame);
  case LinkFrameKind::QuotaLend:
  case LinkFrameKind::QuotaAsk:
    return m_Events.m_OnQuotaQuestion(LinkId, Remote.m_Instance, Frame.kind,
                                      Body.m_Text);
  default:
    return;
  }
}

void PeerMesh::passOnArrived(std::uint64_t LinkId) {
  const auto Found = m_Inbound.find(LinkId);
  if (Found == m_Inbound.end() || Found->second.m_Arrived.empty())
    return;
  InboundPeer &Remote = Found->second;
  const bool Late =
      std::any_of(Remote.m_Arrived.begin(), Remote.m_Arrived.end(),
                  [](const ArrivedRequest &Each) {
                    return Each.m_Delay > MaxDelayUnchecked;
                  });
  if (Late && Remote.m_Link->hasUnreadInput())
    return;
  std::vector<ArrivedRequest> Arrived = std::exchange(Remote.m_Arrived, {});
  for (ArrivedRequest &Each : Arrived) {
    const Duration Waited = Each.m_Delay + (m_Loop.now() - Each.m_ReadAt);
    Each.m_Frame->objective_left -= Waited.count();
    Each.m_Frame->deadline_left -= Waited.count();
    if (Each.m_BodyDropped)
      m_Events.m_OnRequestWithoutRoom(LinkId, Each.m_Frame->stream);
    else
      m_Events.m_OnRequest(LinkId, *Each.m_Frame, std::move(Each.m_Body));
  }
}

void PeerMesh::closeReplaced(std::uint64_t LinkId, const InstanceName &Peer) {
  std::vector<std::uint64_t> Replaced;
  for (const auto &[Id, Remote] : m_Inbound)
    if (Id != LinkId && Remote.m_Instance == Peer)
      Replaced.push_back(Id);
  for (const std::uint64_t Id : Replaced) {
    m_Inbound.at(Id).m_Link->close();
    inboundEnded(Id);
  }
}

void PeerMesh::inboundEnded(std::uint64_t LinkId) {
  auto Node = m_Inbound.extract(LinkId);
  if (Node.empty())
    return;
  m_Loop.destroyLater(std::move(Node.mapped().m_Link));
  m_Events.m_OnInboundClosed(LinkId);
  std::erase_if(m_LargeAnswers, [&](const LargeAnswer &Each) {
    return Each.m_LinkId == LinkId;
  });
  if (m_LargeAnswerLink != LinkId)
    return;
  m_LargeAnswerLink = 0;
  sendNextLarge();
}

void PeerMesh::answerLarge(std::uint64_t LinkId, const LinkFrame &Frame,
                           std::string_view Body) {
  m_LargeAnswers.push_back(
      {.m_LinkId = LinkId, .m_Text = encodeFrame(Frame, Body)});
  sendNextLarge();
}

void PeerMesh::sendNextLarge() {
  while (m_LargeAnswerLink == 0 && !m_LargeAnswers.empty()) {
    const LargeAnswer Next = std::move(m_LargeAnswers.front());
    m_LargeAnswers.pop_front();
    auto Found = m_Inbound.find(Next.m_LinkId);
    if (Found == m_Inbound.end())
      continue;
    sendEncodedTo(Found->second, LinkFrameKind::Answer, Next.m_Text);
    if (Found->second.m_Link->pendingBytes() > 0)
      m_LargeAnswerLink = Next.m_LinkId;
  }
}

std::int64_t PeerMesh::sendTimestamp() const {
  return m_Loop.now().time_since_epoch().count();
}

Duration PeerMesh::reportInterval() const {
  return m_Options.m_ReportInterval +
         m_Options.m_ReportIntervalPerPeer * m_Peers.size();
}

Duration PeerMesh::silenceLimit() const {
  return reportInterval() * m_Options.m_MaxMissedReports;
}

void PeerMesh::checkConnections() {
  const TimePoint Now = m_Loop.now();
  for (auto &[Name, Remote] : m_Peers) {
    if (!Remote.m_Link) {
      if (Now >= Remote.m_NextConnect)
        connect(Name, Remote);
    } else if (!Remote.m_HelloSent &&
               Now - Remote.m_ConnectingSince > ConnectTimeout) {
      disconnect(Name, Remote, "no connection in time");
    } else if (Remote.m_HelloSent &&
               Now - Remote.m_Link->lastReceived() > silenceLimit()) {
      disconnect(Name, Remote, "silent");
    } else {
      checkReachability(Name, Remote);
    }
  }
  m_Loop.after(CheckInterval, [this] { checkConnections(); });
}

void PeerMesh::confirmReachable(Peer &Remote) {
  Remote.m_LastConfirmed = m_Loop.now();
  Remote.m_PingSentAt.reset();
}

void PeerMesh::checkReachability(const InstanceName &Name, Peer &Remote) {
  const TimePoint Now = m_Loop.now();
  if (Remote.m_PingSentAt) {
    if (Now - *Remote.m_PingSentAt > m_Options.m_PingTimeout)
      disconnect(Name, Remote, "requests don't arrive");
    return;
  }
  if (!Remote.m_Pending.empty()) {
    const TimePoint Oldest = Remote.m_Pending.begin()->second.m_SentAt;
    if (Now - std::max(Oldest, Remote.m_LastConfirmed) > m_Options.m_PingAfter)
      ping(Remote);
  } else if (Remote.m_HelloSent &&
             Remote.m_Member.m_Service == m_WatchedService &&
             Now - Remote.m_Link->lastReceived() > 2 * m_Options.m_PingAfter) {
    ping(Remote);
  }
}

void PeerMesh::ping(Peer &Remote) {
  LinkFrame Ping;
  Ping.kind = LinkFrameKind::Ping;
  sendTo(Remote, Ping);
  Remote.m_PingSentAt = m_Loop.now();
}

bool PeerMesh::isUp(const InstanceName &Name) const {
  auto Found = m_Peers.find(Name);
  return Found != m_Peers.end() && Found->second.m_Up;
}

std::optional<TimePoint> PeerMesh::downSince(const InstanceName &Name) const {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end() || Found->second.m_Up)
    return std::nullopt;
  return Found->second.m_DownSince;
}

std::vector<InstanceName> PeerMesh::upPeers() const {
  std::vector<InstanceName> Result;
  for (const auto &[Name, Remote] : m_Peers)
    if (Remote.m_Up)
      Result.push_back(Name);
  return Result;
}

std::uint64_t PeerMesh::request(const InstanceName &Name, LinkFrame Frame,
                                const HttpBody &Body, OnReply Done) {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end() || !Found->second.m_Up)
    return 0;
  Frame.kind = LinkFrameKind::Request;
  Frame.stream = ++m_LastStream;
  Frame.sent_at = sendTimestamp();
  Found->second.m_Pending.emplace(
      Frame.stream,
      PendingRequest{.m_OnReply = std::move(Done), .m_SentAt = m_Loop.now()});
  m_Traffic.add(Frame.kind, isOwnDomain(Found->second.m_Member.m_Domain),
                Found->second.m_Link->sendShared(Frame, Body));
  return Frame.stream;
}

void PeerMesh::cancel(const InstanceName &Name, std::uint64_t Stream) {
  auto Found = m_Peers.find(Name);
  if (Found != m_Peers.end() && Found->second.m_Pending.erase(Stream) > 0)
    sendAbout(Found->second, LinkFrameKind::Cancel, Stream);
}

void PeerMesh::withdraw(const InstanceName &Name, std::uint64_t Stream) {
  auto Found = m_Peers.find(Name);
  if (Found != m_Peers.end() && Found->second.m_Pending.contains(Stream))
    sendAbout(Found->second, LinkFrameKind::Withdraw, Stream);
}

void PeerMesh::sendAbout(const Peer &Remote, LinkFrameKind Kind,
                         std::uint64_t Stream) {
  LinkFrame Frame;
  Frame.kind = Kind;
  Frame.stream = Stream;
  sendTo(Remote, Frame);
}

void PeerMesh::answer(std::uint64_t LinkId, const LinkFrame &Frame,
                      std::string_view Body) {
  auto Found = m_Inbound.find(LinkId);
  if (Found != m_Inbound.end())
    sendTo(Found->second, Frame, Body);
}

std::size_t PeerMesh::pendingAnswerBytes() const {
  std::size_t Sum = 0;
  for (const LargeAnswer &Each : m_LargeAnswers)
    Sum += Each.m_Text.size();
  for (const auto &[Id, Remote] : m_Inbound)
    Sum += Remote.m_Link->pendingBytes();
  return Sum;
}

void PeerMesh::broadcast(const LinkFrame &Frame) {
  const std::string Text = encodeFrame(Frame, {});
  for (auto &[Id, Remote] : m_Inbound)
    if (!Remote.m_Instance.value().empty() &&
        Remote.m_Link->pendingBytes() < MaxPendingBytesForReport)
      sendEncodedTo(Remote, Frame.kind, Text);
}

ReportIntervals PeerMesh::reportIntervals() const {
  const Duration Interval = reportInterval();
  return {.m_Interval = Interval,
          .m_IdleInterval = m_Peers.size() < m_Options.m_MinPeersForPauses
                                ? Interval
                                : 2 * Interval,
          .m_FullInterval = std::max<Duration>(
              m_Options.m_FullReportInterval,
              m_Options.m_FullReportIntervalPerPeer * m_Peers.size())};
}

void PeerMesh::report(const ReportContent &Content) {
  const ReportIntervals Intervals = reportIntervals();
  ReportIntervals ToPlanners = Intervals;
  ToPlanners.m_IdleInterval = ToPlanners.m_Interval;
  const ReportTexts Texts(Content);
  for (auto &[Id, Remote] : m_Inbound) {
    if (Remote.m_Instance.value().empty() ||
        Remote.m_Link->pendingBytes() >= MaxPendingBytesForReport)
      continue;
    const bool Plans = Content.m_Planners.contains(Remote.m_Instance);
    const bool WithRates = Plans && Content.m_RatesDue;
    const DueReport Due =
        WithRates || !Remote.m_TakesBeats
            ? DueReport{.m_Full = true}
            : Remote.m_Reports.due(Content.m_State,
                                   Plans ? ToPlanners : Intervals,
                                   m_Loop.now());
    if (Due.m_Full) {
      sendEncodedTo(Remote, LinkFrameKind::Report, Texts.full(WithRates));
    } else if (Due.m_Beat) {
      const std::string &Text = Texts.beat(Due);
      m_Traffic.addBeat(isOwnDomain(Remote.m_Domain), Text.size());
      Remote.m_Link->sendEncoded(Text);
    }
    Remote.m_Reports.sent(Content.m_State, Due, m_Loop.now());
  }
}

void PeerMesh::sendTo(const Peer &Remote, const LinkFrame &Frame,
                      std::string_view Body) {
  m_Traffic.add(Frame.kind, isOwnDomain(Remote.m_Member.m_Domain),
                Remote.m_Link->send(Frame, Body));
}

void PeerMesh::sendTo(const InboundPeer &Remote, const LinkFrame &Frame,
                      std::string_view Body) {
  m_Traffic.add(Frame.kind, isOwnDomain(Remote.m_Domain),
                Remote.m_Link->send(Frame, Body));
}

void PeerMesh::sendEncodedTo(const InboundPeer &Remote, LinkFrameKind Kind,
                             std::string_view Text) {
  m_Traffic.add(Kind, isOwnDomain(Remote.m_Domain), Text.size());
  Remote.m_Link->sendEncoded(Text);
}

void PeerMesh::broadcastInDomain(const LinkFrame &Frame) {
  const std::string Text = encodeFrame(Frame, {});
  for (auto &[Id, Remote] : m_Inbound)
    if (isOwnDomain(Remote.m_Domain))
      sendEncodedTo(Remote, Frame.kind, Text);
}

bool PeerMesh::send(const InstanceName &Name, const LinkFrame &Frame,
                    std::string_view Body) {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end() || !Found->second.m_Up)
    return false;
  sendTo(Found->second, Frame, Body);
  return true;
}

} // namespace balsamwheel
