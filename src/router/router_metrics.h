// Counters and latency histograms of a daemon.
#pragma once

#include "quota_counts.h"

#include "balsamwheel/detail/core/time.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace balsamwheel {

class RouterMetrics {
public:
  RouterMetrics();

  /// Counts a finished request of a caller.
  /// \param Outcome a short fixed text.
  void requestEnded(const std::string &Service, const std::string &Outcome,
                    Duration Took);
  /// Counts a request that was refused without having run.
  /// \param Priority those of 7 and above share a label.
  /// \param Reason a short fixed text.
  void requestRefused(const std::string &Service, std::uint32_t Priority,
                      std::string_view Reason);
  /// Counts an attempt that was cancelled, by what it was doing.
  /// \param State a short fixed text.
  void attemptCancelled(const std::string &State);
  void tableCall(const std::string &Call, const std::string &End);
  void gate(std::uint32_t Running, std::size_t Waiting);
  /// \param Age upper bound of the configuration's age when it came into force;
  ///        none if it isn't known.
  void configApplied(std::uint64_t Version, std::optional<Duration> Age);
  void storeEra(std::uint64_t Era);
  /// \param PerSecond the limit that the target names; 0 for none.
  void targetLimit(double PerSecond);
  /// \param Slots that are measured to be handled well; 0 if not measured.
  void targetCapacity(std::uint32_t Slots);
  /// \param Bytes held for the connections of all callers.
  void callerBytes(std::size_t Bytes);
  /// \param Bytes of answers that aren't sent yet, to callers and peers.
  void answerBytes(std::size_t Bytes);
  QuotaCounts &quota() { return m_Quota; }
  /// Counts bytes sent to peers.
  /// \param Kind of the frames; a short fixed text.
  /// \param OwnDomain whether the receivers are in the daemon's failure domain.
  void peerBytes(const std::string &Kind, bool OwnDomain, std::uint64_t Bytes);
  /// All metrics in the text format of Prometheus.
  std::string toText() const;

private:
  std::shared_ptr<prometheus::Registry> m_Registry;
  prometheus::Family<prometheus::Counter> &m_Requests;
  prometheus::Family<prometheus::Counter> &m_Refusals;
  prometheus::Family<prometheus::Histogram> &m_Latency;
  prometheus::Family<prometheus::Counter> &m_TableCalls;
  prometheus::Family<prometheus::Counter> &m_PeerBytes;
  prometheus::Family<prometheus::Gauge> &m_Gate;
  prometheus::Family<prometheus::Counter> &m_Cancelled;
  prometheus::Gauge &m_Version;
  prometheus::Gauge &m_ConfigAge;
  prometheus::Gauge &m_StoreEra;
  prometheus::Gauge &m_TargetLimit;
  prometheus::Gauge &m_TargetCapacity;
  prometheus::Gauge &m_CallerBytes;
  prometheus::Gauge &m_AnswerBytes;
  QuotaCounts m_Quota;
};

} // namespace balsamwheel
