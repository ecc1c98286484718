// Validates the head of a caller's request and assigns its service, key and
// class from headers, path and manifest.
#pragma once

#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/manifest/model.h"
#include "balsamwheel/detail/wire/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace balsamwheel::caller_http {

/// The request line and headers of a request as received.
struct RequestHead {
  std::string m_Method;
  /// The request target: path and query, not decoded.
  std::string m_RequestTarget;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// The decoded query parameter "key".
  std::optional<std::string> m_QueryKey;
};

/// A valid request that can be routed.
struct ParsedRequest {
  RequestMeta m_Meta;
  Urgency m_Urgency = Urgency::Interactive;
  /// Time until the caller's deadline, at most the deadline of the class.
  Duration m_TimeLeft{0};
  std::uint64_t m_MaxBodyBytes = 0;
  /// None for a body with chunked transfer encoding.
  std::optional<std::uint64_t> m_BodyLength;
};

/// The response to a request that is refused before it reaches a target.
struct Refusal {
  std::uint16_t m_Status = 400;
  Outcome m_Outcome = Outcome::NotRun;
  Reason m_Reason = Reason::BadRequest;
  std::string m_Detail;
  Duration m_RetryAfter{0};
};

/// Longest key in bytes.
inline constexpr std::size_t MaxKeyLength = 512;

/// Validates and classifies a request.
///
/// \param ActiveConfig null before the first configuration is loaded.
/// \param GeneratedId the id for a request that does not carry one.
/// Complexity: linear in the numbers of headers, classes and patterns.
std::variant<ParsedRequest, Refusal> parseRequest(const RequestHead &Head,
                                                  const Config *ActiveConfig,
                                                  const RequestId &GeneratedId);

/// Selects the class of a request by the longest matching pattern.
///
/// \returns the first class if no pattern matches.
const RequestClass &matchClass(const Service &Target, std::string_view Method,
                               std::string_view Path);

} // namespace balsamwheel::caller_http
