// The reactor thread: accepts and opens connections, sends and delivers
// messages.
#include "adapters/peer_tcp/tcp_transport.h"

#include "adapters/peer_tcp/connection.h"
#include "adapters/peer_tcp/error.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace balsamwheel::peer_tcp {

namespace {

/// Maximum number of queued commands; further commands are dropped.
constexpr std::size_t MaxCommands = 65'536;
/// Handles reserved in the reactor besides those of the connections: listening
/// socket, notification, the reactor's own.
constexpr std::size_t SpareHandles = 64;
constexpr int ListenBacklog = 1024;
/// Time-out of a connection attempt: 1 s.
const ACE_Time_Value ConnectTimeout(1, 0);

/// A request from another thread to the reactor's thread. An empty frame resets
/// the connections to the peer.
struct Command {
  PeerAddress m_Peer;
  std::vector<std::uint8_t> m_Frame;
};

const PeerAddress &advertised(const TcpTransportOptions &Options) {
  return Options.m_Advertised.value().empty() ? Options.m_Listen
                                              : Options.m_Advertised;
}

} // namespace

class TcpTransport::Impl final : public ACE_Event_Handler,
                                 public ConnectionHandler {
public:
  Impl(TcpTransportOptions Options, PeerHandlers Handlers)
      : m_Options(std::move(Options)), m_Handlers(std::move(Handlers)),
        m_Reactor(
            new ACE_Dev_Poll_Reactor(m_Options.m_MaxConnections + SpareHandles),
            /*delete_implementation=*/true) {}

  ~Impl() override { stop(); }

  std::error_code start() {
    ACE_INET_Addr Address;
    if (Address.set(m_Options.m_Listen.value().c_str()) != 0)
      return TransportError::BadAddress;
    if (m_Acceptor.open(Address, /*reuse_addr=*/1, PF_INET, ListenBacklog) != 0)
      return TransportError::ListenFailed;
    m_Acceptor.enable(ACE_NONBLOCK);
    if (m_Reactor.register_handler(this, ACE_Event_Handler::ACCEPT_MASK) != 0)
      return TransportError::ListenFailed;
    m_Thread = std::thread([this] { run(); });
    return {};
  }

  void submit(Command Posted) {
    {
      const std::lock_guard Lock(m_Mutex);
      if (m_Commands.size() >= MaxCommands)
        return;
      m_Commands.push_back(std::move(Posted));
    }
    if (!m_NotifyPending.exchange(true))
      m_Reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK);
  }

  void stop() {
    if (m_Stopping.exchange(true))
      return;
    m_Reactor.notify(this, ACE_Event_Handler::EXCEPT_MASK);
    if (m_Thread.joinable())
      m_Thread.join();
    m_Acceptor.close();
  }

  ACE_HANDLE get_handle() const override { return m_Acceptor.get_handle(); }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    for (;;) {
      auto Accepted =
          std::make_unique<Connection>(*this, m_Reactor, ConnectionState::Open);
      if (m_Acceptor.accept(Accepted->stream()) != 0)
        return 0;
      if (m_Connections.size() < m_Options.m_MaxConnections && Accepted->open())
        addConnection(std::move(Accepted));
    }
  }

  int handle_exception(ACE_HANDLE /*Handle*/) override {
    m_NotifyPending.store(false);
    std::deque<Command> Commands;
    {
      const std::lock_guard Lock(m_Mutex);
      Commands.swap(m_Commands);
    }
    std::vector<Connection *> ToFlush;
    for (Command &Posted : Commands) {
      if (Posted.m_Frame.empty())
        resetPeer(Posted.m_Peer);
      else
        sendFrame(Posted, ToFlush);
    }
    for (Connection *PeerConnection : ToFlush)
      PeerConnection->flush();
    return 0;
  }

  int handle_timeout(const ACE_Time_Value & /*Now*/,
                     const void *Argument) override {
    // The connection may have been destroyed: use the pointer only as a key.
    const auto Found = m_Connections.find(
        static_cast<Connection *>(const_cast<void *>(Argument)));
    if (Found != m_Connections.end() &&
        Found->second->state() == ConnectionState::Connecting)
      Found->second->close();
    return 0;
  }

  void onMessage(Connection &Source, WireMessage Message) override {
    Source.markUsed(++m_UseCounter);
    if (const Hello *HelloMessage = std::get_if<Hello>(&Message)) {
      if (HelloMessage->m_Version != ProtocolVersion) {
        Source.close();
        return;
      }
      Source.setPeer(HelloMessage->m_Listen);
      m_ByPeer.try_emplace(HelloMessage->m_Listen, &Source);
      return;
    }
    if (Source.peer().value().empty()) {
      Source.close();
      return;
    }
    m_Handlers.m_OnMessage(Source.peer(),
                           std::get<PeerMessage>(std::move(Message)));
  }

  void onClosed(Connection &Closed) override {
    const auto ByPeer = m_ByPeer.find(Closed.peer());
    const bool WasSendConnection =
        ByPeer != m_ByPeer.end() && ByPeer->second == &Closed;
    if (WasSendConnection)
      m_ByPeer.erase(ByPeer);
    const auto Found = m_Connections.find(&Closed);
    if (Found != m_Connections.end()) {
      m_ClosedConnections.push_back(std::move(Found->second));
      m_Connections.erase(Found);
    }
    if (WasSendConnection && !m_Stopping.load())
      m_Handlers.m_OnLost(Closed.peer());
  }

