// The HTTP server of the stand-alone daemon's control interfaces.
#include "adapters/http_client/transfer_loop.h"
#include "adapters/http_server/control_server.h"
#include "runtime/boot_clock.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <future>

using namespace balsamwheel;

namespace {

int statusOf(const http_server::ControlServer &Server,
             const std::string &Path) {
  http_client::TransferLoop Loop({});
  http_client::Transfer Outgoing;
  Outgoing.m_Url = "http://127.0.0.1:" + std::to_string(Server.port()) + Path;
  Outgoing.m_Deadline = runtime::bootNow() + std::chrono::seconds(5);
  std::promise<int> Status;
  Outgoing.m_OnEnd = [&Status](const http_client::TransferResult &Result) {
    Status.set_value(Result.m_Answer.m_Status);
  };
  Loop.submit(std::move(Outgoing));
  return Status.get_future().get();
}

} // namespace

// Guards against an uncaught exception in the thread of the server (LOST).
TEST_CASE("a URL whose bytes can't be read ended the daemon") {
  http_server::ControlServer Server(
      {.m_Listen = "127.0.0.1:0"},
      [](const http_server::ControlRequest &Request) {
        return http_server::ControlResponse{
            .m_Body = nlohmann::json{{"path", Request.m_Path},
                                     {"query", Request.m_Query}}
                          .dump()};
      });
  REQUIRE_FALSE(Server.start());
  CHECK(statusOf(Server, "/v1/route?service=a&key=b") == 200);
  CHECK(statusOf(Server, "/v1/route?service=%ff") == 400);
  CHECK(statusOf(Server, "/v1/route?service=a&key=%c3%28") == 400);
  CHECK(statusOf(Server, "/v1/route?%ff=a") == 400);
  CHECK(statusOf(Server, "/v1/%ff") == 400);
  CHECK(statusOf(Server, "/v1/route?service=f%c3%bcnf") == 200);
}
