// Bodies that prove themselves whole: they state the request they answer,
// their length and a hash.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamwheel::bench {

/// Builds an answer body for a request of at least \p Size bytes.
std::string makePayload(std::string_view RequestId, std::size_t Size);

/// Returns whether a body is the whole answer to a request.
bool isIntactPayload(std::string_view Body, std::string_view RequestId);

} // namespace balsamwheel::bench
