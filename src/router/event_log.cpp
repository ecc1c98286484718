// Formatting and bounded output of log lines.
#include "event_log.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace balsamwheel {

namespace {

/// Size of a token bucket, in seconds of its rate: the burst that may be
/// written after a time without lines.
constexpr double BurstSeconds = 2;

/// Minimum time between two reports of the number of dropped lines.
constexpr Duration DropReportInterval = std::chrono::seconds(1);

std::string quoted(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

} // namespace

LogLine::LogLine(std::string_view Event) : m_Event(Event) {}

LogLine &LogLine::add(std::string_view Field, std::string_view Value) {
  m_Fields.append(",\"").append(Field).append("\":").append(quoted(Value));
  return *this;
}

LogLine &LogLine::add(std::string_view Field, std::int64_t Value) {
  m_Fields.append(",\"").append(Field).append("\":").append(
      std::to_string(Value));
  return *this;
}

LogLine &LogLine::add(std::string_view Field, Duration Value) {
  return add(std::string(Field) + "_us", std::int64_t{Value.count()});
}

std::string LogLine::toJsonLine(TimePoint Now) const {
  timespec WallTime{};
  clock_gettime(CLOCK_REALTIME, &WallTime);
  std::string Text = "{\"wall_ms\":";
  Text.append(
          std::to_string(WallTime.tv_sec * 1000 + WallTime.tv_nsec / 1000000))
      .append(",\"boot_us\":")
      .append(std::to_string(Now.time_since_epoch().count()))
      .append(",\"event\":\"")
      .append(m_Event)
      .append("\"")
      .append(m_Fields)
      .append("}\n");
  return Text;
}

EventLog::EventLog(EventLoop &Loop, EventLogOptions Options)
    : m_Loop(Loop), m_Options(Options) {
  const int Flags = fcntl(m_Options.m_Output, F_GETFL);
  if (Flags >= 0)
    fcntl(m_Options.m_Output, F_SETFL, Flags | O_NONBLOCK);
  for (LogClass Each :
       {LogClass::StateChange, LogClass::Failure, LogClass::Success})
    m_Buckets[Each] = {.m_Tokens = rate(Each) * BurstSeconds,
                       .m_RefilledAt = Loop.now()};
}

double EventLog::rate(LogClass Class) const {
  switch (Class) {
  case LogClass::StateChange:
    return m_Options.m_StateChangesPerSecond;
  case LogClass::Failure:
    return m_Options.m_FailuresPerSecond;
  case LogClass::Success:
    return m_Options.m_SuccessesPerSecond;
  }
  return 0;
}

bool EventLog::admit(LogClass Class) {
  TokenBucket &Bucket = m_Buckets[Class];
  const double Elapsed =
      static_cast<double>((m_Loop.now() - Bucket.m_RefilledAt).count()) / 1e6;
  Bucket.m_Tokens = std::min(rate(Class) * BurstSeconds,
                             Bucket.m_Tokens + rate(Class) * Elapsed);
  Bucket.m_RefilledAt = m_Loop.now();
  if (Bucket.m_Tokens < 1 || m_Buffer.size() >= m_Options.m_MaxBuffered) {
    ++Bucket.m_Dropped;
    return false;
  }
  Bucket.m_Tokens -= 1;
  return true;
}

void EventLog::write(LogClass Class, const LogLine &Line) {
  if (m_Options.m_Output < 0 || !admit(Class))
    return;
  TokenBucket &Bucket = m_Buckets[Class];
  if (Bucket.m_Dropped > 0 &&
      m_Loop.now() - Bucket.m_DropsReportedAt > DropReportInterval) {
    Bucket.m_DropsReportedAt = m_Loop.now();
    m_Buffer += LogLine("log_lines_dropped")
                    .add("class", std::int64_t{static_cast<int>(Class)})
                    .add("count", static_cast<std::int64_t>(Bucket.m_Dropped))
                    .toJsonLine(m_Loop.now());
    Bucket.m_Dropped = 0;
  }
  m_Buffer += Line.toJsonLine(m_Loop.now());
}

void EventLog::flush() {
  while (!m_Buffer.empty()) {
    const ssize_t Written =
        ::write(m_Options.m_Output, m_Buffer.data(), m_Buffer.size());
    if (Written <= 0)
      return; // The output would block; the buffer is bounded.
    m_Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace balsamwheel
