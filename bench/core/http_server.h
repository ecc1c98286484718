// A small HTTP server on libmicrohttpd whose answers may come later and from
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

  /// Returns a header's value, or an empty string.
  std::string header(const std::string &LowerName) const;
  /// Returns a header as a number, 0 when absent or no number.
  std::uint64_t numericHeader(const std::string &LowerName) const;
};

struct ServerAnswer {
  std::uint16_t m_Status = 200;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;
  /// Close the connection without an answer.
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

/// One polling thread. The handler runs on it and must not block.
class HttpServer {
public:
  /// \throws std::runtime_error when the port can't be opened.
  HttpServer(const HttpServerOptions &Options, ServerHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  std::uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::bench
