// What callers send: streams of requests of one kind each.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Requests of one class of one service.
struct LoadStream {
  /// Shown in tables, e.g. "announcements/register".
  std::string m_Name;
  std::string m_Service;
  std::string m_Class;
  std::string m_Method = "GET";
  std::string m_Path;
  bool m_Keyed = true;
  bool m_Idempotent = true;
  std::uint32_t m_Keys = 1000;
  /// Exponent of the Zipf distribution over the keys; 0 for uniform.
  double m_Zipf = 0;
  /// Requests a second, on average.
  double m_Rate = 0;
  Duration m_Deadline = std::chrono::seconds(1);
  std::size_t m_BodySize = 0;
};

struct LoadPlan {
  std::vector<LoadStream> m_Streams;
  /// "host:port" of the entrances.
  std::vector<std::string> m_Entrances;
  std::uint64_t m_Seed = 1;
  /// Sends of one request, the first included.
  std::uint32_t m_MaxAttempts = 200;
  /// A caller gives up this long after the intended send.
  Duration m_GiveUpAfter = std::chrono::seconds(8);
  /// Times that a caller asks again about a non-idempotent request after an
  /// unknown outcome.
  std::uint32_t m_UnknownRetries = 2;
  /// Share of requests that go straight to the owner once it is known.
  double m_HintShare = 0.7;
  /// The entrances are targets: an answer with status 200 is done.
  bool m_Direct = false;
  /// Spins between sends for exact send times.
  bool m_BusyWait = false;
};

/// How one attempt ended for its caller.
enum class Answer : std::uint8_t {
  Done,
  NotRun,
  Unknown,
  Wait,
  /// No connection: nothing was sent.
  NoConnection,
  /// The connection broke, or no answer came in time.
  Broken,
  /// An answer without a known outcome.
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
  /// For Done: the body is whole and answers this request.
  bool m_BodyIntact = false;
};

/// A request and everything its caller was told.
struct RequestRecord {
  std::string m_Id;
  std::uint32_t m_Stream = 0;
  std::string m_Key;
  /// When the open loop meant to send it.
  TimePoint m_Intended;
  std::vector<Attempt> m_Attempts;

  /// Returns the final answer.
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
