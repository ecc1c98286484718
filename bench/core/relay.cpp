// A poll loop over the listening sockets and the socket pairs of connections.
#include "bench/core/relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <fcntl.h>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace balsamwheel::bench {

namespace {

constexpr int PollTimeoutMs = 20;
constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;
constexpr int ListenBacklog = 512;

sockaddr_in loopbackSocketAddress(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

int openSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

/// Makes a socket non-blocking and switches off Nagle's algorithm.
void configureSocket(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  fcntl(Socket, F_SETFL, fcntl(Socket, F_GETFL) | O_NONBLOCK);
}

struct Listener {
  int m_Socket = -1;
  std::uint16_t m_ListenPort = 0;
  std::uint16_t m_ServerPort = 0;
};

/// One direction of a connection. Invariant: reads only when m_Pending, the
/// bytes read but not yet sent, is empty.
struct Direction {
  int m_Source = -1;
  int m_Destination = -1;
  std::string m_Pending;
};

struct Connection {
  Direction m_ToServer;
  Direction m_ToClient;
  /// Relay port of the daemon that accepted the connection.
  std::uint16_t m_ServerListenPort = 0;
  /// Relay port of the daemon that opened the connection, from its Hello
  /// message; 0 until that arrives.
  std::uint16_t m_ClientListenPort = 0;
  /// Blocked permanently.
  bool m_Silent = false;
  bool m_Closed = false;
};

/// Returns the port of the first "127.0.0.1:PORT" in a Hello message; 0 when
/// there is none.
std::uint16_t portInHello(const std::string &Bytes) {
  const std::string Host = "127.0.0.1:";
  const std::size_t Found = Bytes.find(Host);
  if (Found == std::string::npos)
    return 0;
  return static_cast<std::uint16_t>(
      std::strtoul(Bytes.c_str() + Found + Host.size(), nullptr, 10));
}

} // namespace

class RelayHub::Impl {
public:
  ~Impl() {
    m_Stopping = true;
    if (m_Thread.joinable())
      m_Thread.join();
    for (const Connection &Each : m_Connections)
      closeBoth(Each);
    for (const Listener &Each : m_Listeners)
      close(Each.m_Socket);
  }

  void add(std::uint16_t ListenPort, std::uint16_t ServerPort) {
    const int Socket = openSocket();
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Address = loopbackSocketAddress(ListenPort);
    if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
        listen(Socket, ListenBacklog) != 0)
      throw std::runtime_error("a relay cannot listen on its port");
    configureSocket(Socket);
    m_Listeners.push_back({Socket, ListenPort, ServerPort});
  }

  void start() {
    m_Thread = std::thread([this] {
      while (!m_Stopping)
        pollOnce();
    });
  }

  void silenceOpenConnections() {
    const std::lock_guard Lock(m_Mutex);
    for (Connection &Each : m_Connections)
      Each.m_Silent = true;
  }

  void isolate(std::set<std::uint16_t> Ports) {
    const std::lock_guard Lock(m_Mutex);
    m_IsolatedPorts = std::move(Ports);
  }

  std::size_t openConnections() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Connections.size();
  }

