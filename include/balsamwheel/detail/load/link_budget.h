// Time of the machine's own link that large answers need.
//
// Load pattern: targets of a service with large answers sit behind links that
// carry fewer answers than the targets make. Without a limit the answers queue
// on the link, all of them late, and small answers to nested requests wait
// behind them.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <algorithm>
#include <cstddef>

namespace balsamwheel {

struct LinkBudgetOptions {
  /// Bytes a second that the link carries; 0 means no limit.
  double m_BytesPerSecond = 0;
  /// Part of the link that large answers may use.
  double m_Share = 0.65;
  /// Part of a request's remaining time that its answer may wait for the link.
  double m_WaitShare = 0.7;
  /// Weight of the newest answer in the mean size.
  double m_SizeWeight = 0.1;
};

/// Reserves the link for one answer after the other. Pure; not thread-safe.
/// Invariant: the reservations of any span of time fit the link's share, but
/// for the difference between expected and real sizes.
class LinkBudget {
public:
  explicit LinkBudget(LinkBudgetOptions Options) : m_Options(Options) {}

  /// Reserves the link for one more answer of the mean size.
  ///
  /// \returns false, without a reservation, when it wouldn't be through within
  ///          its share of \p TimeLeft.
  bool reserve(Duration TimeLeft, TimePoint Now) {
    const Duration Wait = wait(Now) + transfer();
    if (static_cast<double>(Wait.count()) >
        m_Options.m_WaitShare * static_cast<double>(TimeLeft.count()))
      return false;
    m_FreeAt = std::max(m_FreeAt, Now) + transfer();
    return true;
  }
  /// A large answer of this size was sent.
  void sent(std::size_t Bytes) {
    m_MeanBytes +=
        m_Options.m_SizeWeight * (static_cast<double>(Bytes) - m_MeanBytes);
  }
  /// How long until the present reservations are through.
  Duration wait(TimePoint Now) const {
    return std::max(Duration::zero(), m_FreeAt - Now);
  }

private:
  Duration transfer() const {
    const double Rate = m_Options.m_BytesPerSecond * m_Options.m_Share;
    return Rate > 0
               ? Duration(static_cast<Duration::rep>(m_MeanBytes / Rate * 1e6))
               : Duration::zero();
  }

  LinkBudgetOptions m_Options;
  /// Begins at a usual size of a document.
  double m_MeanBytes = 60000;
  TimePoint m_FreeAt;
};

} // namespace balsamwheel
