// HTTP/1.1 server on an event loop: one request at a time per connection.
#pragma once

#include "http_message.h"
#include "stream.h"

#include <map>
#include <memory>

namespace balsamwheel {

class HttpServerConnection;

/// One request and the way back to its caller. The holder may answer once, at
/// any time; after the caller has left, answers go nowhere.
class HttpExchange {
public:
  HttpExchange(HttpRequest Request, HttpServerConnection *Connection)
      : m_Request(std::move(Request)), m_Connection(Connection) {}

  HttpRequest &request() { return m_Request; }
  /// \p Answer's connection is closed afterwards when it says so.
  void answer(HttpAnswer Answer);
  /// Closes the connection without an answer.
  void abort();
  /// Called when the caller closes its connection before the answer.
  void onGone(std::function<void()> Callback) {
    m_OnGone = std::move(Callback);
  }
  bool isGone() const { return !m_Connection; }

private:
  friend class HttpServerConnection;

  HttpRequest m_Request;
  /// Null once the exchange is answered or its caller has left.
  HttpServerConnection *m_Connection;
  std::function<void()> m_OnGone;
};

struct HttpServerOptions {
  ParseLimits m_Limits;
  /// From the first byte of a request to the end of its headers.
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
  /// Beyond it, new connections take the place of those idle for longest.
  std::size_t m_MaxConnections = 2048;
};

class HttpServer {
public:
  using OnRequest = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop &Loop, HttpServerOptions Options, OnRequest Handler);
  ~HttpServer();

  bool listen(const Endpoint &At);
  /// New bounds hold from the next request on.
  void setOptions(HttpServerOptions Options) { m_Options = Options; }
  /// From now on each answer ends its connection; idle ones stay until their
  /// caller's next request or the end of the process.
  void closeAfterAnswers() { m_Closing = true; }
  void stopListening() { m_Acceptor.close(); }
  std::size_t connections() const { return m_Connections.size(); }
  /// Requests that have been read and not answered.
  std::size_t active() const;
  /// Bytes of answers that callers haven't taken yet.
  std::size_t pending() const;

private:
  friend class HttpServerConnection;

  void accepted(ACE_HANDLE Handle);
  /// Makes room for new connections; there may be none.
  void closeLongestIdle();
  void remove(HttpServerConnection *Connection);
  void sweep();

  EventLoop &m_Loop;
  HttpServerOptions m_Options;
  OnRequest m_Handler;
  Acceptor m_Acceptor;
  bool m_Closing = false;
  std::map<HttpServerConnection *, std::unique_ptr<HttpServerConnection>>
      m_Connections;
  EventLoop::TimerId m_SweepTimer;
};

} // namespace balsamwheel
