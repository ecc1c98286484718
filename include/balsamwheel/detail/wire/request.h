// Messages between daemons that forward callers' requests.
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

/// The parts of a request on which the state machines base their decisions.
struct RequestMeta {
  RequestId m_Id;
  ServiceName m_Service;
  ClassName m_Class;
  /// Empty for a service that is not divided by key.
  std::string m_Key;
  bool m_Idempotent = true;
  /// 1 when the caller sends this id for the first time.
  std::uint32_t m_Attempt = 1;
  /// Time since the caller first sent this id, as stated by the caller; 0 for
  /// the first attempt.
  Duration m_FirstAttemptAge{0};

  bool operator==(const RequestMeta &) const = default;
};

/// HTTP part of a request to a target; opaque to the state machines.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// The body up to InlineBodyLimit; a longer one follows in chunks.
  std::string m_Body;
  std::uint64_t m_BodyLength = 0;
  /// Stream id of the rest of a longer body, at the daemon that sends this
  /// message; 0 if none.
  std::uint64_t m_BodyStream = 0;

  bool operator==(const HttpRequest &) const = default;
};

/// HTTP part of an answer; opaque to the state machines.
struct HttpAnswer {
  std::uint16_t m_Status = 0;
  std::vector<std::pair<std::string, std::string>> m_Headers;
  /// The body up to InlineBodyLimit; a longer one follows in chunks.
  std::string m_Body;
  std::uint64_t m_BodyLength = 0;
  /// XXH3 of the whole body; set only when the body is inline.
  std::uint64_t m_BodyHash = 0;
  /// Stream id of the rest of a longer body, at the daemon that sends this
  /// message; 0 if none.
  std::uint64_t m_BodyStream = 0;

  bool operator==(const HttpAnswer &) const = default;
};

/// Longest part of a body, in bytes, that is sent within a message.
inline constexpr std::uint64_t InlineBodyLimit = 65536;

/// A request sent by its entrance to the daemon that should run it.
struct ForwardRequest {
  RequestMeta m_Meta;
  HttpRequest m_Http;
  /// Time left until the caller's deadline when the message was sent.
  Duration m_TimeLeft{0};
  /// Distinguishes forwards of the same request by the same entrance. The
  /// upper 32 bits identify the run of the sender, the lower 32 bits count up.
  std::uint64_t m_Stream = 0;
  /// The only session that may run the request.
  SessionId m_To;
  /// Epoch under which the sender believes m_To owns the key.
  Epoch m_Epoch;
  /// Stream of the OutcomeQuery that cleared this attempt; 0 for a first
  /// attempt.
  std::uint64_t m_ClearingQuery = 0;

  bool operator==(const ForwardRequest &) const = default;
};

/// Confirms receipt of a ForwardRequest or OutcomeQuery; the reply follows
/// separately.
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
  /// The owner of the key as far as the replier knows; 0 if unknown.
  SessionId m_Owner;
  /// Epoch of m_Owner's assignment as far as the replier knows.
  Epoch m_Epoch;
  /// In a NotRun reply to an OutcomeQuery: the period before the reply for
  /// which the replier still remembers every non-idempotent request that it ran
  /// for this key.
  Duration m_MemoryAge{0};
  /// The former owner of the key if its session is still live, otherwise 0.
  SessionId m_FormerOwner;
  HttpAnswer m_Http;

  bool operator==(const ForwardReply &) const = default;
};

/// Asks for the outcome of a request. A receiver that has not seen the request
/// replies NotRun, and refuses the request if it arrives later.
struct OutcomeQuery {
  std::uint64_t m_Stream = 0;
  RequestMeta m_Meta;
  SessionId m_To;
  /// Stream of the forward whose outcome is asked for. 0 asks about the request
  /// id as a whole in order to clear a retry: once the receiver has replied
  /// NotRun, it refuses all earlier attempts.
  std::uint64_t m_ForwardStream = 0;
  /// Digest of the set of sessions that are asked to clear this attempt; 0 for
  /// a request with a key, where the owner and then the former owner are
  /// asked.
  std::uint64_t m_AskedSessionsDigest = 0;

  bool operator==(const OutcomeQuery &) const = default;
};

/// The entrance no longer needs the answer.
struct ForwardCancel {
  std::uint64_t m_Stream = 0;

  bool operator==(const ForwardCancel &) const = default;
};

/// Checks that a connection still delivers messages in both directions.
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
