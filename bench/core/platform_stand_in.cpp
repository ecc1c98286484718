// HTTP endpoints of the platform stand-in.
#include "bench/core/platform_stand_in.h"

#include "bench/core/clock.h"

namespace balsamwheel::bench {

namespace {

using Json = nlohmann::json;

ServerAnswer jsonAnswer(std::uint16_t Status, const Json &Body) {
  return {.m_Status = Status,
          .m_Headers = {{"Content-Type", "application/json"}},
          .m_Body = Body.dump(),
          .m_Drop = false};
}

ServerAnswer errorAnswer(std::uint16_t Status, const std::string &Text) {
  return jsonAnswer(Status, {{"error", Text}});
}

Json rowsToJson(const std::vector<Row> &Rows, bool WithValues) {
  Json Result = Json::array();
  for (const Row &Each : Rows) {
    Json Entry = {{"key", Each.m_Key.value()},
                  {"version", Each.m_Version.value()}};
    if (WithValues)
      Entry["value"] = Each.m_Value;
    Result.push_back(std::move(Entry));
  }
  return {{"rows", std::move(Result)}};
}

Transaction transactionFromJson(const Json &Body) {
  Transaction Result;
  for (const Json &Condition : Body.at("conditions"))
    Result.m_Conditions.push_back(
        {.m_Key = RowKey(Condition.at("key").get<std::string>()),
         .m_Version =
             RowVersion(Condition.at("version").get<std::uint64_t>())});
  for (const Json &Write : Body.at("writes")) {
    RowWrite Entry{.m_Key = RowKey(Write.at("key").get<std::string>()),
                   .m_Value = std::nullopt};
    if (!Write.at("value").is_null())
      Entry.m_Value = Write.at("value").get<std::string>();
    Result.m_Writes.push_back(std::move(Entry));
  }
  return Result;
}

PlatformMode modeFromName(const std::string &Name) {
  if (Name == "ok")
    return PlatformMode::Ok;
  if (Name == "down")
    return PlatformMode::Down;
  if (Name == "slow")
    return PlatformMode::Slow;
  if (Name == "ambiguous")
    return PlatformMode::Ambiguous;
  throw std::invalid_argument("unknown mode " + Name);
}

} // namespace

PlatformStandIn::PlatformStandIn(const HttpServerOptions &Options)
    : m_Server(Options,
               [this](const ServerRequest &Request, const Reply &Answer) {
                 handle(Request, Answer);
               }) {}

void PlatformStandIn::handle(const ServerRequest &Request,
                             const Reply &Answer) {
  if (Request.m_Path == "/v1/faults")
    return Answer->answer(setFaults(Request.m_Body));
  if (Request.m_Path == "/v1/counters")
    return Answer->answer(counters());
  handleStore(Request, Answer);
}

void PlatformStandIn::handleStore(const ServerRequest &Request,
                                  const Reply &Answer) {
  const PlatformFault Fault = faultFor(Request.header("balsamwheel-instance"));
  switch (Fault.m_Mode) {
  case PlatformMode::Ok:
    Answer->answer(apply(Request));
    return;
  case PlatformMode::Down:
    Answer->answer(errorAnswer(503, "unavailable"));
    return;
  case PlatformMode::Ambiguous: {
    ServerAnswer Applied = apply(Request);
    Applied.m_Drop = true;
    Answer->answer(std::move(Applied));
    return;
  }
  case PlatformMode::Slow:
    m_Delays.runAt(now() + Fault.m_Delay / 2, [this, Request, Answer, Fault] {
      m_Delays.runAt(
          now() + Fault.m_Delay / 2,
          [Answer, Delayed = apply(Request)] { Answer->answer(Delayed); });
    });
    return;
  }
}

PlatformFault PlatformStandIn::faultFor(const std::string &Instance) {
  const std::lock_guard Lock(m_Mutex);
  if (m_Fault.m_Instances.empty() || m_Fault.m_Instances.contains(Instance))
    return m_Fault;
  return {};
}

ServerAnswer PlatformStandIn::apply(const ServerRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  m_Counters.m_Bytes += Request.m_Body.size();
  if (Request.m_Path.starts_with("/v1/objects/"))
    return object(Request);
  const Json Body = Json::parse(Request.m_Body, nullptr, false);
  if (!Body.is_object())
    return errorAnswer(400, "body is no JSON object");
  try {
    if (Request.m_Path == "/v1/read")
      return read(Body);
    if (Request.m_Path == "/v1/commit")
      return commit(Body);
  } catch (const Json::exception &Error) {
    return errorAnswer(400, Error.what());
  }
  return errorAnswer(404, "no such endpoint");
}

ServerAnswer PlatformStandIn::read(const Json &Body) {
  TableRead Read;
  for (const Json &Key : Body.value("keys", Json::array()))
    Read.m_Keys.emplace_back(Key.get<std::string>());
  for (const Json &Prefix : Body.value("prefixes", Json::array()))
    Read.m_Prefixes.push_back(Prefix.get<std::string>());
  ++m_Counters.m_Reads;
  return jsonAnswer(200, rowsToJson(m_Table.read(Read), true));
}

ServerAnswer PlatformStandIn::commit(const Json &Body) {
  const TableReply Result = m_Table.commit(transactionFromJson(Body));
  ++m_Counters.m_Writes;
  if (Result.m_Status == TableStatus::Ok)
    return jsonAnswer(200, rowsToJson(Result.m_Rows, false));
  ++m_Counters.m_Conflicts;
  return jsonAnswer(409, rowsToJson(Result.m_Rows, true));
}

ServerAnswer PlatformStandIn::object(const ServerRequest &Request) {
  const std::string Name = Request.m_Path.substr(sizeof("/v1/objects/") - 1);
  if (Request.m_Method == "PUT") {
    m_Objects[Name] = Request.m_Body;
    return {.m_Status = 204, .m_Headers = {}, .m_Body = "", .m_Drop = false};
  }
  const auto Found = m_Objects.find(Name);
  if (Found == m_Objects.end())
    return errorAnswer(404, "no such object");
  return {.m_Status = 200,
          .m_Headers = {},
          .m_Body = Found->second,
          .m_Drop = false};
}

ServerAnswer PlatformStandIn::setFaults(const std::string &Body) {
  try {
    const Json Value = Json::parse(Body);
    PlatformFault Fault;
    Fault.m_Mode = modeFromName(Value.at("mode").get<std::string>());
    Fault.m_Delay = std::chrono::milliseconds(Value.value("delay_ms", 0));
    for (const Json &Instance : Value.value("peers", Json::array()))
      Fault.m_Instances.insert(Instance.get<std::string>());
    const std::lock_guard Lock(m_Mutex);
    m_Fault = std::move(Fault);
  } catch (const std::exception &Error) {
    return errorAnswer(400, Error.what());
  }
  return jsonAnswer(200, Json::object());
}

ServerAnswer PlatformStandIn::counters() {
  const std::lock_guard Lock(m_Mutex);
  return jsonAnswer(200, {{"reads", m_Counters.m_Reads},
                          {"writes", m_Counters.m_Writes},
                          {"conflicts", m_Counters.m_Conflicts},
                          {"bytes", m_Counters.m_Bytes}});
}

} // namespace balsamwheel::bench
