// One HTTP exchange with a server, as the transfer loop carries it out.
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

/// Names a transfer for cancel(); chosen by the submitter, 0 for none.
using TransferId = StrongId<struct TransferIdTag, std::uint64_t>;

enum class TransferEnd : std::uint8_t {
  /// The whole answer came.
  Answered,
  /// No byte of the request left this process.
  NotSent,
  /// Bytes may have left, but no whole answer came.
  Broken,
  /// The deadline passed after bytes may have left.
  TimedOut,
  /// cancel() ended it after bytes may have left.
  Cancelled,
};

struct TransferResult {
  TransferEnd m_End = TransferEnd::NotSent;
  HttpAnswer m_Answer;
  /// From the hand-over to the loop until the end.
  Duration m_Latency{0};
};

/// Makes the pipe that carries the rest of a long answer.
using PipeFactory = std::function<runtime::BodyPipePtr(
    std::string_view Prefix, std::optional<std::uint64_t> Length)>;

struct Transfer {
  TransferId m_Id;
  std::string m_Method = "GET";
  std::string m_Url;
  /// "Name: value" lines.
  std::vector<std::string> m_Headers;
  /// Sent with the time left until the deadline in milliseconds; none if
  /// empty.
  std::string m_DeadlineHeader;
  /// The whole body, or its first part when m_Upload is set.
  std::string m_Body;
  runtime::BodyPipePtr m_Upload;
  std::uint64_t m_BodyLength = 0;
  TimePoint m_Deadline;
  /// The request is not sent when this much time passed since its time left
  /// was computed.
  Duration m_MaxSendDelay = std::chrono::milliseconds(50);
  /// Set to let long answers stream; else they are kept whole.
  PipeFactory m_MakePipe;
  /// Called on the loop's thread when a long answer begins.
  std::function<void(HttpAnswer Head)> m_OnAnswering;
  /// Called once on the loop's thread.
  std::function<void(TransferResult Result)> m_OnEnd;
};

} // namespace balsamwheel::http_client
