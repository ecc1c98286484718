// A small HTTP server on libmicrohttpd whose handlers may answer later and from
// any thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace balsamwheel::bench {

struct ServerRequest {
  std::string m_Method;
  std::string m_Path;
  /// Names in lower case.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  /// Returns the value of a header; empty when it is absent.
  std::string header(const std::string &LowerName) const;
  /// Returns the value of a header as a number; 0 when it is absent or not a
  /// number.
  std::uint64_t numericHeader(const std::string &LowerName) const;
};

struct ServerAnswer {
  std::uint16_t m_Status = 200;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
  /// Closes the connection instead of answering.
  bool m_Drop = false;
};

/// Answers one request. Only the first answer counts. Thread-safe.
class Responder {
public:
  virtual ~Responder() = default;
  virtual void answer(ServerAnswer Answer) = 0;
};

using ServerHandler =
    std::function<void(ServerRequest, std::shared_ptr<Responder>)>;

struct HttpServerOptions {
  std::string m_Host = "127.0.0.1";
  std::uint16_t m_Port = 0;
  unsigned m_MaxConnections = 1024;
};

/// Runs one polling thread. The handler is called on it and must not block.
class HttpServer {
public:
  /// Listens at once; port 0 picks a free one.
  ///
  /// \throws std::runtime_error when it can't listen on the port.
  HttpServer(const HttpServerOptions &Options, ServerHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the port that the server listens on.
  std::uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::bench
