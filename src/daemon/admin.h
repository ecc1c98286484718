// HTTP admin interface of a daemon: status, routes, owners, metrics, draining.
#pragma once

#include "adapters/http_server/control_server.h"
#include "daemon/core.h"

#include <string>
#include <system_error>

namespace balsamwheel::daemon {

/// Serves admin requests. Queries about the node run on the core thread.
class Admin {
public:
  Admin(const std::string &Listen, CoreShared &Shared);

  std::error_code start() { return m_Server.start(); }
  std::uint16_t port() const { return m_Server.port(); }
  void stop() { m_Server.stop(); }

private:
  using Request = http_server::ControlRequest;
  using Response = http_server::ControlResponse;

  Response handle(const Request &Incoming);
  Response drain(const Request &Incoming);
  /// Runs \p Evaluate on the core thread and waits for its result.
  ///
  /// \returns 503 if the event queue is full or the answer is late, 404 if the
  /// result has an "error" field.
  template <typename Query> Response queryCore(const Query &Evaluate);

  CoreShared &m_Shared;
  http_server::ControlServer m_Server;
};

} // namespace balsamwheel::daemon
