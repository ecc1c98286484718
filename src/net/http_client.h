// HTTP/1.1 client for one endpoint, on an event loop, with a connection pool.
// Used by balsamwheel-sidecar; balsamwheeld uses src/adapters/http_client.
#pragma once

#include "http_message.h"
#include "stream.h"

#include "core/callback_guard.h"

#include <list>
#include <memory>

namespace balsamwheel {

/// How a call ended.
enum class HttpCallOutcome : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// No byte of the request was sent.
  NotSent,
  /// The connection failed or its bytes couldn't be parsed before the answer
  /// was complete; the request may have arrived.
  Broken,
  /// No complete answer in time; the request may have arrived.
  TimedOut,
};

struct HttpCallResult {
  HttpCallOutcome m_CallOutcome = HttpCallOutcome::NotSent;
  HttpAnswer m_Answer;
  /// Why the call ended without an answer; a string literal.
  const char *m_Error = "";
};

struct HttpCall {
  HttpRequest m_Request;
  /// From call() to the complete answer, time in the queue included.
  Duration m_Timeout = std::chrono::seconds(1);
  /// A pooled connection that has been idle for longer isn't used: the server
  /// may have dropped it, which matters if the call must not be repeated.
  Duration m_MaxIdle = std::chrono::hours(1);
  /// Name of the header that identifies the request in its answer. An answer
  /// whose value isn't m_Id is a late or duplicate one of an earlier request
  /// and is dropped. A request that is sent again with the same id uses another
  /// connection than before, so that no answer to the earlier attempt is taken
  /// for one to the later. If empty, any answer is accepted.
  std::string m_IdHeader;
  /// Expected value of the header m_IdHeader.
  std::string m_Id;
  /// The server may leave the id out of its answers. An answer without it is
  /// accepted only on a connection that has carried nothing else, and that
  /// isn't used again.
  bool m_IdOptional = false;
};

struct HttpClientOptions {
  std::size_t m_MaxConnections = 16;
  ParseLimits m_Limits;
  /// For the bodies of answers that are being received; null means no limit
  /// besides m_Limits. A call whose answer finds no room ends as Broken. Must
  /// outlive the client.
  BodyRoom *m_BodyRoom = nullptr;
  /// Interim answers and answers to other requests that one call skips.
  int m_MaxSkippedAnswers = 16;
  /// A connection fails when sent data stays unacknowledged for this long
  /// (TCP_USER_TIMEOUT).
  Duration m_TcpUserTimeout = std::chrono::seconds(4);
  Duration m_ConnectTimeout = std::chrono::milliseconds(800);
  /// Idle connections are closed after this time, before the server does so.
  Duration m_IdleTimeout = std::chrono::seconds(4);
  /// A connection whose server states a time-out in Keep-Alive is closed this
  /// much earlier than stated.
  Duration m_IdleMargin = std::chrono::milliseconds(800);
  /// A connection is closed after this many calls with ids; bounds the memory
  /// for the ids that it has carried.
  std::size_t m_MaxIdsPerConnection = 1000;
};

/// Calls wait in order while all connections are busy.
///
/// Invariants: each call ends exactly once, by its callback, by cancel() or by
/// the client's destruction; no connection carries two calls with the same id.
class HttpClient {
public:
  using CallId = StrongId<struct HttpCallIdTag, std::uint64_t>;
  using OnResult = std::function<void(HttpCallResult)>;

  HttpClient(EventLoop &Loop, Endpoint Server, HttpClientOptions Options);
  ~HttpClient();

  /// Sends the request, or queues it until a connection is free.
  CallId call(HttpCall Call, OnResult Done);
  /// Removes a call without calling its callback. The connection of a call in
  /// progress is closed.
  void cancel(CallId Call);
  /// Whether a call waits for a connection, so that no byte of it was sent.
  /// Complexity: linear in the number of calls.
  bool isUnsent(CallId Call) const;
  /// Closes all connections. Calls in progress end as Broken, queued ones as
  /// NotSent.
  void reset();
  /// Closes the idle connections: what has made another one fail may have
  /// affected them, too.
  void closeIdle();
  /// Returns how many connections were opened so far.
  std::uint64_t connectionsOpened() const { return m_ConnectionsOpened; }

private:
  friend class HttpClientConnection;
  struct PendingCall {
    CallId m_Id;
    HttpCall m_Call;
    OnResult m_Done;
    TimePoint m_Deadline;
    /// Of the request id.
    std::uint32_t m_IdHash = 0;
  };

  /// Starts queued calls while there are connections for them.
  void dispatch();
  /// Closes the connection that has been idle for longest, if any is idle.
  void closeLongestIdle();
  void remove(class HttpClientConnection *Connection);
  /// Ends the first of m_Unsendable as NotSent, if any is left.
  void endUnsendable(const char *Why);

  EventLoop &m_Loop;
  Endpoint m_Server;
  HttpClientOptions m_Options;
  std::uint64_t m_LastCall = 0;
  std::uint64_t m_ConnectionsOpened = 0;
  std::list<PendingCall> m_Queue;
  /// Calls that got no socket, or that reset() is giving up. Those without a
  /// socket are ended by posted tasks, as call() has to return first.
  std::list<PendingCall> m_Unsendable;
  std::list<std::unique_ptr<HttpClientConnection>> m_Connections;
  /// Of posted tasks: a client ends with its server's incarnation.
  CallbackGuard m_Guard;
};

} // namespace balsamwheel
