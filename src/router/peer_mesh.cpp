// Maintenance of the connections between daemons, and dispatch of the frames on
// them.
#include "peer_mesh.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Interval at which connections are checked and reconnections attempted.
constexpr Duration CheckInterval = std::chrono::milliseconds(100);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(800);
/// A peer that has this many unread bytes gets no reports until it catches up.
constexpr std::size_t MaxPendingForReport = std::size_t{256} << 10;

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
  check();
  return true;
}

void PeerMesh::setMembers(const std::vector<Member> &Members) {
  std::map<InstanceName, const Member *> Wanted;
  for (const Member &Each : Members)
    if (Each.m_Instance != m_Settings.m_Instance)
      Wanted[Each.m_Instance] = &Each;
  std::vector<InstanceName> Gone;
  for (const auto &[Name, Known] : m_Peers) {
    const auto Found = Wanted.find(Name);
    if (Found == Wanted.end() || *Found->second != Known.m_Member)
      Gone.push_back(Name);
  }
  for (const InstanceName &Name : Gone) {
    drop(Name, m_Peers.at(Name), "its entry changed");
    m_Peers.erase(Name);
  }
  for (const auto &[Name, Each] : Wanted) {
    if (m_Peers.contains(Name))
      continue;
    Peer &Added = m_Peers[Name];
    Added.m_Member = *Each;
    Added.m_DownSince = m_Loop.now();
    connect(Name, Added);
  }
}

void PeerMesh::connect(const InstanceName &Name, Peer &To) {
  PeerLinkEvents Events;
  Events.m_OnOpen = [this, Name] {
    Peer &Of = m_Peers.at(Name);
    Of.m_Greeted = true;
    LinkFrame Hello;
    Hello.kind = LinkFrameKind::Hello;
    Hello.sent_at = sentAt();
    Hello.wanted = Name.value();
    Hello.instance = m_Settings.m_Instance.value();
    Hello.domain = m_Settings.m_Domain.value();
    Hello.service = m_Settings.m_Service.value();
    Of.m_Link->send(Hello);
  };
  Events.m_OnFrame = [this, Name](std::unique_ptr<LinkFrame> Frame,
                                  std::string Body) {
    received(Name, *Frame, std::move(Body));
  };
  Events.m_OnEnd = [this, Name](const char *Why) {
    drop(Name, m_Peers.at(Name), Why);
  };
  To.m_Greeted = false;
  To.m_ConnectingSince = m_Loop.now();
  To.m_Link = std::make_unique<PeerLink>(m_Loop, std::move(Events));
  if (!To.m_Link->connect(To.m_Member.m_Address))
    drop(Name, To, "no socket");
}

void PeerMesh::drop(const InstanceName &Name, Peer &Of, const char *Why) {
  if (Of.m_Link) {
    Of.m_Link->close();
    m_Loop.retire(std::move(Of.m_Link));
  }
  Of.m_Pause = std::clamp(Of.m_Pause * 2, m_Options.m_FirstReconnect,
                          m_Options.m_LongestReconnect);
  Of.m_NextTry = m_Loop.now() + Of.m_Pause;
  const auto Unanswered = std::move(Of.m_Waiting);
  Of.m_Waiting.clear();
  Of.m_PingSent.reset();
  if (Of.m_Up) {
    Of.m_Up = false;
    Of.m_DownSince = m_Loop.now();
    m_Log.write(
        LogClass::Belief,
        LogLine("peer_lost")
            .add("peer", Name.value())
            .add("why", Why)
            .add("requests", static_cast<std::int64_t>(Unanswered.size())));
    m_Events.m_OnPeerDown(Name);
  }
  for (const auto &[Stream, Each] : Unanswered)
    m_Loop.post([Done = Each.m_Done] { Done({}); });
}

void PeerMesh::received(const InstanceName &Name, LinkFrame &Frame,
                        std::string Body) {
  Peer &Of = m_Peers.at(Name);
  if (Frame.kind == LinkFrameKind::Report) {
    if (!Of.m_Up) {
      Of.m_Up = true;
      Of.m_Pause = Duration::zero();
      m_Log.write(LogClass::Belief,
                  LogLine("peer_up").add("peer", Name.value()));
    }
    m_Events.m_OnReport(Name, Frame);
  } else if (Frame.kind == LinkFrameKind::Pong) {
    proved(Of);
  } else if (Frame.kind == LinkFrameKind::Answer) {
    proved(Of);
    if (Frame.gate)
      m_Events.m_OnReport(Name, Frame);
    auto Found = Of.m_Waiting.extract(Frame.stream);
    if (Found.empty())
      return;
    PeerReply Reply;
    Reply.m_Answer = std::make_unique<LinkFrame>(std::move(Frame));
    Reply.m_Body = std::move(Body);
    Found.mapped().m_Done(std::move(Reply));
  } else if (Frame.kind == LinkFrameKind::Rows) {
    m_Events.m_OnRows(Frame);
  }
}

