// Set-up of the logger and layouts of log lines.
#include "daemon/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/mdc.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <cctype>
#include <memory>
#include <utility>

namespace balsamwheel::daemon {

namespace {

constexpr const char *RequestIdField = "request_id";
constexpr const char *InstanceField = "instance";
constexpr const char *TextPattern =
    "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%X{instance}] [%X{request_id}] %m%n";

/// Writes each line as a JSON object.
class JsonLayout : public log4cplus::Layout {
public:
  explicit JsonLayout(std::string Instance) : m_Instance(std::move(Instance)) {}

  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    nlohmann::json Object{
        {"time", log4cplus::helpers::getFormattedTime(
                     "%Y-%m-%dT%H:%M:%S.%qZ", Event.getTimestamp(), true)},
        {"level",
         log4cplus::getLogLevelManager().toString(Event.getLogLevel())},
        {InstanceField, m_Instance},
        {"message", Event.getMessage()}};
    if (const std::string Id = Event.getMDC(RequestIdField); !Id.empty())
      Object[RequestIdField] = Id;
    Output << Object.dump(-1, ' ', false,
                          nlohmann::json::error_handler_t::replace)
           << '\n';
  }

private:
  const std::string m_Instance;
};

/// Returns the pattern of text lines with the instance name filled in.
std::string textPattern(const std::string &Instance) {
  std::string Result = TextPattern;
  const std::string Field = "%X{instance}";
  std::string Name;
  for (const char Character : Instance)
    Name += Character == '%' ? std::string("%%") : std::string(1, Character);
  Result.replace(Result.find(Field), Field.size(), Name);
  return Result;
}

log4cplus::SharedAppenderPtr makeAppender(const std::string &File) {
  if (File.empty())
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                       /*immediateFlush=*/true));
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(File, std::ios_base::app));
}

} // namespace

void configureLogging(const Settings &Given) {
  log4cplus::SharedAppenderPtr Output = makeAppender(Given.m_LogFile);
  const std::string Instance = Given.m_Instance.value();
  if (Given.m_LogFormat == LogFormat::Json)
    Output->setLayout(std::make_unique<JsonLayout>(Instance));
  else
    Output->setLayout(
        std::make_unique<log4cplus::PatternLayout>(textPattern(Instance)));
  log4cplus::Logger Log = logger();
  Log.removeAllAppenders();
  Log.addAppender(Output);
  std::string Level = Given.m_LogLevel;
  for (char &Character : Level)
    Character =
        static_cast<char>(std::toupper(static_cast<unsigned char>(Character)));
  Log.setLogLevel(log4cplus::getLogLevelManager().fromString(Level));
}

log4cplus::Logger &logger() {
  static log4cplus::Logger Instance =
      log4cplus::Logger::getInstance("balsamwheel");
  return Instance;
}

RequestLogScope::RequestLogScope(const RequestId &Id) {
  log4cplus::getMDC().put(RequestIdField, Id.value());
}

RequestLogScope::~RequestLogScope() {
  log4cplus::getMDC().remove(RequestIdField);
}

} // namespace balsamwheel::daemon
