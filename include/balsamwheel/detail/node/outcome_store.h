// What became of non-idempotent requests that this daemon ran or refused.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/outcome.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/wire/request.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Orders the attempts of one request id; the higher one supersedes the lower.
struct Ballot {
  std::uint32_t m_Attempt = 1;
  /// Stream of the OutcomeQuery that cleared the attempt, 0 for the first.
  std::uint64_t m_Query = 0;

  auto operator<=>(const Ballot &) const = default;
};

enum class RecordState : std::uint8_t {
  /// Attempts below m_Ballot are refused; m_Ballot itself may run.
  Cleared,
  /// Accepted, no byte sent to the target.
  Pending,
  Running,
  Done,
  Unknown,
};

/// Who waits for the end of a request.
struct OutcomeWaiter {
  PeerAddress m_From;
  /// Of the forward or the query to reply to.
  std::uint64_t m_Stream = 0;
  /// Set for an OutcomeQuery that is answered again when nothing ran.
  bool m_Query = false;
  OutcomeQuery m_Asked;
};

struct OutcomeRecord {
  RecordState m_State = RecordState::Pending;
  Ballot m_Ballot;
  /// The sets of sessions that attempts were cleared by: 0 for none yet.
  std::uint64_t m_Asked = 0;
  /// Attempts were cleared by different sets, so one of them may have run where
  /// another did not ask.
  bool m_AskedDiffer = false;
  /// Epoch under which it was cleared or accepted.
  Epoch m_Epoch;
  TimePoint m_Created;
  Reason m_Reason = Reason::None;
  /// The answer of a Done request, if it was small enough to keep.
  bool m_HasAnswer = false;
  HttpAnswer m_Http;
  std::vector<OutcomeWaiter> m_Waiters;
};

/// Bounded by time and count.
///
/// Invariant: every evicted record was created at forgottenUpTo() or before.
/// Records that are Pending or Running are never evicted.
class OutcomeStore {
public:
  OutcomeStore(Duration Memory, std::size_t Limit)
      : m_Memory(Memory), m_Limit(Limit) {}

  /// Null when there is no record. Complexity: constant on average.
  OutcomeRecord *find(const ServiceName &Service, const RequestId &Id);
  OutcomeRecord &insert(const ServiceName &Service, const RequestId &Id,
                        TimePoint Now);
  void erase(const ServiceName &Service, const RequestId &Id);
  /// Tells that a record is neither Pending nor Running any more.
  void settled(const ServiceName &Service, const RequestId &Id, TimePoint Now);
  /// Evicts what is too old or too much.
  void expire(TimePoint Now);

  TimePoint forgottenUpTo() const { return m_ForgottenUpTo; }
  std::size_t size() const { return m_Records.size(); }

private:
  struct Settled {
    TimePoint m_At;
    std::string m_Key;
  };

  void evict(const Settled &Oldest);

  Duration m_Memory;
  std::size_t m_Limit;
  std::unordered_map<std::string, OutcomeRecord> m_Records;
  std::deque<Settled> m_Order;
  TimePoint m_ForgottenUpTo = TimePoint::min();
};

} // namespace balsamwheel
