// Receives announcements, sends orders and watches the target.
#include "adapters/target_http/target_link.h"

#include "adapters/target_http/order.h"
#include "runtime/boot_clock.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace balsamwheel::target_http {

using http_client::Transfer;
using http_client::TransferEnd;
using http_client::TransferResult;
using http_server::ControlRequest;
using http_server::ControlResponse;

namespace {

/// Connections for grants, cancellations and load reports, in addition to those
/// for orders.
constexpr long ControlConnections = 2;
/// Maximum number of queued control requests; at a start, all shards of a
/// service may be granted at once.
constexpr std::size_t ControlQueueSize = std::size_t{1} << 16U;

std::string escapePathSegment(const std::string &Text) {
  char *Escaped =
      curl_easy_escape(nullptr, Text.data(), static_cast<int>(Text.size()));
  std::string Result(Escaped);
  curl_free(Escaped);
  return Result;
}

} // namespace

TargetLink::TargetLink(TargetLinkOptions Options, TargetHandlers Handlers,
                       http_client::PipeFactory MakePipe)
    : m_Options(std::move(Options)), m_Handlers(std::move(Handlers)),
      m_MakePipe(std::move(MakePipe)), m_Loop({.m_Name = "target"}),
      m_ControlLoop({.m_Name = "target-control",
                     .m_MaxConnections = ControlConnections,
                     .m_QueueSize = ControlQueueSize}),
      m_Server({.m_Listen = m_Options.m_Listen},
               [this](const ControlRequest &Request) {
                 return onControlRequest(Request);
               }) {}

TargetLink::~TargetLink() { stop(); }

std::error_code TargetLink::start() {
  if (const std::error_code Error = m_Server.start())
    return Error;
  m_Watcher = std::thread([this] { watch(); });
  return {};
}

void TargetLink::stop() {
  {
    const std::scoped_lock Lock(m_Mutex);
    m_Stopping = true;
  }
  m_StopRequested.notify_all();
  if (m_Watcher.joinable())
    m_Watcher.join();
  m_Server.stop();
  m_Loop.stop();
  m_ControlLoop.stop();
}

ControlResponse TargetLink::onControlRequest(const ControlRequest &Request) {
  if (Request.m_Path != "/v1/announce")
    return {404, "text/plain", "unknown path\n"};
  if (Request.m_Method != "POST")
    return {405, "text/plain", "use POST\n"};
  const auto Parsed = parseAnnouncement(Request.m_Body);
  if (const auto *Error = std::get_if<AnnouncementError>(&Parsed))
    return {400, "application/json",
            nlohmann::json{{"reason", Error->m_Reason}}.dump()};
  onAnnouncement(std::get<Announcement>(Parsed));
  return {200, "application/json", "{}"};
}

void TargetLink::onAnnouncement(const Announcement &Received) {
  bool Ready = false;
  bool HasLeft = false;
  {
    const std::scoped_lock Lock(m_Mutex);
    m_LastAnnouncedAt = runtime::bootNow();
    if (Received.m_Leaving) {
      HasLeft = m_Current.has_value();
      m_Current.reset();
    } else {
      const bool TurnedCold =
          Received.m_Cold && m_Current && !m_Current->m_Cold;
      Announcement Previous = m_Current.value_or(Announcement());
      Previous.m_Cold = Received.m_Cold;
      Ready = TurnedCold || Previous != Received;
      m_Current = Received;
    }
  }
  if (Ready) {
    // Control requests count against the target's connection limit too.
    m_Loop.setMaxConnections(std::max<long>(
        1, static_cast<long>(Received.m_Connections) - ControlConnections));
    m_Handlers.m_OnReady(Received);
  }
  if (HasLeft)
    m_Handlers.m_OnLeft();
}

std::string TargetLink::address() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Current ? m_Current->m_Address : std::string();
}

