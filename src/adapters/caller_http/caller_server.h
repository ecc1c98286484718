// The HTTP server that accepts requests from callers.
#pragma once

#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/node/node.h"
#include "runtime/body_pipe.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace balsamwheel::caller_http {

struct CallerServerOptions {
  /// "host:port".
  std::string m_Listen;
  unsigned m_MaxConnections = 4096;
  /// Bytes of memory per connection; limits the size of a request's head.
  std::size_t m_ConnectionMemory = std::size_t{32} * 1024;
  /// Idle connections are closed after this time.
  std::chrono::seconds m_IdleTimeout{120};
  /// Session of this daemon; part of the request ids that the server generates.
  std::uint64_t m_Session = 0;
};

/// Called on the server's thread.
struct CallerHandlers {
  /// Returns the active configuration, null before the first one is loaded.
  std::function<std::shared_ptr<const Config>()> m_Config;
  /// Accepts a request; returns false when the daemon's event queue is full.
  std::function<bool(IncomingRequest &Request)> m_OnRequest;
  /// The caller disconnected before its answer was sent.
  std::function<void(RequestHandle)> m_OnCallerDisconnected;
  /// Creates the pipe for the remainder of a long request body.
  std::function<runtime::BodyPipePtr(std::string_view Prefix,
                                     std::optional<std::uint64_t> Length)>
      m_MakePipe;
  /// The server refused a request itself, so it reaches no target.
  std::function<void(Reason)> m_OnRefused;
};

/// Satisfies CallerFrontend. One thread serves all connections; a connection
/// is suspended while it waits for its answer.
class CallerServer {
public:
  CallerServer(CallerServerOptions Options, CallerHandlers Handlers);
  ~CallerServer();

  std::error_code start();
  /// Sends the answer to a request. May be called from any thread.
  ///
  /// \param Rest the remainder of a long body. If it is null although the
  /// answer names a body stream, the connection is aborted.
  void answer(AnswerCaller Answer, runtime::BodyPipePtr Rest);
  /// Adds "Connection: close" to all answers from now on, so that callers send
  /// no further requests on their connections.
  void closeAfterAnswers();
  /// Accepts no further connections.
  void stopListening();
  /// Number of requests whose answers have not been sent completely.
  std::size_t openRequests() const;
  std::uint16_t port() const;
  /// Aborts open requests and ends the thread.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::caller_http
