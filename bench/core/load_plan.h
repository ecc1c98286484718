// What callers send, as streams of similar requests, and the record of how each
// request went.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Requests to one service in one class.
struct LoadStream {
  /// Name in reports, e.g. "announcements/register".
  std::string m_Name;
  std::string m_Service;
  std::string m_Class;
  std::string m_Method = "GET";
  std::string m_Path;
  bool m_Keyed = true;
  bool m_Idempotent = true;
  /// Number of different keys.
  std::uint32_t m_Keys = 1000;
  /// Exponent of the Zipf distribution over the keys; 0 for uniform.
  double m_Zipf = 0;
  /// Mean number of requests per second.
  double m_Rate = 0;
  Duration m_Deadline = std::chrono::seconds(1);
  /// Size of the request body in bytes.
  std::size_t m_BodySize = 0;
};

struct LoadPlan {
  std::vector<LoadStream> m_Streams;
  /// "host:port" of the entrances.
  std::vector<std::string> m_Entrances;
  std::uint64_t m_Seed = 1;
  /// Maximum number of attempts of one request, including the first.
  std::uint32_t m_MaxAttempts = 200;
  /// A caller makes no further attempt this long after the intended send time.
  Duration m_GiveUpAfter = std::chrono::seconds(8);
  /// Maximum number of attempts with an unknown outcome after which the caller
  /// still retries a non-idempotent request.
  std::uint32_t m_UnknownRetries = 2;
  /// Share of the requests to keys with a known owner whose first attempt goes
  /// to the entrance of the owner. All other attempts go to a random entrance,
  /// preferably one without a recent failure.
  double m_HintShare = 0.7;
  /// The entrances are targets, and an answer with status 200 counts as done.
  bool m_Direct = false;
  /// Busy-waits before the next send instead of sleeping, for exact send times.
  bool m_BusyWait = false;
};

/// How one attempt ended, as seen by its caller.
enum class Answer : std::uint8_t {
  // The outcomes that a daemon answers; see balsamwheel::Outcome.
  Done,
  NotRun,
  Unknown,
  Wait,
  /// The connection could not be opened, and nothing was sent.
  NoConnection,
  /// The connection broke, or no answer arrived in time.
  Broken,
  /// The answer carries no outcome that the caller knows.
  Malformed,
};

inline constexpr std::size_t AnswerCount = 7;

const char *toString(Answer Value);

struct Attempt {
  TimePoint m_Sent;
  TimePoint m_End;
  Answer m_Answer = Answer::Broken;
  std::uint32_t m_Entrance = 0;
  std::uint16_t m_Status = 0;
  std::string m_Reason;
  /// For Done: the body is complete and belongs to this request.
  bool m_BodyIntact = false;
};

/// A request and all attempts of its caller.
struct RequestRecord {
  std::string m_Id;
  std::uint32_t m_Stream = 0;
  std::string m_Key;
  /// Scheduled time of the first attempt.
  TimePoint m_Intended;
  std::vector<Attempt> m_Attempts;

  /// Returns the answer to the last attempt.
  Answer final() const {
    return m_Attempts.empty() ? Answer::Broken : m_Attempts.back().m_Answer;
  }
  /// Returns the time from the intended send to the final answer.
  Duration latency() const {
    return m_Attempts.empty() ? Duration::zero()
                              : m_Attempts.back().m_End - m_Intended;
  }
};

} // namespace balsamwheel::bench
