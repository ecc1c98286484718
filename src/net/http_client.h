// HTTP/1.1 client of one endpoint on an event loop, with reused connections.
#pragma once

#include "http_message.h"
#include "stream.h"

#include <list>
#include <memory>

namespace balsamwheel {

enum class HttpCallEnd : std::uint8_t {
  /// The whole answer is there.
  Answered,
  /// No byte of the request left this process.
  NotSent,
  /// The request may have arrived; no whole answer came.
  Broken,
  TimedOut,
};

struct HttpCallResult {
  HttpCallEnd m_End = HttpCallEnd::NotSent;
  HttpAnswer m_Answer;
  /// Why the call ended without an answer; a constant text.
  const char *m_Error = "";
};

struct HttpCall {
  HttpRequest m_Request;
  Duration m_Timeout = std::chrono::seconds(1);
  /// A kept connection that has been idle for longer isn't used: its other end
  /// may have forgotten it, and the call may not be repeated.
  Duration m_MaxIdle = std::chrono::hours(1);
  /// An answer whose header of this name has another value is a late or extra
  /// one of an earlier request and is dropped. Empty takes any answer.
  std::string m_IdHeader;
  std::string m_Id;
};

struct HttpClientOptions {
  std::size_t m_MaxConnections = 16;
  ParseLimits m_Limits;
  /// A connection whose other end acknowledges nothing for this long is lost.
  Duration m_UnacknowledgedLimit = std::chrono::seconds(4);
  Duration m_ConnectTimeout = std::chrono::milliseconds(800);
  /// Idle connections are given up before the server closes them.
  Duration m_IdleTimeout = std::chrono::seconds(4);
  /// By how much earlier than its Keep-Alive header says.
  Duration m_IdleMargin = std::chrono::milliseconds(800);
};

/// Calls beyond the connections wait in order. Invariant: each call ends
/// exactly once, by its callback or by cancel().
class HttpClient {
public:
  using CallId = StrongId<struct HttpCallIdTag, std::uint64_t>;
  using OnResult = std::function<void(HttpCallResult)>;

  HttpClient(EventLoop &Loop, Endpoint To, HttpClientOptions Options);
  ~HttpClient();

  CallId call(HttpCall Call, OnResult Done);
  /// Closes the connection of a call under way; its callback isn't called.
  void cancel(CallId Call);
  /// Closes all connections; calls under way end as broken.
  void reset();
  std::uint64_t connectionsOpened() const { return m_Opened; }

private:
  friend class HttpClientConnection;
  struct Waiting {
    CallId m_Id;
    HttpCall m_Call;
    OnResult m_Done;
    TimePoint m_Until;
  };

  void dispatch();
  /// A call got no answer in time: what made its connection silent may have
  /// struck the idle ones, too.
  void closeIdle();
  void remove(class HttpClientConnection *Connection);

  EventLoop &m_Loop;
  Endpoint m_To;
  HttpClientOptions m_Options;
  std::uint64_t m_LastCall = 0;
  std::uint64_t m_Opened = 0;
  std::list<Waiting> m_Waiting;
  std::list<std::unique_ptr<HttpClientConnection>> m_Connections;
};

} // namespace balsamwheel
