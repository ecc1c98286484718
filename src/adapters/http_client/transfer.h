// Describes one HTTP exchange with a server and its result, for the transfer
// loop.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/wire/request.h"
#include "runtime/body_pipe.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel::http_client {

/// Identifies a transfer for cancel(). Assigned by the submitter; 0 if the
/// transfer cannot be cancelled.
using TransferId = StrongId<struct TransferIdTag, std::uint64_t>;

enum class TransferEnd : std::uint8_t {
  /// The complete answer was received.
  Answered,
  /// No byte of the request was sent.
  NotSent,
  /// Bytes may have been sent, but no complete answer was received.
  Broken,
  /// The deadline passed after bytes may have been sent.
  TimedOut,
  /// Ended by cancel() after bytes may have been sent.
  Cancelled,
};

struct TransferResult {
  TransferEnd m_End = TransferEnd::NotSent;
  HttpAnswer m_Answer;
  /// From the start of the transfer on the loop's thread until its end.
  Duration m_Latency{0};
};

/// Creates the pipe that carries the remainder of a long answer.
using PipeFactory = std::function<runtime::BodyPipePtr(
    std::string_view Prefix, std::optional<std::uint64_t> Length)>;

struct Transfer {
  TransferId m_Id;
  std::string m_Method = "GET";
  std::string m_Url;
  /// "Name: value" lines.
  std::vector<std::string> m_Headers;
  /// Name of a header that states the time until the deadline in milliseconds;
  /// no such header is sent if the name is empty.
  std::string m_DeadlineHeader;
  /// The complete body, or its first part if m_Upload is set.
  std::string m_Body;
  /// The remainder of a long body; null if m_Body is complete.
  runtime::BodyPipePtr m_Upload;
  /// Bytes of the complete body.
  std::uint64_t m_BodyLength = 0;
  TimePoint m_Deadline;
  /// Longest time from the start of the transfer until the request is sent. A
  /// request that would be sent later isn't sent, because the time left in its
  /// deadline header would be outdated.
  Duration m_MaxSendDelay = std::chrono::milliseconds(50);
  /// If set, long answers are streamed; otherwise they are buffered completely.
  PipeFactory m_MakePipe;
  /// Maximum size of the body of an answer that is buffered. A transfer whose
  /// answer is larger ends as Broken.
  std::size_t m_MaxBodyBytes = std::size_t{16} << 20;
  /// Called on the loop's thread when a long answer starts to stream.
  std::function<void(HttpAnswer Head)> m_OnAnswerHead;
  /// Called exactly once, usually on the loop's thread; see
  /// TransferLoop::submit().
  std::function<void(TransferResult Result)> m_OnEnd;
};

} // namespace balsamwheel::http_client
