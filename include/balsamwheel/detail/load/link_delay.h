// Estimates how long the frames of a peer were delayed on the network.
//
// Load pattern: large answers saturate a machine's link, and requests sent from
// that machine wait behind them, for seconds at worst. If the time left
// until their deadlines were counted from arrival, they would still run after
// their callers have left.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace balsamwheel {

/// Derives the delay of each frame from the sender's timestamp. The offset
/// between the two clocks is unknown, but the fastest recent frame gives an
/// upper bound of it. Performs no I/O and reads no clock; not thread-safe.
///
/// Invariant: no delay is negative, and the delay of the fastest frame in the
/// window is zero.
class LinkDelay {
public:
  /// Records a frame and returns how much longer it took than the fastest frame
  /// of the window. Complexity: constant.
  ///
  /// \param SentAt sender's clock at sending, microseconds.
  Duration recordFrame(std::int64_t SentAt, TimePoint Now) {
    const Duration Offset = Now.time_since_epoch() - Duration(SentAt);
    if (!m_WindowEnd || Now >= *m_WindowEnd) {
      m_PreviousMin = m_CurrentMin;
      m_CurrentMin = Offset;
      m_WindowEnd = Now + Window;
    }
    m_CurrentMin = std::min(m_CurrentMin.value_or(Offset), Offset);
    return Offset -
           std::min(*m_CurrentMin, m_PreviousMin.value_or(*m_CurrentMin));
  }

private:
  /// The minimum covers between one and two windows: long enough to outlast a
  /// period of saturation, short enough that clocks whose rates differ by
  /// 100 ppm cause no significant error.
  static constexpr Duration Window = std::chrono::seconds(60);

  std::optional<Duration> m_CurrentMin;
  std::optional<Duration> m_PreviousMin;
  std::optional<TimePoint> m_WindowEnd;
};

} // namespace balsamwheel
