// The daemon's logger.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "daemon/settings.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace balsamwheel::daemon {

/// Configures output, format and level of the logger as given in the settings.
void configureLogging(const Settings &Given);

/// The daemon's logger.
log4cplus::Logger &logger();

/// Adds a request id to the lines that this thread logs during its lifetime.
class RequestLogScope {
public:
  explicit RequestLogScope(const RequestId &Id);
  ~RequestLogScope();
  RequestLogScope(const RequestLogScope &) = delete;
  RequestLogScope &operator=(const RequestLogScope &) = delete;
};

} // namespace balsamwheel::daemon
