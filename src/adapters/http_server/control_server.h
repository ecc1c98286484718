// A small HTTP server for control requests: announcements, status, metrics.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace balsamwheel::http_server {

struct ControlRequest {
  std::string m_Method;
  std::string m_Path;
  /// Decoded query parameters.
  std::map<std::string, std::string> m_Query;
  std::string m_Body;
};

struct ControlResponse {
  unsigned m_Status = 200;
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

struct ControlServerOptions {
  /// "host:port".
  std::string m_Listen;
  /// Longest request body in bytes.
  std::size_t m_MaxBody = std::size_t{64} * 1024;
  unsigned m_MaxConnections = 64;
};

/// Runs the handler on the server's own thread, one request at a time.
class ControlServer {
public:
  using Handler = std::function<ControlResponse(const ControlRequest &)>;

  ControlServer(ControlServerOptions Options, Handler Handle);
  ~ControlServer();
  ControlServer(const ControlServer &) = delete;
  ControlServer &operator=(const ControlServer &) = delete;

  std::error_code start();
  /// The port that the server listens on; differs from the configured one if
  /// that is 0.
  std::uint16_t port() const;
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::http_server
