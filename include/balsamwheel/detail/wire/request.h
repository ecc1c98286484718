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

  bool operator==(const RequestMeta &) const = default;
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

  bool operator==(const HttpRequest &) const = default;
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

  bool operator==(const HttpAnswer &) const = default;
};

inline constexpr std::uint64_t InlineBodyLimit = 65536;

/// A request passed from its entrance to the daemon that should run it.
struct ForwardRequest {
  RequestMeta m_Meta;
  HttpRequest m_Http;
  /// Time left until the caller's deadline when the message was sent.
  Duration m_TimeLeft{0};
  /// Distinguishes forwards of the same request by the same entrance. The
  /// upper half names the run of the sender, the lower half counts up.
  std::uint64_t m_Stream = 0;
  /// The only session that may run it.
  SessionId m_To;
  /// Epoch under which the sender believes m_To owns the key.
  Epoch m_Epoch;
  /// Stream of the OutcomeQuery that cleared a retry; 0 for a first attempt.
  std::uint64_t m_Query = 0;

  bool operator==(const ForwardRequest &) const = default;
};

/// The receiver has the request; the answer follows.
struct ForwardReceipt {
  std::uint64_t m_Stream = 0;

  bool operator==(const ForwardReceipt &) const = default;
};

/// The result of a forward, or the answer to an OutcomeQuery.
struct ForwardReply {
  std::uint64_t m_Stream = 0;
  Outcome m_Outcome = Outcome::Unknown;
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
  /// Who the replier believes owns the key; 0 if it does not know.
  SessionId m_Owner;
  /// Epoch of m_Owner's assignment, as the replier knows it.
  Epoch m_Epoch;
  /// With NotRun to an OutcomeQuery: how long the replier has remembered every
  /// non-idempotent request it ran for this key.
  Duration m_MemoryAge{0};
  /// The live former owner of the key, 0 if none.
  SessionId m_Former;
  HttpAnswer m_Http;

  bool operator==(const ForwardReply &) const = default;
};

/// Asks what became of a request. When the receiver has not seen it, it
/// answers NotRun and refuses the request if it arrives later.
struct OutcomeQuery {
  std::uint64_t m_Stream = 0;
  RequestMeta m_Meta;
  SessionId m_To;
  /// The forward whose fate is asked. 0 asks for the request id as a whole, to
  /// clear a retry: earlier attempts are refused from then on.
  std::uint64_t m_Forward = 0;
  /// Stands for the set of sessions that are asked to clear this attempt; 0
  /// for a request with a key, whose owners are asked in turn.
  std::uint64_t m_Asked = 0;

  bool operator==(const OutcomeQuery &) const = default;
};

/// The entrance no longer wants the answer.
struct ForwardCancel {
  std::uint64_t m_Stream = 0;

  bool operator==(const ForwardCancel &) const = default;
};

/// Checks that a connection still carries traffic.
struct Probe {
  std::uint64_t m_Nonce = 0;

  bool operator==(const Probe &) const = default;
};

struct ProbeReply {
  std::uint64_t m_Nonce = 0;

  bool operator==(const ProbeReply &) const = default;
};

using RequestMessage =
    std::variant<ForwardRequest, ForwardReceipt, ForwardReply, OutcomeQuery,
                 ForwardCancel, Probe, ProbeReply>;

} // namespace balsamwheel
