// Answer bodies that carry the id of their request, their length and a hash, so
// that truncated, changed and misrouted bodies are detected.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamwheel::bench {

/// Builds the body of an answer to a request, of at least \p Size bytes.
std::string makePayload(std::string_view RequestId, std::size_t Size);

/// Returns whether a body is complete, unchanged and the answer to this
/// request.
bool isIntactPayload(std::string_view Body, std::string_view RequestId);

} // namespace balsamwheel::bench
