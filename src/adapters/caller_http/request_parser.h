// Checks the head of a caller's request and classifies it by the manifest.
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

/// The head of a request as it came in.
struct RequestHead {
  std::string m_Method;
  /// Path and query, not decoded.
  std::string m_RequestTarget;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// Decoded query parameter "key".
  std::optional<std::string> m_QueryKey;
};

/// A request that may be routed.
struct ParsedRequest {
  RequestMeta m_Meta;
  Urgency m_Urgency = Urgency::Interactive;
  /// Time the caller gives, at most the class's deadline.
  Duration m_TimeLeft{0};
  std::uint64_t m_MaxBodyBytes = 0;
  /// None when the body is sent in chunks of unknown number.
  std::optional<std::uint64_t> m_BodyLength;
};

/// A request that reaches no target.
struct Refusal {
  std::uint16_t m_Status = 400;
  Outcome m_Outcome = Outcome::NotRun;
  Reason m_Reason = Reason::BadRequest;
  std::string m_Detail;
  Duration m_RetryAfter{0};
};

inline constexpr std::size_t MaxKeyLength = 512;

/// Checks and classifies a request.
///
/// \param Known the configuration in force; null while none is known.
/// \param GeneratedId the id of a request that brings none.
/// Complexity: linear in headers, classes and patterns.
std::variant<ParsedRequest, Refusal> parseRequest(const RequestHead &Head,
                                                  const Config *ActiveConfig,
                                                  const RequestId &GeneratedId);

/// Picks the class of a request by the longest pattern that matches.
///
/// \returns the first class when none matches.
const RequestClass &matchClass(const Service &Target, std::string_view Method,
                               std::string_view Path);

/// Compares names of headers. Complexity: linear.
bool sameHeaderName(std::string_view First, std::string_view Second);

} // namespace balsamwheel::caller_http
