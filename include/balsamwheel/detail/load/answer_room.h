// Decides whether there is room for another large answer.
//
// Load pattern: callers, or the daemons of other instances, read large answers
// more slowly than targets send them. What isn't read is held, and many such
// answers together take the memory of the machine.
//
// The bytes that are held for all of them are compared with a fixed part of the
// memory. Small answers aren't refused: they take little, and their callers
// read them in time. Performs no I/O and reads no clock.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace balsamwheel {

struct AnswerRoomOptions {
  /// While more bytes of answers are held, requests with large answers are
  /// refused; 0 means no limit.
  std::size_t m_MaxBytes = 0;
  /// At which the machine's link takes answers; 0 means that it isn't known.
  double m_BytesPerSecond = 0;
  /// Bounds of the time after which a refused caller may return.
  Duration m_MinRetryAfter = std::chrono::milliseconds(300);
  Duration m_MaxRetryAfter = std::chrono::seconds(2);
};

class AnswerRoom {
public:
  explicit AnswerRoom(AnswerRoomOptions Options) : m_Options(Options) {}

  /// \param HeldBytes of answers that aren't sent yet, to callers and peers.
  /// \returns when a caller whose answer would be large may return; none if its
  /// request may run now.
  std::optional<Duration> refusedFor(std::size_t HeldBytes) const {
    if (m_Options.m_MaxBytes == 0 || HeldBytes <= m_Options.m_MaxBytes)
      return std::nullopt;
    if (m_Options.m_BytesPerSecond <= 0)
      return m_Options.m_MinRetryAfter;
    // Bounded before the conversion, which is undefined for large values.
    const double Micros =
        std::min(static_cast<double>(HeldBytes - m_Options.m_MaxBytes) * 1e6 /
                     m_Options.m_BytesPerSecond,
                 static_cast<double>(m_Options.m_MaxRetryAfter.count()));
    return std::max(Duration(static_cast<Duration::rep>(Micros)),
                    m_Options.m_MinRetryAfter);
  }

private:
  AnswerRoomOptions m_Options;
};

} // namespace balsamwheel
