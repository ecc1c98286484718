// The daemon's Prometheus metrics.
#pragma once

#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/node/node.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace balsamwheel::daemon {

/// Counters of the messages and bytes of one kind sent between daemons.
struct TrafficCounters {
  prometheus::Counter *m_Messages = nullptr;
  prometheus::Counter *m_Bytes = nullptr;
};

/// Thread-safe, except recordRequest() and update(), which only the core thread
/// may call. recordRequest() uses a cache without a lock.
class Metrics {
public:
  Metrics();

  /// Records the answer to a caller. Complexity: logarithmic in the number of
  /// series.
  void recordRequest(const ServiceName &Service, const ClassName &Class,
                     Outcome Result, Reason Cause, Duration Latency);
  /// Records a request that was refused before it reached the core.
  void recordRefusal(Reason Cause);
  /// Records the end of an order at the target.
  void recordOrderEnd(OrderEnd End, Duration Latency);
  void setTargetLoad(double Load, bool Healthy);
  void update(const NodeStatus &Status, std::size_t InboxSize,
              std::size_t BodyPipes, TimePoint Now);
  prometheus::Counter &controlMessages() { return m_ControlMessages; }
  prometheus::Counter &requestMessages() { return m_RequestMessages; }
  prometheus::Counter &bodyBytes() { return m_BodyBytes; }
  prometheus::Counter &droppedEvents() { return m_Dropped; }
  prometheus::Counter &damagedAnswers() { return m_Damaged; }
  prometheus::Counter &tableReads() { return m_TableReads; }
  prometheus::Counter &tableCommits() { return m_TableCommits; }

  /// Returns all metrics in the Prometheus text format.
  std::string serialize() const;

private:
  /// The series of one service and request class.
  struct ClassSeries {
    prometheus::Histogram *m_Latency = nullptr;
    std::map<std::pair<Outcome, Reason>, prometheus::Counter *> m_Outcomes;
  };
  using ClassKey = std::pair<ServiceName, ClassName>;

  prometheus::Counter &addCounter(const char *Name, const char *Help);
  prometheus::Gauge &addGauge(const char *Name, const char *Help);
  ClassSeries &seriesOf(const ServiceName &Service, const ClassName &Class);

  prometheus::Registry m_Registry;
  prometheus::Family<prometheus::Histogram> &m_LatencyFamily;
  prometheus::Family<prometheus::Counter> &m_OutcomeFamily;
  prometheus::Family<prometheus::Counter> &m_RefusedFamily;
  prometheus::Family<prometheus::Counter> &m_OrderFamily;
  /// Indexed by OrderEnd.
  std::array<prometheus::Counter *, 5> m_Orders{};
  prometheus::Histogram &m_OrderLatency;
  prometheus::Counter &m_ControlMessages;
  prometheus::Counter &m_RequestMessages;
  prometheus::Counter &m_BodyBytes;
  prometheus::Counter &m_Dropped;
  prometheus::Counter &m_Damaged;
  prometheus::Counter &m_TableReads;
  prometheus::Counter &m_TableCommits;
  prometheus::Gauge &m_Queue;
  prometheus::Gauge &m_Running;
  prometheus::Gauge &m_Limit;
  prometheus::Gauge &m_Inbox;
  prometheus::Gauge &m_Pipes;
  prometheus::Gauge &m_OutcomesKept;
  prometheus::Gauge &m_RequestsOpen;
  prometheus::Gauge &m_LeaseHeld;
  prometheus::Gauge &m_LeaseExtended;
  prometheus::Gauge &m_LeaseLeft;
  prometheus::Gauge &m_ConfigVersion;
  prometheus::Gauge &m_MapVersion;
  prometheus::Gauge &m_Members;
  prometheus::Gauge &m_ShardsOwned;
  prometheus::Gauge &m_ShardsPending;
  prometheus::Gauge &m_TargetLoad;
  prometheus::Gauge &m_TargetHealthy;
  std::map<ClassKey, ClassSeries> m_Series;
};

} // namespace balsamwheel::daemon
