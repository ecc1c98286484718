// HTTP stand-in for the platform's table and object store, with fault
// injection.
#pragma once

#include "bench/core/delay_queue.h"
#include "bench/core/http_server.h"
#include "bench/core/table_store.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace balsamwheel::bench {

enum class PlatformMode : std::uint8_t {
  Ok,
  /// Answers 503 and applies nothing.
  Down,
  /// Applies the request after half of the delay and answers after all of it.
  Slow,
  /// Applies the request, then closes the connection without an answer.
  Ambiguous,
};

struct PlatformFault {
  PlatformMode m_Mode = PlatformMode::Ok;
  /// Delay of each answer, for the mode Slow.
  Duration m_Delay{0};
  /// Names of the instances that are affected; empty for all clients.
  std::set<std::string> m_Instances;
};

class PlatformStandIn {
public:
  explicit PlatformStandIn(const HttpServerOptions &Options);

  std::uint16_t port() const { return m_Server.port(); }

private:
  using Reply = std::shared_ptr<Responder>;

  struct Counters {
    std::uint64_t m_Reads = 0;
    std::uint64_t m_Writes = 0;
    std::uint64_t m_Conflicts = 0;
    std::uint64_t m_Bytes = 0;
  };

  void handle(const ServerRequest &Request, const Reply &Answer);
  void handleStore(const ServerRequest &Request, const Reply &Answer);
  PlatformFault faultFor(const std::string &Instance);
  ServerAnswer apply(const ServerRequest &Request);
  ServerAnswer read(const nlohmann::json &Body);
  ServerAnswer commit(const nlohmann::json &Body);
  ServerAnswer object(const ServerRequest &Request);
  ServerAnswer setFaults(const std::string &Body);
  ServerAnswer counters();

  std::mutex m_Mutex;
  TableStore m_Table;
  std::map<std::string, std::string> m_Objects;
  PlatformFault m_Fault;
  Counters m_Counters;
  DelayQueue m_Delays;
  /// Declared last, since its thread uses the members above.
  HttpServer m_Server;
};

} // namespace balsamwheel::bench
