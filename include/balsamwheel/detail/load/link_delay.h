// How long frames of a peer waited on their way.
//
// Load pattern: large answers fill a machine's link, and requests that begin
// on the machine wait behind them, for seconds at worst. Counted from their
// arrival, their time limits would end after their callers have left.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace balsamwheel {

/// Tells the wait of each frame from the sender's own time on it: the clocks of
/// two machines are apart by an unknown amount, but the quickest frame of late
/// bounds it. Pure; not thread-safe.
///
/// Invariant: no delay is below zero, and the quickest frame of the window has
/// none.
class LinkDelay {
public:
  /// Notes a frame and returns how much longer it took than the quickest one.
  /// Complexity: constant.
  Duration note(std::int64_t SentAt, TimePoint Now) {
    const Duration Apart = Now.time_since_epoch() - Duration(SentAt);
    if (!m_WindowEnd || Now >= *m_WindowEnd) {
      m_Previous = m_Present;
      m_Present = Apart;
      m_WindowEnd = Now + Window;
    }
    m_Present = std::min(m_Present.value_or(Apart), Apart);
    return Apart - std::min(*m_Present, m_Previous.value_or(*m_Present));
  }

private:
  /// The quickest frame counts for one to two of these: long enough to span a
  /// busy spell, short enough for clocks whose rates differ by 100 ppm.
  static constexpr Duration Window = std::chrono::seconds(60);

  std::optional<Duration> m_Present;
  std::optional<Duration> m_Previous;
  std::optional<TimePoint> m_WindowEnd;
};

} // namespace balsamwheel