void PeerMesh::accepted(ACE_HANDLE Handle) {
  const std::uint64_t Id = ++m_LastLink;
  PeerLinkEvents Events;
  Events.m_OnFrame = [this, Id](std::unique_ptr<LinkFrame> Frame,
                                std::string Body) {
    receivedFromCaller(Id, *Frame, std::move(Body));
  };
  Events.m_OnEnd = [this, Id](const char *) { callerEnded(Id); };
  Events.m_OnDrained = [this, Id] {
    if (m_LargeOn != Id)
      return;
    m_LargeOn = 0;
    sendNextLarge();
  };
  Caller &Added = m_Callers[Id];
  Added.m_Link = std::make_unique<PeerLink>(m_Loop, std::move(Events));
  if (!Added.m_Link->adopt(Handle))
    m_Callers.erase(Id);
}

void PeerMesh::receivedFromCaller(std::uint64_t LinkId, LinkFrame &Frame,
                                  std::string Body) {
  const auto Found = m_Callers.find(LinkId);
  if (Found == m_Callers.end())
    return; // Rejected because of an earlier frame.
  Caller &From = Found->second;
  switch (Frame.kind) {
  case LinkFrameKind::Hello: {
    if (!Frame.wanted.empty() &&
        Frame.wanted != m_Settings.m_Instance.value()) {
      // The address formerly belonged to another instance.
      m_Log.write(LogClass::Belief, LogLine("peer_turned_away")
                                        .add("peer", Frame.instance)
                                        .add("wanted", Frame.wanted));
      From.m_Link->close();
      return callerEnded(LinkId);
    }
    From.m_Delay.note(Frame.sent_at, m_Loop.now());
    From.m_Instance = InstanceName(Frame.instance);
    From.m_Service = ServiceName(Frame.service);
    // A peer that can connect to this daemon is probably reachable, too.
    auto Known = m_Peers.find(From.m_Instance);
    if (Known != m_Peers.end() && !Known->second.m_Link)
      Known->second.m_NextTry = m_Loop.now();
    return;
  }
  case LinkFrameKind::Request: {
    const Duration Waited = From.m_Delay.note(Frame.sent_at, m_Loop.now());
    Frame.objective_left -= Waited.count();
    Frame.deadline_left -= Waited.count();
    return m_Events.m_OnRequest(LinkId, Frame, std::move(Body));
  }
  case LinkFrameKind::Cancel:
    return m_Events.m_OnCancel(LinkId, Frame.stream);
  case LinkFrameKind::Ping: {
    LinkFrame Pong;
    Pong.kind = LinkFrameKind::Pong;
    return From.m_Link->send(Pong);
  }
  case LinkFrameKind::RowsWanted:
    return From.m_Link->send(m_Events.m_OnRowsWanted(Frame));
  default:
    return;
  }
}

void PeerMesh::callerEnded(std::uint64_t LinkId) {
  auto Node = m_Callers.extract(LinkId);
  if (Node.empty())
    return;
  m_Loop.retire(std::move(Node.mapped().m_Link));
  m_Events.m_OnCallerLost(LinkId);
  std::erase_if(m_Large,
                [&](const LargeAnswer &Each) { return Each.m_Link == LinkId; });
  if (m_LargeOn != LinkId)
    return;
  m_LargeOn = 0;
  sendNextLarge();
}

void PeerMesh::answerLarge(std::uint64_t LinkId, const LinkFrame &Frame,
                           std::string_view Body) {
  m_Large.push_back({.m_Link = LinkId, .m_Text = encodeFrame(Frame, Body)});
  sendNextLarge();
}

void PeerMesh::sendNextLarge() {
  while (m_LargeOn == 0 && !m_Large.empty()) {
    const LargeAnswer Next = std::move(m_Large.front());
    m_Large.pop_front();
    auto Found = m_Callers.find(Next.m_Link);
    if (Found == m_Callers.end())
      continue;
    Found->second.m_Link->sendEncoded(Next.m_Text);
    if (Found->second.m_Link->pending() > 0)
      m_LargeOn = Next.m_Link;
  }
}

