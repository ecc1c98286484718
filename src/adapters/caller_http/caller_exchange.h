// One request of a caller, from its first byte to the last of its answer.
#pragma once

#include "adapters/caller_http/request_parser.h"
#include "balsamwheel/detail/node/effects.h"
#include "runtime/body_pipe.h"

#include <microhttpd.h>

#include <mutex>
#include <optional>
#include <string>

namespace balsamwheel::caller_http {

/// The server's thread owns all but what the mutex guards.
///
/// Invariant: the connection is suspended only with a resume pending, either
/// through the answer or through a pipe.
struct CallerExchange {
  RequestHandle m_Handle;
  RequestHead m_Head;
  MHD_Connection *m_Connection = nullptr;
  bool m_HeadRead = false;
  ParsedRequest m_Parsed;
  /// The inline part of the body.
  std::string m_Body;
  std::uint64_t m_Received = 0;
  /// The rest of a long body.
  runtime::BodyPipePtr m_Upload;
  /// The request was handed over and an answer will come.
  bool m_Submitted = false;
  /// Set when the request is refused while its body still comes.
  std::optional<Refusal> m_Refusal;
  bool m_Responded = false;

  std::mutex m_Mutex;
  /// Guarded: the connection is suspended until the answer comes.
  bool m_AwaitingAnswer = false;
  /// Guarded.
  std::optional<AnswerCaller> m_Answer;
  /// Guarded: the rest of a long answer.
  runtime::BodyPipePtr m_Download;
};

} // namespace balsamwheel::caller_http
