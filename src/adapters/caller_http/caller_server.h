// The HTTP interface for callers.
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
  /// Memory of one connection; bounds the size of a request's head.
  std::size_t m_ConnectionMemory = std::size_t{32} * 1024;
  /// An idle connection is closed after this time.
  std::chrono::seconds m_IdleTimeout{120};
  /// Goes into generated request ids.
  std::uint64_t m_Session = 0;
};

/// Called on the server's thread.
struct CallerHandlers {
  /// The configuration in force, null while none is known.
  std::function<std::shared_ptr<const Config>()> m_Config;
  /// Takes a request; false when there is no room for it.
  std::function<bool(IncomingRequest &Request)> m_OnRequest;
  /// The caller left before its answer.
  std::function<void(RequestHandle)> m_OnGone;
  /// Makes the pipe for the rest of a long request body.
  std::function<runtime::BodyPipePtr(std::string_view Prefix,
                                     std::optional<std::uint64_t> Length)>
      m_MakePipe;
  /// A request was refused here; it reaches no target.
  std::function<void(Reason)> m_OnRefused;
};

/// Satisfies CallerEntrance. One thread serves all connections; a connection
/// that waits for its answer is suspended.
class CallerServer {
public:
  CallerServer(CallerServerOptions Options, CallerHandlers Handlers);
  ~CallerServer();

  std::error_code start();
  /// Sends the answer of a request; any thread.
  ///
  /// \param Rest the rest of a long body. When it is null although the answer
  /// names one, the connection is aborted.
  void answer(AnswerCaller Answer, runtime::BodyPipePtr Rest);
  /// Asks callers to open no further request on their connections.
  void closeAfterAnswers();
  /// Accepts no further connections.
  void stopListening();
  /// Requests whose answers are not sent completely.
  std::size_t openRequests() const;
  std::uint16_t port() const;
  /// Ends the thread; open requests are aborted.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::caller_http