std::int64_t PeerMesh::sentAt() const {
  return m_Loop.now().time_since_epoch().count();
}

Duration PeerMesh::reportInterval() const {
  return m_Options.m_ReportInterval +
         m_Options.m_ReportIntervalPerPeer * m_Peers.size();
}

Duration PeerMesh::silenceLimit() const {
  return reportInterval() * m_Options.m_MissedReports;
}

void PeerMesh::check() {
  const TimePoint Now = m_Loop.now();
  for (auto &[Name, Of] : m_Peers) {
    if (!Of.m_Link) {
      if (Now >= Of.m_NextTry)
        connect(Name, Of);
    } else if (!Of.m_Greeted && Now - Of.m_ConnectingSince > ConnectTimeout) {
      drop(Name, Of, "no connection in time");
    } else if (Of.m_Greeted && Now - Of.m_Link->lastHeard() > silenceLimit()) {
      drop(Name, Of, "silent");
    } else {
      checkWaiting(Name, Of);
    }
  }
  m_Loop.after(CheckInterval, [this] { check(); });
}

void PeerMesh::proved(Peer &Of) {
  Of.m_LastProof = m_Loop.now();
  Of.m_PingSent.reset();
}

void PeerMesh::checkWaiting(const InstanceName &Name, Peer &Of) {
  const TimePoint Now = m_Loop.now();
  if (Of.m_PingSent) {
    if (Now - *Of.m_PingSent > silenceLimit())
      drop(Name, Of, "requests don't arrive");
    return;
  }
  if (Of.m_Waiting.empty())
    return;
  const TimePoint Oldest = Of.m_Waiting.begin()->second.m_Sent;
  if (Now - std::max(Oldest, Of.m_LastProof) <= m_Options.m_PingAfter)
    return;
  LinkFrame Ping;
  Ping.kind = LinkFrameKind::Ping;
  Of.m_Link->send(Ping);
  Of.m_PingSent = Now;
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
  for (const auto &[Name, Of] : m_Peers)
    if (Of.m_Up)
      Result.push_back(Name);
  return Result;
}

std::uint64_t PeerMesh::request(const InstanceName &Name, LinkFrame Frame,
                                std::string_view Body, OnReply Done) {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end() || !Found->second.m_Up)
    return 0;
  Frame.kind = LinkFrameKind::Request;
  Frame.stream = ++m_LastStream;
  Frame.sent_at = sentAt();
  Found->second.m_Waiting.emplace(
      Frame.stream, Waiting{.m_Done = std::move(Done), .m_Sent = m_Loop.now()});
  Found->second.m_Link->send(Frame, Body);
  return Frame.stream;
}

void PeerMesh::cancel(const InstanceName &Name, std::uint64_t Stream) {
  auto Found = m_Peers.find(Name);
  if (Found == m_Peers.end() || Found->second.m_Waiting.erase(Stream) == 0)
    return;
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::Cancel;
  Frame.stream = Stream;
  Found->second.m_Link->send(Frame);
}

void PeerMesh::answer(std::uint64_t LinkId, const LinkFrame &Frame,
                      std::string_view Body) {
  auto Found = m_Callers.find(LinkId);
  if (Found != m_Callers.end())
    Found->second.m_Link->send(Frame, Body);
}

std::size_t PeerMesh::pendingAnswers() const {
  std::size_t Sum = 0;
  for (const LargeAnswer &Each : m_Large)
    Sum += Each.m_Text.size();
  for (const auto &[Id, Caller] : m_Callers)
    Sum += Caller.m_Link->pending();
  return Sum;
}

void PeerMesh::broadcast(const LinkFrame &Report,
                         const std::optional<LinkFrame> &ForService) {
  const std::string Plain = encodeFrame(Report, {});
  const std::string Full = ForService ? encodeFrame(*ForService, {}) : Plain;
  for (auto &[Id, Caller] : m_Callers)
    if (!Caller.m_Instance.value().empty() &&
        Caller.m_Link->pending() < MaxPendingForReport)
      Caller.m_Link->sendEncoded(
          Caller.m_Service == m_Settings.m_Service ? Full : Plain);
}

void PeerMesh::askForRows(const InstanceName &Name, const LinkFrame &Wanted) {
  auto Found = m_Peers.find(Name);
  if (Found != m_Peers.end() && Found->second.m_Up)
    Found->second.m_Link->send(Wanted);
}

} // namespace balsamwheel
