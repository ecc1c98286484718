// A TCP server for tests that answers each HTTP request with the bytes that a
// script returns.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace balsamwheel::tests {

/// Value of a request's header.
/// \param Name with the colon and space behind it.
inline std::string headerOf(const std::string &Request,
                            const std::string &Name) {
  const std::size_t At = Request.find(Name);
  if (At == std::string::npos)
    return {};
  const std::size_t First = At + Name.size();
  return Request.substr(First, Request.find("\r\n", First) - First);
}

/// What the server does with one request.
struct RawReply {
  std::string m_Bytes;
  /// Close the connection after m_Bytes.
  bool m_Close = false;
  /// Reset the connection after m_Bytes.
  bool m_Reset = false;
  /// Send FIN after m_Bytes; the rest of the request stays unread.
  bool m_EndOutput = false;
  /// Send nothing and keep the connection open.
  bool m_Silent = false;
};

/// When a request is answered.
enum class AnswerAt : std::uint8_t {
  /// After the body that Content-Length announces; without one, after the
  /// headers.
  RequestEnd,
  /// After the headers; the body stays unread.
  HeadersEnd,
};

/// Serves any number of connections on one thread of its own.
class RawServer {
public:
  /// Called with the whole request and the number of its connection, counted
  /// from 0.
  using Script = std::function<RawReply(const std::string &, int)>;

  explicit RawServer(Script Callback, AnswerAt When = AnswerAt::RequestEnd)
      : m_Script(std::move(Callback)), m_AnswerAt(When) {
    startListening();
    m_Thread = std::thread([this] { run(); });
  }

  ~RawServer() {
    m_Stop = true;
    m_Thread.join();
    for (const Client &Connection : m_Clients)
      close(Connection.m_Socket);
    close(m_ListenSocket);
  }

  /// While set, new connections are refused; takes effect within 20 ms.
  void setRefusing(bool Refusing) { m_Refusing = Refusing; }

  /// Closes all connections, as the end of its process does; takes effect
  /// within 20 ms.
  void dropConnections() { m_DropConnections = true; }

  /// "HOST:PORT" on which it listens.
  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }

  /// Returns all requests received so far.
  std::vector<std::string> requests() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_Requests;
  }

