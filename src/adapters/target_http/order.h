// Orders to a target as HTTP requests, and the meaning of its answers.
#pragma once

#include "adapters/http_client/transfer.h"
#include "balsamwheel/detail/node/effects.h"

#include <string>

namespace balsamwheel::target_http {

/// Builds the request of an order, apart from the callbacks.
///
/// \param Address "host:port" of the target.
http_client::Transfer makeOrderTransfer(const std::string &Address,
                                        StartOrder Order);

/// How an order ended, judged from its transfer.
OrderEnd classifyOrderEnd(const http_client::TransferResult &Result);

} // namespace balsamwheel::target_http
