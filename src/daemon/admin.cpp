// Request handlers of the admin interface.
#include "daemon/admin.h"

#include "daemon/status_json.h"

#include <future>
#include <memory>

namespace balsamwheel::daemon {

namespace {

/// How long a handler waits for the core thread.
constexpr std::chrono::seconds AnswerTimeout{2};
constexpr const char *JsonType = "application/json";

http_server::ControlResponse errorResponse(unsigned Status,
                                           const std::string &Text) {
  return {Status, JsonType, nlohmann::json{{"error", Text}}.dump() + "\n"};
}

std::string queryParameter(const http_server::ControlRequest &Incoming,
                           const char *Name) {
  const auto Found = Incoming.m_Query.find(Name);
  return Found != Incoming.m_Query.end() ? Found->second : std::string();
}

} // namespace

Admin::Admin(const std::string &Listen, CoreShared &Shared)
    : m_Shared(Shared),
      m_Server({.m_Listen = Listen},
               [this](const Request &Incoming) { return handle(Incoming); }) {}

template <typename Query>
Admin::Response Admin::queryCore(const Query &Evaluate) {
  auto Promise = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> Answer = Promise->get_future();
  Event Item = Inspect{[Promise, Evaluate](const Node &Subject, TimePoint Now) {
    Promise->set_value(Evaluate(Subject, Now));
  }};
  if (!m_Shared.m_Inbox.tryPost(Item))
    return errorResponse(503, "the daemon is too busy");
  if (Answer.wait_for(AnswerTimeout) != std::future_status::ready)
    return errorResponse(503, "the daemon does not answer");
  const nlohmann::json Result = Answer.get();
  return {Result.contains("error") ? 404U : 200U, JsonType,
          Result.dump() + "\n"};
}

Admin::Response Admin::handle(const Request &Incoming) {
  if (Incoming.m_Path == "/v1/drain")
    return drain(Incoming);
  if (Incoming.m_Method != "GET")
    return errorResponse(405, "use GET");
  if (Incoming.m_Path == "/metrics")
    return {200, "text/plain; version=0.0.4", m_Shared.m_Metrics.serialize()};
  if (Incoming.m_Path == "/v1/status")
    return queryCore([](const Node &Subject, TimePoint Now) {
      return statusJson(Subject, Now);
    });
  const ServiceName Service(queryParameter(Incoming, "service"));
  if (Incoming.m_Path == "/v1/route")
    return queryCore([Service, Key = queryParameter(Incoming, "key")](
                         const Node &Subject, TimePoint) {
      return routeJson(Subject, Service, Key);
    });
  if (Incoming.m_Path == "/v1/owners")
    return queryCore([Service](const Node &Subject, TimePoint) {
      return ownersJson(Subject, Service);
    });
  return errorResponse(404, "unknown path");
}

Admin::Response Admin::drain(const Request &Incoming) {
  if (Incoming.m_Method != "POST")
    return errorResponse(405, "use POST");
  Event Item = ShutdownRequested{.m_Exit = false};
  if (!m_Shared.m_Inbox.tryPost(Item))
    return errorResponse(503, "the daemon is too busy");
  return {202, JsonType, "{\"draining\":true}\n"};
}

} // namespace balsamwheel::daemon
