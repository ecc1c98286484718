// The daemon's log lines.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "daemon/settings.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace balsamwheel::daemon {

/// Sends log lines to standard error in the format asked for.
void configureLogging(const Settings &Given);

/// The daemon's logger.
log4cplus::Logger &logger();

/// Puts a request's id on the lines logged while it lives.
class RequestLogScope {
public:
  explicit RequestLogScope(const RequestId &Id);
  ~RequestLogScope();
  RequestLogScope(const RequestLogScope &) = delete;
  RequestLogScope &operator=(const RequestLogScope &) = delete;
};

} // namespace balsamwheel::daemon
