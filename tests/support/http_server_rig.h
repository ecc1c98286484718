// An HttpServer and a raw client connection to it, on a real event loop.
#pragma once

#include "net/http_server.h"
#include "support/raw_server.h"

#include <doctest/doctest.h>

namespace balsamwheel::tests {

using namespace std::chrono_literals;

/// Runs the loop until \p Done returns true; fails after ten seconds.
inline void runUntil(EventLoop &Loop, const std::function<bool()> &Done) {
  const TimePoint Deadline = bootNow() + 10s;
  Loop.run([&] {
    if (Done() || bootNow() > Deadline)
      Loop.stop();
  });
  CHECK(Done());
}

/// A server under test and a raw client connection to it.
class ServerRig {
public:
  explicit ServerRig(HttpServerOptions Options = {})
      : m_Loop({.m_MaxSleep = 20ms}),
        m_Server(m_Loop, Options, [this](auto Exchange) {
          m_Exchanges.push_back(Exchange);
          if (m_OnRequest)
            m_OnRequest(*Exchange);
        }) {
    m_Address = *Endpoint::fromText(freeAddress());
  }

  void listen() { REQUIRE(m_Server.listen(m_Address)); }

  void connect(const std::string &Bytes) {
    m_Client = std::make_unique<Stream>(m_Loop);
    m_Client->setEvents(
        {.m_OnData =
             [this](std::string_view Data) {
               m_Received.append(Data);
               ++m_DataEvents;
             },
         .m_OnEnd = [this](StreamEndReason) { m_Ended = true; }});
    REQUIRE(m_Client->connect(m_Address));
    m_Client->write(Bytes);
  }

  EventLoop m_Loop;
  HttpServer m_Server;
  Endpoint m_Address;
  std::vector<std::shared_ptr<HttpExchange>> m_Exchanges;
  /// Called with each request; may be empty.
  std::function<void(HttpExchange &)> m_OnRequest;
  std::unique_ptr<Stream> m_Client;
  std::string m_Received;
  int m_DataEvents = 0;
  bool m_Ended = false;
};

} // namespace balsamwheel::tests
