// State of one request of a caller, from the first byte of the request to the
// last byte of its answer.
#pragma once

#include "adapters/caller_http/request_parser.h"
#include "balsamwheel/detail/node/effects.h"
#include "runtime/body_pipe.h"

#include <microhttpd.h>

#include <mutex>
#include <optional>
#include <string>

namespace balsamwheel::caller_http {

/// Only the server's thread writes the members that the mutex does not guard.
/// Other threads read some of them: CallerServer::answer() and stop().
///
/// Invariant: while the connection is suspended, either the answer or a pipe
/// is going to resume it.
struct CallerExchange {
  RequestHandle m_Handle;
  RequestHead m_Head;
  MHD_Connection *m_Connection = nullptr;
  /// The request line and the headers have been processed.
  bool m_HeadRead = false;
  ParsedRequest m_Parsed;
  /// The inline part of the body.
  std::string m_Body;
  std::uint64_t m_Received = 0;
  /// The remainder of a long body; null for a body that fits inline.
  runtime::BodyPipePtr m_Upload;
  /// The request was passed to the node, so an answer is due.
  bool m_Submitted = false;
  /// Set when the request is refused before its body has been received.
  std::optional<Refusal> m_Refusal;
  /// A response was queued for the caller.
  bool m_Responded = false;

  std::mutex m_Mutex;
  /// Guarded: the connection is suspended until the answer arrives.
  bool m_AwaitingAnswer = false;
  /// Guarded.
  std::optional<AnswerCaller> m_Answer;
  /// Guarded: the remainder of a long answer.
  runtime::BodyPipePtr m_Download;
};

} // namespace balsamwheel::caller_http
