// Construction, start and shutdown order of the daemon's parts.
#include "daemon/daemon.h"

#include "adapters/caller_http/caller_server.h"
#include "adapters/peer_tcp/tcp_transport.h"
#include "adapters/platform_http/platform_client.h"
#include "adapters/target_http/target_link.h"
#include "daemon/admin.h"
#include "daemon/core.h"
#include "daemon/peer_receiver.h"

#include <random>
#include <utility>

namespace balsamwheel::daemon {

using caller_http::CallerServer;
using peer_tcp::TcpTransport;
using platform_http::PlatformClient;
using target_http::TargetLink;

namespace {

std::uint64_t randomSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32U) | Source();
}

} // namespace

class Daemon::Impl {
public:
  explicit Impl(Settings InitialSettings)
      : m_Settings(std::move(InitialSettings)), m_Seed(randomSeed()),
        m_Bodies(
            [this](const PeerAddress &Receiver, PeerMessage Message) {
              sendBody(Receiver, std::move(Message));
            },
            randomSeed() >> 1U),
        m_PeerReceiver(m_Shared, m_Bodies),
        m_Peers({.m_Listen = PeerAddress(m_Settings.m_PeerListen),
                 .m_Advertised = PeerAddress(m_Settings.m_PeerAdvertised),
                 .m_MaxConnections = m_Settings.m_PeerConnections},
                m_PeerReceiver.handlers()),
        m_Platform({.m_Address = m_Settings.m_PlatformAddress,
                    .m_Instance = m_Settings.m_Instance.value(),
                    .m_Timeout = m_Settings.m_PlatformTimeout}),
        m_Target({.m_Listen = m_Settings.m_TargetListen,
                  .m_SilenceLimit = m_Settings.m_TargetSilence},
                 targetHandlers(), pipeFactory()),
        m_Callers({.m_Listen = m_Settings.m_CallerListen,
                   .m_MaxConnections = m_Settings.m_CallerConnections,
                   .m_Session = m_Seed},
                  callerHandlers()),
        m_Admin(m_Settings.m_AdminListen, m_Shared),
        m_Core(Node(m_Settings.m_Node, m_Seed), m_Shared,
               {m_Callers, m_Target, m_Platform, m_Peers, m_Bodies},
               m_Settings.m_ShutdownLimit) {}

  ~Impl() { stop(); }

  std::error_code start() {
    if (const std::error_code Error = m_Peers.start())
      return reportListenError("peer", m_Settings.m_PeerListen, Error);
    if (const std::error_code Error = m_Target.start())
      return reportListenError("target", m_Settings.m_TargetListen, Error);
    if (const std::error_code Error = m_Admin.start())
      return reportListenError("admin", m_Settings.m_AdminListen, Error);
    if (const std::error_code Error = m_Callers.start())
      return reportListenError("callers", m_Settings.m_CallerListen, Error);
    return {};
  }

  void run() {
    m_Core.run();
    stop();
  }

  void shutdown() { m_Shared.m_Inbox.post(ShutdownRequested{}); }

private:
  static std::error_code reportListenError(const char *Field,
                                           const std::string &Address,
                                           std::error_code Error) {
    LOG4CPLUS_ERROR(logger(), "cannot listen on " << Address << " (" << Field
                                                  << "): " << Error.message());
    return Error;
  }

  void sendBody(const PeerAddress &Receiver, PeerMessage Message) {
    if (const auto *Body = std::get_if<BodyMessage>(&Message))
      if (const auto *Chunk = std::get_if<BodyChunk>(Body))
        m_Shared.m_Metrics.bodyBytes().Increment(
            static_cast<double>(Chunk->m_Bytes.size()));
    m_Peers.send(Receiver, std::move(Message));
  }

  http_client::PipeFactory pipeFactory() {
    return
        [this](std::string_view Prefix, std::optional<std::uint64_t> Length) {
          return m_Bodies.create(Prefix, Length);
        };
  }

  target_http::TargetHandlers targetHandlers() {
    Inbox &Events = m_Shared.m_Inbox;
    return {
        .m_OnReady =
            [&Events](const target_http::Announcement &Message) {
              Events.post(TargetReady{Message.m_Service, Message.m_Slots});
            },
        .m_OnLeft = [&Events] { Events.post(TargetLeft{}); },
        .m_OnAnswerHead =
            [&Events](OrderId Order, HttpAnswer Head) {
              Events.post(OrderHeadReceived{Order, std::move(Head)});
            },
        .m_OnEnd =
            [&Events](OrderReport Report) {
              Events.post(OrderEnded{std::move(Report)});
            },
        .m_OnLoad =
            [this](target_http::LoadHint Report) {
              m_Shared.m_Metrics.setTargetLoad(Report.m_Load, Report.m_Healthy);
            },
    };
  }

  caller_http::CallerHandlers callerHandlers() {
    return {
        .m_Config = [this] { return m_Shared.m_Config.load(); },
        .m_OnRequest =
            [this](IncomingRequest &Request) {
              Event Item = CallerRequestReceived{std::move(Request)};
              if (m_Shared.m_Inbox.tryPost(Item))
                return true;
              m_Shared.m_Metrics.droppedEvents().Increment();
              return false;
            },
        .m_OnCallerDisconnected =
            [this](RequestHandle Request) {
              m_Shared.m_Inbox.post(CallerDisconnected{Request});
            },
        .m_MakePipe = pipeFactory(),
        .m_OnRefused =
            [this](Reason Cause) { m_Shared.m_Metrics.recordRefusal(Cause); },
    };
  }

  /// Stops all threads other than the calling one. Streamed bodies fail before
  /// the threads that read or write them are joined, so that none of these
  /// blocks on another.
  void stop() {
    m_Shared.m_Inbox.close();
    m_Admin.stop();
    m_Callers.stop();
    m_Bodies.failAll();
    m_Target.stop();
    m_Platform.stop();
    m_Peers.stop();
  }

  const Settings m_Settings;
  const std::uint64_t m_Seed;
  CoreShared m_Shared;
  BodyStreams m_Bodies;
  PeerReceiver m_PeerReceiver;
  TcpTransport m_Peers;
  PlatformClient m_Platform;
  TargetLink m_Target;
  CallerServer m_Callers;
  Admin m_Admin;
  Core<CallerServer, TargetLink, PlatformClient, TcpTransport> m_Core;
};

Daemon::Daemon(Settings InitialSettings)
    : m_Impl(std::make_unique<Impl>(std::move(InitialSettings))) {}

Daemon::~Daemon() = default;

std::error_code Daemon::start() { return m_Impl->start(); }

void Daemon::run() { m_Impl->run(); }

void Daemon::shutdown() { m_Impl->shutdown(); }

} // namespace balsamwheel::daemon