void TargetLink::startOrder(StartOrder Order, runtime::BodyPipePtr Upload) {
  const std::string Address = address();
  const OrderId Id = Order.m_Order;
  if (Address.empty()) {
    OrderReport Report;
    Report.m_Order = Id;
    Report.m_End = OrderEnd::NotSent;
    m_Handlers.m_OnEnd(std::move(Report));
    return;
  }
  const std::string CancelUrl = "http://" + Address + "/v1/orders/" +
                                escapePathSegment(Order.m_Meta.m_Id.value());
  Transfer Outgoing = makeOrderTransfer(Address, std::move(Order));
  Outgoing.m_Upload = std::move(Upload);
  Outgoing.m_MakePipe = m_MakePipe;
  Outgoing.m_OnAnswerHead = [this, Id](HttpAnswer Head) {
    m_Handlers.m_OnAnswerHead(Id, std::move(Head));
  };
  Outgoing.m_OnEnd = [this, Id, CancelUrl](TransferResult Result) {
    const OrderEnd End = classifyOrderEnd(Result);
    if (End == OrderEnd::Aborted)
      sendControl("DELETE", CancelUrl, {});
    m_Handlers.m_OnEnd({.m_Order = Id,
                        .m_End = End,
                        .m_Http = std::move(Result.m_Answer),
                        .m_Latency = Result.m_Latency});
  };
  m_Loop.submit(std::move(Outgoing));
}

void TargetLink::cancelOrder(OrderId Order) {
  m_Loop.cancel(http_client::TransferId(Order.value()));
}

void TargetLink::grant(const GrantEpoch &Grant) {
  const std::string Address = address();
  if (Address.empty())
    return;
  sendControl("POST", "http://" + Address + "/v1/grant",
              nlohmann::json{{"service", Grant.m_Shard.m_Service.value()},
                             {"shard", Grant.m_Shard.m_Shard.value()},
                             {"epoch", Grant.m_Epoch.value()}}
                  .dump());
}

void TargetLink::sendControl(std::string Method, std::string Url,
                             std::string Body) {
  Transfer Outgoing;
  Outgoing.m_Method = std::move(Method);
  Outgoing.m_Url = std::move(Url);
  Outgoing.m_Headers = {"Content-Type: application/json"};
  Outgoing.m_Body = std::move(Body);
  Outgoing.m_BodyLength = Outgoing.m_Body.size();
  Outgoing.m_Deadline = runtime::bootNow() + m_Options.m_ControlTimeout;
  Outgoing.m_MaxSendDelay = m_Options.m_ControlTimeout;
  m_ControlLoop.submit(std::move(Outgoing));
}

void TargetLink::readLoad() {
  const std::string Address = address();
  if (Address.empty())
    return;
  Transfer Outgoing;
  Outgoing.m_Url = "http://" + Address + "/v1/load";
  Outgoing.m_Deadline = runtime::bootNow() + m_Options.m_ControlTimeout;
  Outgoing.m_MaxSendDelay = m_Options.m_ControlTimeout;
  Outgoing.m_OnEnd = [this](const TransferResult &Result) {
    if (Result.m_End != TransferEnd::Answered || !m_Handlers.m_OnLoad)
      return;
    const auto Document = nlohmann::json::parse(Result.m_Answer.m_Body, nullptr,
                                                /*allow_exceptions=*/false);
    if (!Document.is_object() || !Document.contains("load") ||
        !Document["load"].is_number())
      return;
    const auto Healthy = Document.find("healthy");
    m_Handlers.m_OnLoad(
        {.m_Load = Document["load"].get<double>(),
         .m_Healthy = Healthy == Document.end() || *Healthy != false});
  };
  m_ControlLoop.submit(std::move(Outgoing));
}

void TargetLink::watch() {
  std::unique_lock Lock(m_Mutex);
  while (!m_StopRequested.wait_for(Lock, m_Options.m_LoadPeriod,
                                   [this] { return m_Stopping; })) {
    Lock.unlock();
    checkSilence();
    readLoad();
    Lock.lock();
  }
}

void TargetLink::checkSilence() {
  {
    const std::scoped_lock Lock(m_Mutex);
    if (!m_Current ||
        runtime::bootNow() - m_LastAnnouncedAt < m_Options.m_SilenceLimit)
      return;
    m_Current.reset();
  }
  m_Handlers.m_OnLeft();
}

} // namespace balsamwheel::target_http
