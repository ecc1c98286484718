// Metadata that requests and answers carry on the wire. The router uses it; an
// adapter decodes and encodes it.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/keyspace/call_hold_ledger.h"
#include "balsamwheel/detail/routing/organisation_directory.h"

#include "net/http_message.h"

#include <optional>
#include <string>

namespace balsamwheel {

/// Metadata of a caller's request.
struct RequestMetadata {
  /// Empty when the caller gave none.
  std::string m_Id;
  /// Id of the request that a target was running when it sent this one.
  std::optional<std::string> m_ParentId;
  /// Time until the caller's deadline; none when the caller gave none.
  std::optional<Duration> m_DeadlineLeft;
  std::optional<KeyIndex> m_Key;
  std::string m_Host;
  /// Empty when the caller gave none. Never logged or forwarded.
  std::string m_ApiKey;
};

/// Metadata that the router adds to a request for a target.
struct TargetMetadata {
  Duration m_DeadlineLeft{0};
  /// Targets with another id refuse the request.
  TargetId m_TargetId;
};

/// What an answer of a target says about the request.
enum class TargetAnswerKind : std::uint8_t {
  /// The request ran; the answer is the target's.
  Ran,
  /// The target was overloaded or the request too late: it didn't run.
  Shed,
  /// The address belongs to another target, or the key to another owner: the
  /// request didn't run.
  Misdirected,
  /// The answer isn't valid; the request may have run.
  Invalid,
};

/// What a target says about itself in its answers.
struct TargetNotice {
  /// Requests per second that it takes from all instances together, for as long
  /// as its answers say so; none while it names no limit.
  std::optional<double> m_RateLimit;
  /// It is about to end and takes no more requests.
  bool m_Leaving = false;

  bool operator==(const TargetNotice &) const = default;
};

/// Answer of a target to a call that grants or releases keys.
struct HoldCallAnswer {
  HoldCallOutcome m_Outcome = HoldCallOutcome::Unknown;
  /// Of an applied release; empty when the target gave none.
  HandoverToken m_HandoverToken;
};

/// Why this router refuses a request that hasn't run.
enum class RefusalKind : std::uint8_t {
  /// It can't be served at the moment.
  Unavailable,
  /// Its organisation has used up its quota.
  OverQuota,
};

/// Decodes and encodes the metadata; implemented by an adapter.
class ExchangeFormat {
public:
  virtual ~ExchangeFormat() = default;
  virtual RequestMetadata read(const HttpRequest &Request) const = 0;
  /// Prepares a caller's request for forwarding to a target of any instance:
  /// removes the API key and names the caller's service and organisation.
  virtual void
  prepare(HttpRequest &Request, const ServiceName &CallerService,
          const std::optional<OrganisationName> &Organisation) const = 0;
  /// Sets the headers that are meant for one target.
  virtual void addTargetMetadata(HttpRequest &Request,
                                 const TargetMetadata &Metadata) const = 0;
  /// Determines from an answer whether the request ran.
  virtual TargetAnswerKind classify(const HttpAnswer &Answer) const = 0;
  virtual TargetNotice notice(const HttpAnswer &Answer) const = 0;
  /// Name of the header that carries the request id in requests and answers.
  virtual const std::string &idHeader() const = 0;
  /// Answer of this router that says the request hasn't run.
  virtual HttpAnswer notRunAnswer(RefusalKind Kind,
                                  Duration RetryAfter) const = 0;
  /// Encodes a call that grants keys to a target or releases them.
  /// \param Hold validity of a grant.
  virtual HttpRequest holdRequest(const HoldCall &Call,
                                  Duration Hold) const = 0;
  /// Decodes the answer to such a call.
  virtual HoldCallAnswer holdAnswer(HoldCallKind Kind,
                                    const HttpAnswer &Answer) const = 0;
};

} // namespace balsamwheel