private:
  static void closeBoth(const Connection &Each) {
    close(Each.m_ToServer.m_Source);
    close(Each.m_ToServer.m_Destination);
  }

  bool isBlocked(const Connection &Each) const {
    if (Each.m_Silent)
      return true;
    return Each.m_ClientListenPort != 0 &&
           m_IsolatedPorts.contains(Each.m_ClientListenPort) !=
               m_IsolatedPorts.contains(Each.m_ServerListenPort);
  }

  void pollOnce() {
    std::vector<pollfd> Polled = makePollSet();
    poll(Polled.data(), Polled.size(), PollTimeoutMs);
    const std::lock_guard Lock(m_Mutex);
    for (const Listener &Each : m_Listeners)
      acceptAll(Each);
    for (Connection &Each : m_Connections)
      if (!isBlocked(Each))
        relayBoth(Each);
    m_Connections.remove_if([](const Connection &Each) {
      if (Each.m_Closed)
        closeBoth(Each);
      return Each.m_Closed;
    });
  }

  std::vector<pollfd> makePollSet() {
    const std::lock_guard Lock(m_Mutex);
    std::vector<pollfd> Result;
    Result.reserve(m_Listeners.size() + 2 * m_Connections.size());
    for (const Listener &Each : m_Listeners)
      Result.push_back({Each.m_Socket, POLLIN, 0});
    for (const Connection &Each : m_Connections) {
      if (isBlocked(Each))
        continue;
      for (const Direction *Flow : {&Each.m_ToServer, &Each.m_ToClient})
        if (Flow->m_Pending.empty())
          Result.push_back({Flow->m_Source, POLLIN, 0});
        else
          Result.push_back({Flow->m_Destination, POLLOUT, 0});
    }
    return Result;
  }

  void acceptAll(const Listener &From) {
    while (true) {
      const int Client = accept4(From.m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0)
        return;
      const int Server = openSocket();
      const sockaddr_in Address = loopbackSocketAddress(From.m_ServerPort);
      if (connect(Server, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address)) != 0) {
        close(Client);
        close(Server);
        continue;
      }
      configureSocket(Client);
      configureSocket(Server);
      Connection Opened;
      Opened.m_ToServer = {Client, Server, {}};
      Opened.m_ToClient = {Server, Client, {}};
      Opened.m_ServerListenPort = From.m_ListenPort;
      m_Connections.push_back(std::move(Opened));
    }
  }

  void relayBoth(Connection &Each) {
    if (!relayOneWay(Each, Each.m_ToServer) ||
        !relayOneWay(Each, Each.m_ToClient))
      Each.m_Closed = true;
  }

  /// Returns false when the connection has ended.
  bool relayOneWay(Connection &Each, Direction &Flow) {
    if (Flow.m_Pending.empty()) {
      std::array<char, ChunkBytes> Chunk{};
      const ssize_t Count = read(Flow.m_Source, Chunk.data(), Chunk.size());
      if (Count == 0)
        return false;
      if (Count < 0)
        return errno == EAGAIN || errno == EINTR;
      Flow.m_Pending.assign(Chunk.data(), static_cast<std::size_t>(Count));
      if (Each.m_ClientListenPort == 0 && &Flow == &Each.m_ToServer) {
        Each.m_ClientListenPort = portInHello(Flow.m_Pending);
        if (isBlocked(Each))
          return true;
      }
    }
    const ssize_t Sent = send(Flow.m_Destination, Flow.m_Pending.data(),
                              Flow.m_Pending.size(), MSG_NOSIGNAL);
    if (Sent < 0)
      return errno == EAGAIN || errno == EINTR;
    Flow.m_Pending.erase(0, static_cast<std::size_t>(Sent));
    return true;
  }

  /// Guards the members below, except m_Listeners, which is constant once
  /// started.
  mutable std::mutex m_Mutex;
  std::vector<Listener> m_Listeners;
  std::list<Connection> m_Connections;
  std::set<std::uint16_t> m_IsolatedPorts;
  std::atomic<bool> m_Stopping = false;
  std::thread m_Thread;
};

RelayHub::RelayHub() : m_Impl(std::make_unique<Impl>()) {}

RelayHub::~RelayHub() = default;

void RelayHub::add(std::uint16_t ListenPort, std::uint16_t ServerPort) {
  m_Impl->add(ListenPort, ServerPort);
}

void RelayHub::start() { m_Impl->start(); }

void RelayHub::silenceOpenConnections() { m_Impl->silenceOpenConnections(); }

void RelayHub::isolate(std::set<std::uint16_t> ListenPorts) {
  m_Impl->isolate(std::move(ListenPorts));
}

void RelayHub::heal() { m_Impl->isolate({}); }

std::size_t RelayHub::openConnections() const {
  return m_Impl->openConnections();
}

} // namespace balsamwheel::bench
