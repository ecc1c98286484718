// How requests and answers are marked on the wire. The router decides; an
// adapter reads and writes the marks.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/keyspace/key_map.h"

#include "net/http_message.h"

#include <optional>
#include <string>

namespace balsamwheel {

/// What a caller's request says of itself.
struct RequestMarks {
  /// Empty when the caller gave none.
  std::string m_Id;
  /// Id of the request for which a target makes this one.
  std::optional<std::string> m_ParentId;
  /// How long the caller waits; none when it doesn't say.
  std::optional<Duration> m_DeadlineLeft;
  std::optional<KeyIndex> m_Key;
  std::string m_Host;
};

/// What the router tells a target beside the request.
struct TargetMarks {
  Duration m_DeadlineLeft{0};
  /// Any other target refuses the request.
  std::string m_TargetId;
};

/// What a target's answer says of the request.
enum class TargetVerdict : std::uint8_t {
  /// It ran; the answer is the target's.
  Ran,
  /// The target was full or too late, and didn't run it.
  Shed,
  /// The address belongs to another target, or the key to another owner.
  Misdirected,
  /// Not the bytes of a sound answer; the request may have run.
  Spoiled,
};

class ExchangeFormat {
public:
  virtual ~ExchangeFormat() = default;
  virtual RequestMarks read(const HttpRequest &Request) const = 0;
  /// Prepares a caller's request for a target of any instance.
  virtual void prepare(HttpRequest &Request,
                       const ServiceName &CallerService) const = 0;
  virtual void mark(HttpRequest &Request, const TargetMarks &Marks) const = 0;
  virtual TargetVerdict judge(const HttpAnswer &Answer) const = 0;
  /// Header that carries a request's id both ways.
  virtual const std::string &idHeader() const = 0;
  /// Answer of this router that the request hasn't run.
  virtual HttpAnswer notRun(Duration RetryAfter) const = 0;
};

} // namespace balsamwheel
