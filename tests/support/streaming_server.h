// A TCP server for tests that answers the first request of each connection with
// bytes that don't end, until its client closes the connection.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace balsamwheel::tests {

/// Serves a fixed number of connections, each on a thread of its own.
class StreamingServer {
public:
  /// Sends \p Head and then \p Repeated again and again.
  StreamingServer(std::string Head, std::string Repeated, int Connections = 1)
      : m_Head(std::move(Head)), m_Repeated(std::move(Repeated)) {
    m_ListenSocket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_ListenSocket, reinterpret_cast<sockaddr *>(&Address),
         sizeof(Address));
    listen(m_ListenSocket, Connections);
    socklen_t Size = sizeof(Address);
    getsockname(m_ListenSocket, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    for (int I = 0; I < Connections; ++I)
      m_Threads.emplace_back([this] { run(); });
  }

  ~StreamingServer() {
    stop();
    join();
    close(m_ListenSocket);
  }

  /// Waits until all connections were made and closed by their clients. After a
  /// call of stop(), those that weren't made aren't waited for.
  void join() {
    for (std::thread &Each : m_Threads)
      if (Each.joinable())
        Each.join();
  }

  /// Accepts no more connections.
  void stop() { shutdown(m_ListenSocket, SHUT_RDWR); }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }
  std::size_t bytesSent() const { return m_BytesSent; }

private:
  bool sendAll(int Client, const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t Count =
          send(Client, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
      m_BytesSent += static_cast<std::size_t>(Count);
    }
    return true;
  }

  void run() {
    const int Client = accept(m_ListenSocket, nullptr, nullptr);
    if (Client < 0)
      return;
    char Buffer[4096];
    bool Open = recv(Client, Buffer, sizeof(Buffer), 0) > 0;
    Open = Open && sendAll(Client, m_Head);
    while (Open)
      Open = sendAll(Client, m_Repeated);
    close(Client);
  }

  std::string m_Head;
  std::string m_Repeated;
  int m_ListenSocket = -1;
  std::uint16_t m_Port = 0;
  std::atomic<std::size_t> m_BytesSent = 0;
  std::vector<std::thread> m_Threads;
};

} // namespace balsamwheel::tests
