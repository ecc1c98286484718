// Builds the HTTP responses that are sent to callers.
#pragma once

#include "adapters/caller_http/request_parser.h"
#include "balsamwheel/detail/node/effects.h"
#include "runtime/body_pipe.h"

#include <microhttpd.h>

#include <memory>
#include <string>

namespace balsamwheel::caller_http {

/// Deletes a response of libmicrohttpd.
struct ResponseDeleter {
  void operator()(MHD_Response *Response) const {
    MHD_destroy_response(Response);
  }
};
using ResponsePtr = std::unique_ptr<MHD_Response, ResponseDeleter>;

/// The response to a caller whose request has no answer from a target.
struct Problem {
  std::uint16_t m_Status = 503;
  Outcome m_Outcome = Outcome::NotRun;
  Reason m_Reason = Reason::None;
  std::string m_Detail;
  RequestId m_Id;
  /// Time that the caller should wait before it retries; 0 if none is stated.
  Duration m_RetryAfter{0};
};

/// The HTTP status for an outcome other than done.
std::uint16_t statusOf(Outcome Value, Reason Cause);

/// The JSON body of a problem.
std::string problemBody(const Problem &Value);

/// Builds a response from a problem.
ResponsePtr makeProblemResponse(const Problem &Value);

/// Builds a response from a target's answer whose complete body is inline.
ResponsePtr makeCompleteResponse(AnswerCaller Answer, const RequestId &Id);

/// Builds a response whose body streams: first the inline part, then the bytes
/// of a pipe as they arrive.
///
/// \param Rest the remainder of the body.
ResponsePtr makeStreamedResponse(AnswerCaller Answer, const RequestId &Id,
                                 MHD_Connection *Connection,
                                 runtime::BodyPipePtr Rest);

} // namespace balsamwheel::caller_http
