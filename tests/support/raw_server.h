// A scripted TCP server: answers what a test tells it, byte for byte.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamwheel::tests {

/// What the server does with one request.
struct RawReply {
  std::string m_Bytes;
  /// Close the connection after the bytes.
  bool m_Close = false;
  /// Send nothing and keep the connection open.
  bool m_Silent = false;
};

/// Serves any number of connections from one thread. A request ends with its
/// Content-Length, or with its head when it has none.
class RawServer {
public:
  /// Called with the whole request and the number of the connection.
  using Script = std::function<RawReply(const std::string &, int)>;

  explicit RawServer(Script Answer) : m_Answer(std::move(Answer)) {
    m_Listen = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_Listen, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    listen(m_Listen, 16);
    socklen_t Size = sizeof(Address);
    getsockname(m_Listen, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    m_Thread = std::thread([this] { run(); });
  }

  ~RawServer() {
    m_Stop = true;
    m_Thread.join();
    for (const Client &Item : m_Clients)
      close(Item.m_Socket);
    close(m_Listen);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }

  std::vector<std::string> requests() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_Requests;
  }

private:
  struct Client {
    int m_Socket;
    int m_Number;
    std::string m_Input;
  };

  void run() {
    while (!m_Stop) {
      std::vector<pollfd> Waits{{m_Listen, POLLIN, 0}};
      for (const Client &Item : m_Clients)
        Waits.push_back({Item.m_Socket, POLLIN, 0});
      if (poll(Waits.data(), Waits.size(), 10) <= 0)
        continue;
      const std::size_t Known = m_Clients.size();
      for (std::size_t I = Known; I > 0; --I)
        if (Waits[I].revents != 0 && !receive(m_Clients[I - 1])) {
          close(m_Clients[I - 1].m_Socket);
          m_Clients.erase(m_Clients.begin() + static_cast<long>(I - 1));
        }
      if (Waits[0].revents != 0)
        m_Clients.push_back({accept(m_Listen, nullptr, nullptr), m_Next++, {}});
    }
  }

  /// False when the connection is to be closed.
  bool receive(Client &From) {
    char Buffer[65536];
    const ssize_t Count = recv(From.m_Socket, Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      return false;
    From.m_Input.append(Buffer, static_cast<std::size_t>(Count));
    const std::size_t Size = requestSize(From.m_Input);
    if (Size == 0 || From.m_Input.size() < Size)
      return true;
    const std::string Request = From.m_Input.substr(0, Size);
    From.m_Input.erase(0, Size);
    {
      const std::scoped_lock Lock(m_Mutex);
      m_Requests.push_back(Request);
    }
    const RawReply Reply = m_Answer(Request, From.m_Number);
    if (!Reply.m_Silent)
      send(From.m_Socket, Reply.m_Bytes.data(), Reply.m_Bytes.size(),
           MSG_NOSIGNAL);
    return !Reply.m_Close;
  }

  static std::size_t requestSize(const std::string &Input) {
    const std::size_t Head = Input.find("\r\n\r\n");
    if (Head == std::string::npos)
      return 0;
    const std::size_t Field = Input.find("Content-Length: ");
    if (Field == std::string::npos || Field > Head)
      return Head + 4;
    return Head + 4 + std::stoul(Input.substr(Field + 16));
  }

  Script m_Answer;
  int m_Listen = -1;
  std::uint16_t m_Port = 0;
  int m_Next = 0;
  std::atomic<bool> m_Stop{false};
  mutable std::mutex m_Mutex;
  std::vector<std::string> m_Requests;
  std::vector<Client> m_Clients;
  std::thread m_Thread;
};

/// "HOST:PORT" with a port of the kernel's choice, freed right before it is
/// used.
inline std::string freeAddress() {
  return RawServer([](const std::string &, int) { return RawReply{}; })
      .address();
}

/// A whole HTTP answer.
inline std::string httpAnswer(const std::string &Status,
                              const std::string &Body,
                              const std::string &Headers = {}) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace balsamwheel::tests
