// Registration and text output of the router's metrics.
#include "router_metrics.h"

#include <prometheus/text_serializer.h>

namespace balsamwheel {

namespace {

const prometheus::Histogram::BucketBoundaries LatencySeconds{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 5};

/// Less urgent priorities share one label.
constexpr std::uint32_t HighestPriorityLabel = 7;

} // namespace

RouterMetrics::RouterMetrics()
    : m_Registry(std::make_shared<prometheus::Registry>()),
      m_Requests(prometheus::BuildCounter()
                     .Name("balsamwheel_requests_total")
                     .Help("Requests of callers, by service and outcome")
                     .Register(*m_Registry)),
      m_Refusals(prometheus::BuildCounter()
                     .Name("balsamwheel_refusals_total")
                     .Help("Requests that were refused without having run, by "
                           "service, priority and reason")
                     .Register(*m_Registry)),
      m_Latency(prometheus::BuildHistogram()
                    .Name("balsamwheel_request_seconds")
                    .Help("Time from reading a request to its answer")
                    .Register(*m_Registry)),
      m_TableCalls(prometheus::BuildCounter()
                       .Name("balsamwheel_table_calls_total")
                       .Help("Calls to the platform's table, by their end")
                       .Register(*m_Registry)),
      m_PeerBytes(
          prometheus::BuildCounter()
              .Name("balsamwheel_peer_bytes_total")
              .Help("Bytes sent to other daemons, by kind of frame and domain")
              .Register(*m_Registry)),
      m_Gate(prometheus::BuildGauge()
                 .Name("balsamwheel_gate_requests")
                 .Help("Requests at the target's gate")
                 .Register(*m_Registry)),
      m_Cancelled(prometheus::BuildCounter()
                      .Name("balsamwheel_cancelled_attempts_total")
                      .Help("Attempts whose callers have left or whose "
                            "deadlines have passed, by what they were doing")
                      .Register(*m_Registry)),
      m_Version(prometheus::BuildGauge()
                    .Name("balsamwheel_config_version")
                    .Help("Version of the configuration in force")
                    .Register(*m_Registry)
                    .Add({})),
      m_ConfigAge(prometheus::BuildGauge()
                      .Name("balsamwheel_config_apply_seconds")
                      .Help("Upper bound of the time from the write of the "
                            "configuration to when it came into force")
                      .Register(*m_Registry)
                      .Add({})),
      m_StoreEra(prometheus::BuildGauge()
                     .Name("balsamwheel_store_era")
                     .Help("Era of the store; rises when it loses writes")
                     .Register(*m_Registry)
                     .Add({})),
      m_TargetLimit(prometheus::BuildGauge()
                        .Name("balsamwheel_target_limit")
                        .Help("Requests per second that the target takes")
                        .Register(*m_Registry)
                        .Add({})),
      m_TargetCapacity(
          prometheus::BuildGauge()
              .Name("balsamwheel_target_capacity")
              .Help("Requests at a time that the target handles well")
              .Register(*m_Registry)
              .Add({})),
      m_CallerBytes(prometheus::BuildGauge()
                        .Name("balsamwheel_caller_bytes")
                        .Help("Input and answers held for all callers")
                        .Register(*m_Registry)
                        .Add({})),
      m_AnswerBytes(prometheus::BuildGauge()
                        .Name("balsamwheel_answer_bytes")
                        .Help("Answers to callers and peers, not sent yet")
                        .Register(*m_Registry)
                        .Add({})),
      m_Quota(*m_Registry) {}

void RouterMetrics::requestEnded(const std::string &Service,
                                 const std::string &Outcome, Duration Took) {
  m_Requests.Add({{"service", Service}, {"outcome", Outcome}}).Increment();
  m_Latency.Add({{"service", Service}}, LatencySeconds)
      .Observe(static_cast<double>(Took.count()) / 1e6);
}

void RouterMetrics::requestRefused(const std::string &Service,
                                   std::uint32_t Priority,
                                   std::string_view Reason) {
  const std::string Label = Priority < HighestPriorityLabel
                                ? std::to_string(Priority)
                                : std::to_string(HighestPriorityLabel) + "+";
  m_Refusals
      .Add({{"service", Service},
            {"priority", Label},
            {"reason", std::string(Reason)}})
      .Increment();
}

void RouterMetrics::tableCall(const std::string &Call, const std::string &End) {
  m_TableCalls.Add({{"call", Call}, {"end", End}}).Increment();
}

void RouterMetrics::peerBytes(const std::string &Kind, bool OwnDomain,
                              std::uint64_t Bytes) {
  m_PeerBytes.Add({{"kind", Kind}, {"domain", OwnDomain ? "own" : "other"}})
      .Increment(static_cast<double>(Bytes));
}

void RouterMetrics::gate(std::uint32_t Running, std::size_t Waiting) {
  m_Gate.Add({{"state", "running"}}).Set(Running);
  m_Gate.Add({{"state", "waiting"}}).Set(static_cast<double>(Waiting));
}

void RouterMetrics::attemptCancelled(const std::string &State) {
  m_Cancelled.Add({{"state", State}}).Increment();
}

void RouterMetrics::configApplied(std::uint64_t Version,
                                  std::optional<Duration> Age) {
  m_Version.Set(static_cast<double>(Version));
  if (Age)
    m_ConfigAge.Set(static_cast<double>(Age->count()) / 1e6);
}

void RouterMetrics::storeEra(std::uint64_t Era) {
  m_StoreEra.Set(static_cast<double>(Era));
}

void RouterMetrics::targetLimit(double PerSecond) {
  m_TargetLimit.Set(PerSecond);
}

void RouterMetrics::targetCapacity(std::uint32_t Slots) {
  m_TargetCapacity.Set(Slots);
}

void RouterMetrics::callerBytes(std::size_t Bytes) {
  m_CallerBytes.Set(static_cast<double>(Bytes));
}

void RouterMetrics::answerBytes(std::size_t Bytes) {
  m_AnswerBytes.Set(static_cast<double>(Bytes));
}

std::string RouterMetrics::toText() const {
  return prometheus::TextSerializer().Serialize(m_Registry->Collect());
}

} // namespace balsamwheel
