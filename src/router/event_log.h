// Structured log: one JSON object a line on standard output. Bounded and
// never blocking: lines that don't fit the buffer are dropped and counted.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include "net/event_loop.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace balsamwheel {

/// Lines of one kind have the same fields.
class LogLine {
public:
  explicit LogLine(std::string_view Event);
  LogLine &add(std::string_view Field, std::string_view Value);
  LogLine &add(std::string_view Field, std::int64_t Value);
  LogLine &add(std::string_view Field, Duration Value);
  const std::string &event() const { return m_Event; }
  std::string finish(TimePoint Now) const;

private:
  std::string m_Event;
  std::string m_Fields;
};

enum class LogClass : std::uint8_t {
  /// Start, stop, dependencies, beliefs: kept as long as there is room.
  Belief,
  /// Requests that were refused or failed.
  Failure,
  /// Requests that went well; the first to be dropped.
  Success,
};

struct EventLogOptions {
  /// Descriptor of the output; a negative one discards all.
  int m_Output = 1;
  std::size_t m_MaxBuffered = std::size_t{256} << 10;
  /// Lines a second of each class that are written; the rest is counted.
  double m_BeliefsPerSecond = 50;
  double m_FailuresPerSecond = 20;
  double m_SuccessesPerSecond = 5;
};

class EventLog {
public:
  EventLog(EventLoop &Loop, EventLogOptions Options);

  void write(LogClass Class, const LogLine &Line);
  /// Hands buffered lines to the output as far as it takes them.
  void flush();

private:
  struct Budget {
    double m_Tokens = 0;
    TimePoint m_At;
    std::uint64_t m_Dropped = 0;
    TimePoint m_DropsToldAt;
  };

  double rate(LogClass Class) const;
  bool admit(LogClass Class);

  EventLoop &m_Loop;
  EventLogOptions m_Options;
  std::map<LogClass, Budget> m_Budgets;
  std::string m_Buffer;
};

} // namespace balsamwheel
