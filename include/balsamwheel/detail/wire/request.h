// Messages between daemons that carry callers' requests.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace balsamwheel {

/// The parts of a request that the state machines decide on.
struct RequestMeta {
  RequestId m_Id;
  ServiceName m_Service;
  ClassName m_Class;
  /// Empty for a service that is not divided by key.
  std::string m_Key;
  bool m_Idempotent = true;
  /// 1 for the first time the caller sends this id.
  std::uint32_t m_Attempt = 1;
  /// Time since the caller first sent this id, as the caller states it; 0 on
  /// the first attempt.
  Duration m_FirstAttemptAge{0};
};

/// HTTP of a request on its way to a target; opaque to the state machines.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// The body up to InlineBodyLimit; a longer one follows in chunks.
  std::string m_Body;
  std::uint64_t m_BodyLength = 0;
  /// Names the rest of a longer body at the daemon that sends it; 0 if none.
  std::uint64_t m_BodyStream = 0;
};

/// HTTP of an answer; opaque to the state machines.
struct HttpAnswer {
  std::uint16_t m_Status = 0;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// The body up to InlineBodyLimit; a longer one follows in chunks.
  std::string m_Body;
  std::uint64_t m_BodyLength = 0;
  /// XXH3 of the whole body, set when the body is inline.
  std::uint64_t m_BodyHash = 0;
  /// Names the rest of a longer body at the daemon that sends it; 0 if none.
  std::uint64_t m_BodyStream = 0;
};

inline constexpr std::uint64_t InlineBodyLimit = 64UL * 1024;

/// A request passed from its entrance to the daemon that should run it.
struct ForwardRequest {
  RequestMeta m_Meta;
  HttpRequest m_Http;
  /// Time left until the caller's deadline when the message was sent.
  Duration m_TimeLeft{0};
  /// Distinguishes forwards of the same request by the same entrance.
  std::uint64_t m_Stream = 0;
};

/// The receiver has the request; the answer follows.
struct ForwardReceipt {
  std::uint64_t m_Stream = 0;
};

/// The result of a forward, or the answer to an OutcomeQuery.
struct ForwardReply {
  std::uint64_t m_Stream = 0;
  Outcome m_Outcome = Outcome::Unknown;
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
  /// Who the replier believes owns the key; 0 if it does not know.
  SessionId m_Owner;
  HttpAnswer m_Http;
};

/// Asks what became of a request. When the receiver has not seen it, it
/// answers NotRun and refuses the request if it arrives later.
struct OutcomeQuery {
  std::uint64_t m_Stream = 0;
  RequestMeta m_Meta;
};

/// The entrance no longer wants the answer.
struct ForwardCancel {
  std::uint64_t m_Stream = 0;
};

/// Checks that a connection still carries traffic.
struct Probe {
  std::uint64_t m_Nonce = 0;
};

struct ProbeReply {
  std::uint64_t m_Nonce = 0;
};

using RequestMessage =
    std::variant<ForwardRequest, ForwardReceipt, ForwardReply, OutcomeQuery,
                 ForwardCancel, Probe, ProbeReply>;

} // namespace balsamwheel