private:
  struct Client {
    int m_Socket;
    int m_Number;
    std::string m_Input;
    bool m_OutputEnded = false;
  };

  /// Listens on the port that it has had before, if any.
  void startListening() {
    m_ListenSocket = socket(AF_INET, SOCK_STREAM, 0);
    const int Reuse = 1;
    setsockopt(m_ListenSocket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(m_Port);
    bind(m_ListenSocket, reinterpret_cast<sockaddr *>(&Address),
         sizeof(Address));
    listen(m_ListenSocket, 16);
    socklen_t Size = sizeof(Address);
    getsockname(m_ListenSocket, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
  }

  void run() {
    while (!m_Stop) {
      if (m_DropConnections.exchange(false)) {
        for (const Client &Connection : m_Clients)
          close(Connection.m_Socket);
        m_Clients.clear();
      }
      if (m_Refusing && m_ListenSocket >= 0) {
        close(m_ListenSocket);
        m_ListenSocket = -1;
      } else if (!m_Refusing && m_ListenSocket < 0) {
        startListening();
      }
      std::vector<pollfd> PollFds{{m_ListenSocket, POLLIN, 0}};
      for (const Client &Connection : m_Clients)
        PollFds.push_back(
            {Connection.m_Socket,
             static_cast<short>(Connection.m_OutputEnded ? 0 : POLLIN), 0});
      if (poll(PollFds.data(), PollFds.size(), 10) <= 0)
        continue;
      const std::size_t ClientCount = m_Clients.size();
      for (std::size_t I = ClientCount; I > 0; --I)
        if (PollFds[I].revents != 0 && !receive(m_Clients[I - 1])) {
          close(m_Clients[I - 1].m_Socket);
          m_Clients.erase(m_Clients.begin() + static_cast<long>(I - 1));
        }
      if (PollFds[0].revents != 0)
        m_Clients.push_back(
            {accept(m_ListenSocket, nullptr, nullptr), m_NextNumber++, {}});
    }
  }

  /// Returns false if the connection is to be closed.
  bool receive(Client &Sender) {
    char Buffer[65536];
    // Small reads leave the body of an early answer's request unread.
    const std::size_t Size =
        m_AnswerAt == AnswerAt::HeadersEnd ? 512 : sizeof(Buffer);
    const ssize_t Count = recv(Sender.m_Socket, Buffer, Size, 0);
    if (Count <= 0)
      return false;
    Sender.m_Input.append(Buffer, static_cast<std::size_t>(Count));
    const std::size_t RequestBytes = requestSize(Sender.m_Input);
    if (RequestBytes == 0 || Sender.m_Input.size() < RequestBytes)
      return true;
    const std::string Request = Sender.m_Input.substr(0, RequestBytes);
    Sender.m_Input.erase(0, RequestBytes);
    {
      const std::scoped_lock Lock(m_Mutex);
      m_Requests.push_back(Request);
    }
    const RawReply Reply = m_Script(Request, Sender.m_Number);
    if (!Reply.m_Silent)
      send(Sender.m_Socket, Reply.m_Bytes.data(), Reply.m_Bytes.size(),
           MSG_NOSIGNAL);
    if (Reply.m_Reset) {
      const linger Abort{.l_onoff = 1, .l_linger = 0};
      setsockopt(Sender.m_Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
    }
    if (Reply.m_EndOutput) {
      shutdown(Sender.m_Socket, SHUT_WR);
      Sender.m_OutputEnded = true;
    }
    return !Reply.m_Close && !Reply.m_Reset;
  }

  /// Returns how many bytes of the first request are read before its answer; 0
  /// while its headers are incomplete.
  std::size_t requestSize(const std::string &Input) const {
    const std::size_t HeaderEnd = Input.find("\r\n\r\n");
    if (HeaderEnd == std::string::npos)
      return 0;
    const std::size_t Field = Input.find("Content-Length: ");
    if (m_AnswerAt == AnswerAt::HeadersEnd || Field == std::string::npos ||
        Field > HeaderEnd)
      return HeaderEnd + 4;
    return HeaderEnd + 4 + std::stoul(Input.substr(Field + 16));
  }

  Script m_Script;
  AnswerAt m_AnswerAt;
  int m_ListenSocket = -1;
  std::uint16_t m_Port = 0;
  int m_NextNumber = 0;
  std::atomic<bool> m_Stop{false};
  std::atomic<bool> m_Refusing{false};
  std::atomic<bool> m_DropConnections = false;
  mutable std::mutex m_Mutex;
  std::vector<std::string> m_Requests;
  std::vector<Client> m_Clients;
  std::thread m_Thread;
};

/// Returns "HOST:PORT" with a port on which nothing listened just now, and
/// which this process doesn't return again soon.
///
/// The kernel gives connections ports from 32768 on by default: one from there
/// could be taken by another test before something listens on it.
inline std::string freeAddress() {
  constexpr int FirstPort = 12000;
  constexpr int PortCount = 20000;
  /// Processes that run at the same time begin at different ports.
  constexpr int PortsPerProcess = 100;
  static int Next = getpid() * PortsPerProcess % PortCount;
  for (int Try = 0; Try < PortCount; ++Try) {
    const int Port = FirstPort + Next;
    Next = (Next + 1) % PortCount;
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int Probe = socket(AF_INET, SOCK_STREAM, 0);
    const bool Free = bind(Probe, reinterpret_cast<sockaddr *>(&Address),
                           sizeof Address) == 0;
    close(Probe);
    if (Free)
      return "127.0.0.1:" + std::to_string(Port);
  }
  throw std::runtime_error("no free port");
}

/// Returns a whole HTTP answer with a Content-Length.
inline std::string httpAnswer(const std::string &Status,
                              const std::string &Body,
                              const std::string &Headers = {}) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace balsamwheel::tests
