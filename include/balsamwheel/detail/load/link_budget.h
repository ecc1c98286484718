// Limits large answers to a share of the bandwidth of this machine's link.
//
// Load pattern: targets of a service with large answers are attached to links
// that carry fewer answers per second than the targets produce. Without a limit
// the answers queue up on the link, all of them become late, and small answers
// to nested requests wait behind them.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <algorithm>
#include <cstddef>

namespace balsamwheel {

struct LinkBudgetOptions {
  /// Bandwidth of the link in bytes per second; 0 means no limit.
  double m_BytesPerSecond = 0;
  /// Fraction of the link's bandwidth that large answers may use.
  double m_Share = 0.65;
  /// Fraction of a request's remaining time that waiting for the link and the
  /// transfer of its answer may take.
  double m_WaitShare = 0.7;
  /// Smoothing factor: weight of the newest answer in the mean size.
  double m_SizeWeight = 0.1;
};

/// Reserves link time for one answer after the other. Performs no I/O and reads
/// no clock; not thread-safe.
/// Invariant: the reservations in any interval fit the share of the link, apart
/// from the difference between expected and actual sizes.
class LinkBudget {
public:
  explicit LinkBudget(LinkBudgetOptions Options) : m_Options(Options) {}

  /// Reserves link time for one more answer of the mean size.
  ///
  /// \returns false, without a reservation, when the transfer would not be
  ///          complete within m_WaitShare of \p TimeLeft.
  bool reserve(Duration TimeLeft, TimePoint Now) {
    const Duration Wait = wait(Now) + transferTime();
    if (static_cast<double>(Wait.count()) >
        m_Options.m_WaitShare * static_cast<double>(TimeLeft.count()))
      return false;
    m_FreeAt = std::max(m_FreeAt, Now) + transferTime();
    return true;
  }
  /// Records the size of a large answer that was sent.
  void sent(std::size_t Bytes) {
    m_MeanBytes +=
        m_Options.m_SizeWeight * (static_cast<double>(Bytes) - m_MeanBytes);
  }
  /// Time until the transfers that are reserved now are complete.
  Duration wait(TimePoint Now) const {
    return std::max(Duration::zero(), m_FreeAt - Now);
  }

private:
  Duration transferTime() const {
    const double Rate = m_Options.m_BytesPerSecond * m_Options.m_Share;
    return Rate > 0
               ? Duration(static_cast<Duration::rep>(m_MeanBytes / Rate * 1e6))
               : Duration::zero();
  }

  LinkBudgetOptions m_Options;
  /// Exponential moving average; the initial value is a typical document size.
  double m_MeanBytes = 60000;
  TimePoint m_FreeAt;
};

} // namespace balsamwheel
