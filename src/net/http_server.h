// HTTP/1.1 server on an event loop. A connection serves idempotent requests
// that its caller sends ahead side by side, and answers all requests in their
// order.
#pragma once

#include "http_message.h"
#include "stream.h"

#include <map>
#include <memory>
#include <utility>

namespace balsamwheel {

class HttpServerConnection;

/// A request and the means to answer it. The holder may answer once, at any
/// time; an answer after the caller has disconnected is discarded.
class HttpExchange {
public:
  /// \param ReceivedAt when the last byte of the request was received.
  HttpExchange(HttpRequest Request, HttpServerConnection *Connection,
               TimePoint ReceivedAt);

  HttpRequest &request() { return m_Request; }
  /// When the request was received: earlier than it was passed to the handler
  /// if it had to wait for others of its connection. Deadlines count from here.
  TimePoint receivedAt() const { return m_ReceivedAt; }
  /// Sends \p Answer, after those of the requests before this one on its
  /// connection; closes the connection afterwards if its m_KeepAlive is false.
  void answer(HttpAnswer Answer);
  /// Closes the connection without an answer, after the answers of the requests
  /// before this one.
  void abort();
  /// Sets the function that is called if the request can't be answered any
  /// more: its caller has disconnected, or the answer to a request before it
  /// closes the connection.
  void onCallerDisconnected(std::function<void()> Callback) {
    m_OnCallerDisconnected = std::move(Callback);
  }
  /// Returns whether the request was answered or aborted, or can't be answered
  /// any more.
  bool isClosed() const { return !m_Connection; }

private:
  friend class HttpServerConnection;

  void callerDisconnected();

  HttpRequest m_Request;
  /// Null once isClosed().
  HttpServerConnection *m_Connection;
  TimePoint m_ReceivedAt;
  // Copies, because the holder may move the request out.
  bool m_KeepAlive;
  /// The answer has no body (HEAD).
  bool m_NoBody;
  /// GET or HEAD.
  bool m_Idempotent;
  std::function<void()> m_OnCallerDisconnected;
};

struct HttpServerOptions {
  ParseLimits m_Limits;
  /// Maximum time from the first byte of a request to the end of its headers.
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  /// Maximum time without a byte received or an answer sent, between requests
  /// and within a request's body.
  Duration m_IdleTimeout = std::chrono::seconds(15);
  /// When it is reached, a new connection evicts those that have been idle the
  /// longest, and is closed if none is idle.
  std::size_t m_MaxConnections = 2048;
  /// For the bodies of requests; null means no limit. Must outlive the server.
  BodyRoom *m_BodyRoom = nullptr;
  /// Makes the answer to a request whose body finds no room.
  std::function<HttpAnswer()> m_NoRoomAnswer;
};

/// Accepts connections on one address and passes each request to a handler.
class HttpServer {
public:
  using OnRequest = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(EventLoop &Loop, HttpServerOptions Options, OnRequest Handler);
  ~HttpServer();

  /// Returns false if the address can't be listened on.
  bool listen(const Endpoint &Local);
  /// Replaces the options; parse limits apply from the next request on.
  void setOptions(HttpServerOptions Options) { m_Options = std::move(Options); }
  /// From now on, a connection is closed after the answer to the last request
  /// that has begun, and begins no further one. Idle ones stay open until their
  /// caller's next request, their idle time-out, or the end of the process.
  void closeAfterAnswers() { m_CloseAfterAnswers = true; }
  void stopListening() { m_Acceptor.close(); }
  std::size_t connections() const { return m_Connections.size(); }
  /// Returns the number of requests that were passed to the handler and not yet
  /// answered by it.
  std::size_t activeRequests() const;
  /// Returns the number of answer bytes in the output buffers and of answers
  /// that wait for those before them.
  std::size_t pendingBytes() const;
  /// Returns the bytes held for all callers: input, answers that wait for those
  /// before them, output. Requests that the handler holds don't count.
  std::size_t heldBytes() const;

private:
  friend class HttpServerConnection;

  void onAccept(ACE_HANDLE Handle);
  /// Closes the connections that have been idle the longest, if any is idle.
  void closeLongestIdle();
  void remove(HttpServerConnection *Connection);
  /// Applies the time-outs to all connections.
  void checkTimeouts();

  EventLoop &m_Loop;
  HttpServerOptions m_Options;
  OnRequest m_Handler;
  Acceptor m_Acceptor;
  bool m_CloseAfterAnswers = false;
  std::map<HttpServerConnection *, std::unique_ptr<HttpServerConnection>>
      m_Connections;
  EventLoop::TimerId m_TimeoutCheckTimer;
};

} // namespace balsamwheel
