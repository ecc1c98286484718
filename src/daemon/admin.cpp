// Paths of the admin interface.
#include "daemon/admin.h"

#include "daemon/status_json.h"

#include <future>
#include <memory>

namespace balsamwheel::daemon {

namespace {

constexpr std::chrono::seconds AnswerLimit{2};
constexpr const char *JsonType = "application/json";

http_server::ControlResponse fault(unsigned Status, const std::string &Text) {
  return {Status, JsonType, nlohmann::json{{"error", Text}}.dump() + "\n"};
}

std::string parameter(const http_server::ControlRequest &Asked,
                      const char *Name) {
  const auto Found = Asked.m_Query.find(Name);
  return Found != Asked.m_Query.end() ? Found->second : std::string();
}

} // namespace

Admin::Admin(const std::string &Listen, CoreShared &Shared)
    : m_Shared(Shared),
      m_Server({.m_Listen = Listen},
               [this](const Request &Asked) { return handle(Asked); }) {}

template <typename Question> Admin::Response Admin::ask(const Question &Run) {
  auto Promise = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> Answer = Promise->get_future();
  Event Item = Inspect{[Promise, Run](const Node &Subject, TimePoint Now) {
    Promise->set_value(Run(Subject, Now));
  }};
  if (!m_Shared.m_Inbox.tryPost(Item))
    return fault(503, "the daemon is too busy");
  if (Answer.wait_for(AnswerLimit) != std::future_status::ready)
    return fault(503, "the daemon does not answer");
  const nlohmann::json Result = Answer.get();
  return {Result.contains("error") ? 404U : 200U, JsonType,
          Result.dump() + "\n"};
}

Admin::Response Admin::handle(const Request &Asked) {
  if (Asked.m_Path == "/v1/drain")
    return drain(Asked);
  if (Asked.m_Method != "GET")
    return fault(405, "use GET");
  if (Asked.m_Path == "/metrics")
    return {200, "text/plain; version=0.0.4", m_Shared.m_Metrics.serialize()};
  if (Asked.m_Path == "/v1/status")
    return ask([](const Node &Subject, TimePoint Now) {
      return statusJson(Subject, Now);
    });
  const ServiceName Service(parameter(Asked, "service"));
  if (Asked.m_Path == "/v1/route")
    return ask([Service, Key = parameter(Asked, "key")](const Node &Subject,
                                                        TimePoint) {
      return routeJson(Subject, Service, Key);
    });
  if (Asked.m_Path == "/v1/owners")
    return ask([Service](const Node &Subject, TimePoint) {
      return ownersJson(Subject, Service);
    });
  return fault(404, "unknown path");
}

Admin::Response Admin::drain(const Request &Asked) {
  if (Asked.m_Method != "POST")
    return fault(405, "use POST");
  Event Item = ShutdownAsked{.m_Exit = false};
  if (!m_Shared.m_Inbox.tryPost(Item))
    return fault(503, "the daemon is too busy");
  return {202, JsonType, "{\"draining\":true}\n"};
}

} // namespace balsamwheel::daemon
