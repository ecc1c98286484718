// HTTP endpoints, threads and announcements of the target stand-in.
#include "bench/core/target_stand_in.h"

#include "bench/core/clock.h"
#include "bench/core/http_client.h"
#include "bench/core/payload.h"

#include <array>

namespace balsamwheel::bench {

namespace {

using Json = nlohmann::json;

/// Maximum time between two advances of the model.
constexpr Duration MaxModelWait = std::chrono::milliseconds(100);
constexpr Duration LoadSamplePeriod = std::chrono::milliseconds(200);
constexpr Duration AnnouncePeriod = std::chrono::seconds(1);
constexpr char OrderPath[] = "/v1/orders/";

/// Service time and size of the answer body, in bytes, for the paths that
/// contain m_PathPart. The first match counts.
struct PathProfile {
  std::string_view m_PathPart;
  Duration m_MinServiceTime;
  Duration m_MaxServiceTime;
  std::size_t m_BodySize;
};

using std::chrono::milliseconds;
constexpr std::size_t DownloadBytes = std::size_t{256} * 1024;
constexpr std::array<PathProfile, 4> Profiles{{
    {"/internal", milliseconds(1), milliseconds(2), 200},
    {"/calendars", milliseconds(10), milliseconds(20), DownloadBytes},
    {"/documents", milliseconds(10), milliseconds(20), DownloadBytes},
    {"", milliseconds(2), milliseconds(5), 400},
}};

const PathProfile &profileOf(const std::string &Path) {
  for (const PathProfile &Profile : Profiles)
    if (Path.find(Profile.m_PathPart) != std::string::npos)
      return Profile;
  return Profiles.back();
}

ServerAnswer jsonAnswer(std::uint16_t Status, const Json &Body) {
  return {.m_Status = Status,
          .m_Headers = {{"Content-Type", "application/json"}},
          .m_Body = Body.dump(),
          .m_Drop = false};
}

ServerAnswer notRunAnswer(std::uint16_t Status, const char *Reason) {
  ServerAnswer Answer = jsonAnswer(Status, {{"error", Reason}});
  Answer.m_Headers.emplace_back("Balsamwheel-Not-Run", "true");
  return Answer;
}

ServerAnswer dropAnswer() {
  ServerAnswer Answer;
  Answer.m_Drop = true;
  return Answer;
}

Json toJson(const Execution &Order) {
  Json Result = {{"request_id", Order.m_RequestId},
                 {"service", Order.m_Service},
                 {"key", Order.m_Key},
                 {"shard", Order.m_Shard},
                 {"epoch", Order.m_Epoch.value()},
                 {"start_us", toMicros(Order.m_Start)},
                 {"completed", Order.m_Completed}};
  if (Order.m_End)
    Result["end_us"] = toMicros(*Order.m_End);
  return Result;
}

} // namespace

TargetStandIn::TargetStandIn(TargetStandInOptions Options)
    : m_Options(std::move(Options)), m_Model(m_Options.m_Model, now()),
      m_Random(m_Options.m_Seed), m_Journal(m_Options.m_Journal) {
  m_Options.m_Http.m_MaxConnections = m_Options.m_Model.m_MaxOrders;
  m_Server = std::make_unique<HttpServer>(
      m_Options.m_Http,
      [this](const ServerRequest &Request, const Reply &Answer) {
        handle(Request, Answer);
      });
  m_Control = std::make_unique<HttpServer>(
      HttpServerOptions{.m_Port = m_Options.m_ControlPort},
      [this](const ServerRequest &Request, const Reply &Answer) {
        handleControl(Request, Answer);
      });
  m_ModelThread = std::thread([this] { runModel(); });
  if (!m_Options.m_Daemon.empty())
    m_AnnounceThread = std::thread([this] { runAnnouncer(); });
}

TargetStandIn::~TargetStandIn() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
  }
  m_Changed.notify_all();
  m_ModelThread.join();
  if (m_AnnounceThread.joinable())
    m_AnnounceThread.join();
  m_Control.reset();
  m_Server.reset();
}

void TargetStandIn::leave() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Announces = false;
  }
  announce(/*Leaving=*/true);
}