private:
  void run() {
    m_Reactor.owner(ACE_OS::thr_self());
    while (!m_Stopping.load()) {
      m_Reactor.handle_events();
      m_ClosedConnections.clear();
    }
    m_Reactor.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                       ACE_Event_Handler::DONT_CALL);
    m_Reactor.cancel_timer(this);
    while (!m_Connections.empty())
      m_Connections.begin()->second->close();
    m_ClosedConnections.clear();
  }

  Connection &addConnection(std::unique_ptr<Connection> NewConnection) {
    Connection &Result = *NewConnection;
    Result.markUsed(++m_UseCounter);
    m_Connections.emplace(&Result, std::move(NewConnection));
    return Result;
  }

  void sendFrame(const Command &Posted, std::vector<Connection *> &ToFlush) {
    Connection *PeerConnection = findOrConnect(Posted.m_Peer);
    if (PeerConnection == nullptr) {
      m_Handlers.m_OnLost(Posted.m_Peer);
      return;
    }
    if (PeerConnection->queuedBytes() > m_Options.m_MaxQueuedBytes) {
      PeerConnection->close();
      return;
    }
    PeerConnection->markUsed(++m_UseCounter);
    PeerConnection->queue(Posted.m_Frame);
    if (std::find(ToFlush.begin(), ToFlush.end(), PeerConnection) ==
        ToFlush.end())
      ToFlush.push_back(PeerConnection);
  }

  Connection *findOrConnect(const PeerAddress &Peer) {
    const auto Found = m_ByPeer.find(Peer);
    if (Found != m_ByPeer.end())
      return Found->second;
    ACE_INET_Addr Address;
    if (Address.set(Peer.value().c_str()) != 0)
      return nullptr;
    if (m_Connections.size() >= m_Options.m_MaxConnections)
      closeLeastRecentlyUsed();
    return connect(Peer, Address);
  }

  Connection *connect(const PeerAddress &Peer, const ACE_INET_Addr &Address) {
    auto NewConnection = std::make_unique<Connection>(
        *this, m_Reactor, ConnectionState::Connecting);
    ACE_SOCK_Connector Connector;
    const int Status = Connector.connect(NewConnection->stream(), Address,
                                         &ACE_Time_Value::zero);
    if (Status != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS)
      return nullptr;
    if (!NewConnection->open())
      return nullptr;
    Connection &Result = addConnection(std::move(NewConnection));
    Result.setPeer(Peer);
    Result.queue(encode(Hello{.m_Listen = advertised(m_Options)}));
    m_ByPeer[Peer] = &Result;
    m_Reactor.schedule_timer(this, &Result, ConnectTimeout);
    return &Result;
  }

  void closeLeastRecentlyUsed() {
    const auto Oldest = std::min_element(
        m_Connections.begin(), m_Connections.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second->lastUsed() < Right.second->lastUsed();
        });
    if (Oldest != m_Connections.end())
      Oldest->second->close();
  }

  void resetPeer(const PeerAddress &Peer) {
    std::vector<Connection *> Matching;
    for (const auto &[Candidate, Holder] : m_Connections)
      if (Candidate->peer() == Peer)
        Matching.push_back(Candidate);
    for (Connection *Candidate : Matching)
      Candidate->close();
  }

  const TcpTransportOptions m_Options;
  const PeerHandlers m_Handlers;
  ACE_Reactor m_Reactor;
  ACE_SOCK_Acceptor m_Acceptor;
  std::thread m_Thread;
  std::atomic<bool> m_Stopping{false};

  // Shared between the reactor's thread and the callers of send() and reset().
  std::mutex m_Mutex;
  std::deque<Command> m_Commands;
  std::atomic<bool> m_NotifyPending{false};

  // Accessed only by the reactor's thread.
  std::unordered_map<Connection *, std::unique_ptr<Connection>> m_Connections;
  /// The connection on which messages to each peer are sent; points into
  /// m_Connections.
  std::unordered_map<PeerAddress, Connection *> m_ByPeer;
  /// Closed connections, destroyed after event handling, when none of their
  /// handlers is running.
  std::vector<std::unique_ptr<Connection>> m_ClosedConnections;
  /// Incremented at each use of a connection; orders connections by last use.
  std::uint64_t m_UseCounter = 0;
};

TcpTransport::TcpTransport(TcpTransportOptions Options, PeerHandlers Handlers)
    : m_Impl(std::make_unique<Impl>(std::move(Options), std::move(Handlers))) {}

TcpTransport::~TcpTransport() = default;

std::error_code TcpTransport::start() { return m_Impl->start(); }

void TcpTransport::send(const PeerAddress &Receiver, PeerMessage Message) {
  m_Impl->submit({.m_Peer = Receiver, .m_Frame = encode(std::move(Message))});
}

void TcpTransport::reset(const PeerAddress &Peer) {
  m_Impl->submit({.m_Peer = Peer, .m_Frame = {}});
}

void TcpTransport::stop() { m_Impl->stop(); }

} // namespace balsamwheel::peer_tcp
