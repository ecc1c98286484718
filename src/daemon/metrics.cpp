// Names, help texts, labels and buckets of the metrics.
#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

#include <vector>

namespace balsamwheel::daemon {

namespace {

/// Upper bounds in seconds: fine for interactive requests, coarse for long
/// downloads.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

const char *labelOf(OrderEnd End) {
  switch (End) {
  case OrderEnd::Answered:
    return "answered";
  case OrderEnd::Shed:
    return "shed";
  case OrderEnd::NotSent:
    return "not_sent";
  case OrderEnd::Failed:
    return "failed";
  case OrderEnd::Aborted:
    return "aborted";
  }
  return "failed";
}

} // namespace

Metrics::Metrics()
    : m_LatencyFamily(prometheus::BuildHistogram()
                          .Name("balsamwheel_request_seconds")
                          .Help("Time from a request's arrival to its answer.")
                          .Register(m_Registry)),
      m_OutcomeFamily(prometheus::BuildCounter()
                          .Name("balsamwheel_requests_total")
                          .Help("Answers to callers.")
                          .Register(m_Registry)),
      m_RefusedFamily(prometheus::BuildCounter()
                          .Name("balsamwheel_requests_refused_total")
                          .Help("Requests refused at the entrance.")
                          .Register(m_Registry)),
      m_OrderFamily(prometheus::BuildCounter()
                        .Name("balsamwheel_orders_total")
                        .Help("Orders to the local target by their end.")
                        .Register(m_Registry)),
      m_OrderLatency(prometheus::BuildHistogram()
                         .Name("balsamwheel_order_seconds")
                         .Help("Time from an order to its answer.")
                         .Register(m_Registry)
                         .Add({}, LatencyBuckets)),
      m_ControlMessages(addCounter("balsamwheel_control_messages_total",
                                   "Control messages sent to daemons.")),
      m_RequestMessages(addCounter("balsamwheel_request_messages_total",
                                   "Request messages sent to daemons.")),
      m_BodyBytes(addCounter("balsamwheel_body_bytes_total",
                             "Bytes of long bodies sent to daemons.")),
      m_Dropped(addCounter("balsamwheel_events_dropped_total",
                           "Events refused because the inbox was full.")),
      m_Damaged(addCounter("balsamwheel_answers_damaged_total",
                           "Forwarded answers with a wrong length or hash.")),
      m_TableReads(addCounter("balsamwheel_table_reads_total",
                              "Reads of the platform's table.")),
      m_TableCommits(addCounter("balsamwheel_table_commits_total",
                                "Transactions on the platform's table.")),
      m_Queue(addGauge("balsamwheel_queue_depth",
                       "Requests waiting for a slot at the target.")),
      m_Running(
          addGauge("balsamwheel_orders_running", "Orders at the target.")),
      m_Limit(addGauge("balsamwheel_concurrency_limit",
                       "Orders admitted to the target at a time.")),
      m_Inbox(addGauge("balsamwheel_inbox_depth",
                       "Events waiting for the core thread.")),
      m_Pipes(addGauge("balsamwheel_body_pipes", "Long bodies on their way.")),
      m_OutcomesKept(addGauge("balsamwheel_outcomes_kept",
                              "Remembered outcomes of requests.")),
      m_RequestsOpen(addGauge("balsamwheel_requests_open",
                              "Requests without an answer yet.")),
      m_LeaseHeld(addGauge("balsamwheel_lease_held",
                           "1 while the session's lease holds.")),
      m_LeaseExtended(addGauge("balsamwheel_lease_extended",
                               "1 while witnesses extend the lease.")),
      m_LeaseLeft(addGauge("balsamwheel_lease_left_seconds",
                           "Time until the lease ends.")),
      m_ConfigVersion(addGauge("balsamwheel_config_version",
                               "Version of the configuration in force.")),
      m_MapVersion(
          addGauge("balsamwheel_map_version", "Version of the shard map.")),
      m_Members(addGauge("balsamwheel_members", "Live sessions known.")),
      m_ShardsOwned(
          addGauge("balsamwheel_shards_owned", "Shards this session owns.")),
      m_ShardsPending(addGauge("balsamwheel_shards_pending",
                               "Owned shards that wait for a handover.")),
      m_TargetLoad(addGauge("balsamwheel_target_reported_load",
                            "Load as the target reports it.")),
      m_TargetHealthy(addGauge("balsamwheel_target_reported_healthy",
                               "Health as the target reports it.")) {
  for (const OrderEnd End :
       {OrderEnd::Answered, OrderEnd::Shed, OrderEnd::NotSent, OrderEnd::Failed,
        OrderEnd::Aborted})
    m_Orders.at(static_cast<std::size_t>(End)) =
        &m_OrderFamily.Add({{"end", labelOf(End)}});
}

prometheus::Counter &Metrics::addCounter(const char *Name, const char *Help) {
  return prometheus::BuildCounter()
      .Name(Name)
      .Help(Help)
      .Register(m_Registry)
      .Add({});
}

prometheus::Gauge &Metrics::addGauge(const char *Name, const char *Help) {
  return prometheus::BuildGauge()
      .Name(Name)
      .Help(Help)
      .Register(m_Registry)
      .Add({});
}

Metrics::ClassSeries &Metrics::seriesOf(const ServiceName &Service,
                                        const ClassName &Class) {
  ClassSeries &Series = m_Series[{Service, Class}];
  if (Series.m_Latency == nullptr)
    Series.m_Latency = &m_LatencyFamily.Add(
        {{"service", Service.value()}, {"class", Class.value()}},
        LatencyBuckets);
  return Series;
}

void Metrics::recordRequest(const ServiceName &Service, const ClassName &Class,
                            Outcome Result, Reason Cause, Duration Latency) {
  ClassSeries &Series = seriesOf(Service, Class);
  Series.m_Latency->Observe(toSeconds(Latency));
  prometheus::Counter *&Count = Series.m_Outcomes[{Result, Cause}];
  if (Count == nullptr)
    Count = &m_OutcomeFamily.Add({{"service", Service.value()},
                                  {"class", Class.value()},
                                  {"outcome", std::string(toString(Result))},
                                  {"reason", std::string(toString(Cause))}});
  Count->Increment();
}

void Metrics::recordRefusal(Reason Cause) {
  m_RefusedFamily.Add({{"reason", std::string(toString(Cause))}}).Increment();
}

void Metrics::recordOrderEnd(OrderEnd End, Duration Latency) {
  m_Orders.at(static_cast<std::size_t>(End))->Increment();
  m_OrderLatency.Observe(toSeconds(Latency));
}

void Metrics::setTargetLoad(double Load, bool Healthy) {
  m_TargetLoad.Set(Load);
  m_TargetHealthy.Set(Healthy ? 1 : 0);
}

void Metrics::update(const NodeStatus &Status, std::size_t InboxSize,
                     std::size_t BodyPipes, TimePoint Now) {
  const CoordinatorStatus &State = Status.m_Coordinator;
  m_Queue.Set(static_cast<double>(Status.m_Queued));
  m_Running.Set(Status.m_Running);
  m_Limit.Set(Status.m_Limit);
  m_Inbox.Set(static_cast<double>(InboxSize));
  m_Pipes.Set(static_cast<double>(BodyPipes));
  m_OutcomesKept.Set(static_cast<double>(Status.m_OutcomesKept));
  m_RequestsOpen.Set(static_cast<double>(Status.m_RequestsOpen));
  m_LeaseHeld.Set(State.m_LeaseHeld ? 1 : 0);
  m_LeaseExtended.Set(State.m_LeaseExtended ? 1 : 0);
  m_LeaseLeft.Set(State.m_LeaseHeld ? toSeconds(State.m_LeaseEnd - Now) : 0);
  m_ConfigVersion.Set(static_cast<double>(State.m_Config.value()));
  m_MapVersion.Set(static_cast<double>(State.m_CompleteHeadVersion));
  m_Members.Set(static_cast<double>(State.m_Members));
  m_ShardsOwned.Set(static_cast<double>(State.m_ShardsOwned));
  m_ShardsPending.Set(static_cast<double>(State.m_ShardsPending));
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(m_Registry.Collect());
}

} // namespace balsamwheel::daemon