void TargetStandIn::handle(const ServerRequest &Request, const Reply &Answer) {
  const std::string &Path = Request.m_Path;
  if (Path == "/v1/faults" || Path == "/v1/executions")
    return handleControl(Request, Answer);
  if (Path == "/v1/grant")
    return Answer->answer(grant(Request.m_Body));
  if (Path == "/v1/load")
    return Answer->answer(loadReport());
  if (Path.starts_with(OrderPath) && Request.m_Method == "DELETE")
    return Answer->answer(cancel(Path.substr(sizeof(OrderPath) - 1)));
  handleOrder(Request, Answer);
}

void TargetStandIn::handleControl(const ServerRequest &Request,
                                  const Reply &Answer) {
  if (Request.m_Path == "/v1/faults")
    return Answer->answer(setFaults(Request.m_Body));
  if (Request.m_Path == "/v1/executions")
    return Answer->answer(executions());
  Answer->answer(jsonAnswer(404, {{"error", "no such endpoint"}}));
}

Duration TargetStandIn::drawServiceTime(const ServerRequest &Request) {
  const PathProfile &Profile = profileOf(Request.m_Path);
  std::uniform_int_distribution<Duration::rep> Between(
      Profile.m_MinServiceTime.count(), Profile.m_MaxServiceTime.count());
  return std::chrono::duration_cast<Duration>(Duration(Between(m_Random)) *
                                              m_Options.m_ServiceTimeFactor);
}

void TargetStandIn::handleOrder(const ServerRequest &Request,
                                const Reply &Answer) {
  const std::lock_guard Lock(m_Mutex);
  TargetOrder Order{.m_RequestId = Request.header("balsamwheel-request-id"),
                    .m_Service = m_Options.m_Service,
                    .m_Key = Request.header("balsamwheel-key"),
                    .m_Shard = Request.header("balsamwheel-shard"),
                    .m_Epoch =
                        Epoch(Request.numericHeader("balsamwheel-epoch")),
                    .m_ServiceTime = drawServiceTime(Request),
                    .m_TimeLeft = std::chrono::milliseconds(
                        Request.numericHeader("balsamwheel-deadline-ms"))};
  const std::uint64_t Ticket = m_NextTicket++;
  m_OpenOrders[Ticket] = {.m_Answer = Answer,
                          .m_RequestId = Order.m_RequestId,
                          .m_BodySize = profileOf(Request.m_Path).m_BodySize};
  const TimePoint Now = now();
  m_Model.arrive(Ticket, std::move(Order), Now);
  if (m_Frozen)
    return;
  advanceModel(Now);
  if (m_Model.nextWake(Now) < m_WakeAt)
    m_Changed.notify_all();
}

ServerAnswer TargetStandIn::cancel(const std::string &RequestId) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = now();
  const bool Found = m_Model.cancel(RequestId, Now);
  advanceModel(Now);
  return jsonAnswer(Found ? 200 : 404, Json::object());
}

ServerAnswer TargetStandIn::grant(const std::string &Body) {
  try {
    const Json Value = Json::parse(Body);
    const Json &Shard = Value.at("shard");
    const std::string Name =
        Shard.is_string() ? Shard.get<std::string>() : Shard.dump();
    const std::lock_guard Lock(m_Mutex);
    m_Model.grant(Value.at("service").get<std::string>(), Name,
                  Epoch(Value.at("epoch").get<std::uint64_t>()));
  } catch (const Json::exception &Error) {
    return jsonAnswer(400, {{"error", Error.what()}});
  }
  return jsonAnswer(200, Json::object());
}

ServerAnswer TargetStandIn::setFaults(const std::string &Body) {
  const Json Value = Json::parse(Body, nullptr, false);
  if (!Value.is_object())
    return jsonAnswer(400, {{"error", "body is no JSON object"}});
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = now();
  if (Value.contains("slow_factor"))
    m_Model.setSlowFactor(Value["slow_factor"].get<double>());
  if (Value.contains("frozen"))
    m_Frozen = Value["frozen"].get<bool>();
  if (Value.value("cold", false))
    m_Model.becomeCold(Now);
  if (Value.value("restart", false))
    m_Model.restart(Now);
  advanceModel(Now);
  return jsonAnswer(200, Json::object());
}

