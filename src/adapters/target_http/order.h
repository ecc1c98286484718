// Converts orders to HTTP requests, and the results of these to order ends.
#pragma once

#include "adapters/http_client/transfer.h"
#include "balsamwheel/detail/node/effects.h"

#include <string>

namespace balsamwheel::target_http {

/// Builds the HTTP request for an order; the caller adds the callbacks.
///
/// \param Address "host:port" of the target.
http_client::Transfer makeOrderTransfer(const std::string &Address,
                                        StartOrder Order);

/// Derives the end of an order from the result of its transfer.
OrderEnd classifyOrderEnd(const http_client::TransferResult &Result);

} // namespace balsamwheel::target_http
