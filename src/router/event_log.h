// Structured log: one JSON object per line on standard output. Bounded and
// non-blocking: lines that don't fit the buffer are dropped and counted.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include "net/event_loop.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamwheel {

/// One log line. All lines of one event have the same fields.
class LogLine {
public:
  explicit LogLine(std::string_view Event);
  LogLine &add(std::string_view Field, std::string_view Value);
  LogLine &add(std::string_view Field, std::int64_t Value);
  /// Adds a duration in microseconds; "_us" is appended to the field's name.
  LogLine &add(std::string_view Field, Duration Value);
  const std::string &event() const { return m_Event; }
  /// The line as JSON, with the wall clock and boot time.
  std::string toJsonLine(TimePoint Now) const;

private:
  std::string m_Event;
  std::string m_Fields;
};

enum class LogClass : std::uint8_t {
  /// Start and stop, and changes in the state of dependencies, configuration,
  /// members, targets and key maps. Their rate limit is the highest, so they
  /// are dropped last.
  StateChange,
  /// Requests that were refused or failed.
  Failure,
  /// Requests that succeeded. Their rate limit is the lowest, so they are
  /// dropped first.
  Success,
};

struct EventLogOptions {
  /// File descriptor of the output; a negative one discards everything.
  int m_Output = 1;
  /// In bytes; above it, lines of all classes are dropped.
  std::size_t m_MaxBuffered = std::size_t{256} << 10;
  /// Maximum lines per second of each class; further lines are dropped and
  /// counted.
  double m_StateChangesPerSecond = 50;
  double m_FailuresPerSecond = 20;
  double m_SuccessesPerSecond = 5;
};

/// Writes log lines within the rate limit of their class. Not thread-safe.
class EventLog {
public:
  EventLog(EventLoop &Loop, EventLogOptions Options);

  void write(LogClass Class, const LogLine &Line);
  /// Writes as much of the buffer as the output accepts.
  void flush();

private:
  struct TokenBucket {
    double m_Tokens = 0;
    TimePoint m_RefilledAt;
    std::uint64_t m_Dropped = 0;
    TimePoint m_DropsReportedAt;
  };

  double rate(LogClass Class) const;
  bool admit(LogClass Class);

  EventLoop &m_Loop;
  EventLogOptions m_Options;
  std::map<LogClass, TokenBucket> m_Buckets;
  std::string m_Buffer;
};

} // namespace balsamwheel