ServerAnswer TargetStandIn::loadReport() {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint ReportTime = now() - m_Options.m_LoadReportDelay;
  double Load = 0;
  for (const auto &[Time, Value] : m_LoadHistory)
    if (Time <= ReportTime)
      Load = Value;
  return jsonAnswer(200, {{"load", Load}, {"healthy", true}});
}

ServerAnswer TargetStandIn::executions() {
  const std::lock_guard Lock(m_Mutex);
  Json List = Json::array();
  for (const auto &[Ticket, Order] : m_Executions)
    List.push_back(toJson(Order));
  return jsonAnswer(200, {{"service", m_Options.m_Service},
                          {"collapses", m_Model.collapses()},
                          {"most_inside", m_Model.peakOrders()},
                          {"executions", std::move(List)}});
}

void TargetStandIn::advanceModel(TimePoint Now) {
  const std::vector<TargetEvent> Events = m_Model.advance(Now);
  for (auto &[Ticket, Order] : m_Model.takeStarted()) {
    m_Journal.recordStart(Ticket, Order);
    m_Executions[Ticket] = std::move(Order);
  }
  for (const TargetEvent &Event : Events)
    finishOrder(Event);
}

void TargetStandIn::finishOrder(const TargetEvent &Event) {
  if (Event.m_Execution) {
    m_Journal.recordEnd(Event.m_Ticket, *Event.m_Execution);
    m_Executions[Event.m_Ticket] = *Event.m_Execution;
  }
  const auto Found = m_OpenOrders.find(Event.m_Ticket);
  if (Found == m_OpenOrders.end())
    return;
  const OpenOrder Order = std::move(Found->second);
  m_OpenOrders.erase(Found);
  switch (Event.m_End) {
  case TargetEnd::Done:
    Order.m_Answer->answer(
        {.m_Status = 200,
         .m_Headers = {{"Content-Type", "text/plain"}},
         .m_Body = makePayload(Order.m_RequestId, Order.m_BodySize),
         .m_Drop = false});
    return;
  case TargetEnd::Shed:
  case TargetEnd::Withdrawn:
    Order.m_Answer->answer(notRunAnswer(503, "not run"));
    return;
  case TargetEnd::Fenced:
    Order.m_Answer->answer(notRunAnswer(409, "old epoch"));
    return;
  case TargetEnd::Aborted:
  case TargetEnd::Lost:
    Order.m_Answer->answer(dropAnswer());
    return;
  }
}

void TargetStandIn::runModel() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopped) {
    const TimePoint Now = now();
    if (!m_Frozen)
      advanceModel(Now);
    if (m_LoadHistory.empty() ||
        Now - m_LoadHistory.back().first > LoadSamplePeriod)
      m_LoadHistory.emplace_back(Now, m_Model.load());
    while (Now - m_LoadHistory.front().first > 2 * m_Options.m_LoadReportDelay)
      m_LoadHistory.pop_front();
    m_WakeAt = Now + MaxModelWait;
    if (!m_Frozen)
      m_WakeAt = std::min(m_WakeAt, m_Model.nextWake(Now));
    m_Changed.wait_for(Lock, std::max(Duration::zero(), m_WakeAt - now()));
  }
}

void TargetStandIn::announce(bool Leaving) {
  Json Body = {
      {"service", m_Options.m_Service},
      {"address", m_Options.m_Http.m_Host + ":" + std::to_string(port())},
      {"slots", m_Options.m_Model.m_Slots},
      {"connections", m_Options.m_Model.m_MaxOrders},
      {"cold", m_Options.m_Model.m_StartsCold},
      {"checks_fences", m_Options.m_Model.m_ChecksFences}};
  if (Leaving)
    Body["leaving"] = true;
  postJson("http://" + m_Options.m_Daemon + "/v1/announce", Body);
}

void TargetStandIn::runAnnouncer() {
  std::unique_lock Lock(m_Mutex);
  while (!m_Stopped) {
    const bool Announces =
        m_Announces && !m_Frozen && !m_Model.restarting(now());
    Lock.unlock();
    if (Announces)
      announce(/*Leaving=*/false);
    Lock.lock();
    if (!m_Stopped)
      m_Changed.wait_for(Lock, AnnouncePeriod, [this] { return m_Stopped; });
  }
}

} // namespace balsamwheel::bench
