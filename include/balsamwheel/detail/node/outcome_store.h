// Stores the outcomes of non-idempotent requests that this daemon ran or
// refused.
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

/// Orders the attempts of one request id; a higher rank supersedes a lower one.
struct AttemptRank {
  std::uint32_t m_Attempt = 1;
  /// Stream of the OutcomeQuery that cleared the attempt, 0 for the first.
  std::uint64_t m_ClearingQuery = 0;

  auto operator<=>(const AttemptRank &) const = default;
};

enum class RecordState : std::uint8_t {
  /// Attempts with a rank below m_Rank are refused; the one with m_Rank may
  /// run.
  Cleared,
  /// Accepted, but no byte has been sent to the target.
  Pending,
  Running,
  Done,
  Unknown,
};

/// A forward or query that waits for the end of a request.
struct OutcomeWaiter {
  PeerAddress m_From;
  /// Stream of the forward or query to reply to.
  std::uint64_t m_Stream = 0;
  /// Set for an OutcomeQuery, which is evaluated again if the request did not
  /// run.
  bool m_IsQuery = false;
  /// The query itself if m_IsQuery is set.
  OutcomeQuery m_Message;
};

struct OutcomeRecord {
  RecordState m_State = RecordState::Pending;
  AttemptRank m_Rank;
  /// Digest of the set of sessions that the last clearing asked; 0 if there was
  /// none.
  std::uint64_t m_AskedSessionsDigest = 0;
  /// Clearings of this request asked different sets of sessions, so an attempt
  /// may have run at a session that another clearing did not ask.
  bool m_AskedSetsDiffer = false;
  /// Epoch under which the attempt was cleared or accepted.
  Epoch m_Epoch;
  TimePoint m_Created;
  Reason m_Reason = Reason::None;
  /// Whether m_Http holds the answer of a Done request; false for answers that
  /// were streamed.
  bool m_HasAnswer = false;
  HttpAnswer m_Http;
  std::vector<OutcomeWaiter> m_Waiters;
};

/// Records by service and request id, bounded by age and number.
///
/// Invariant: every evicted record was created at evictedUpTo() or before.
/// Records that are Pending or Running are never evicted.
class OutcomeStore {
public:
  /// \param Retention how long a record is kept after its request completed.
  /// \param Limit maximum number of completed records.
  OutcomeStore(Duration Retention, std::size_t Limit)
      : m_Retention(Retention), m_Limit(Limit) {}

  /// Returns null if there is no record. Complexity: constant on average.
  OutcomeRecord *find(const ServiceName &Service, const RequestId &Id);
  OutcomeRecord &insert(const ServiceName &Service, const RequestId &Id,
                        TimePoint Now);
  void erase(const ServiceName &Service, const RequestId &Id);
  /// Must be called when a record is no longer Pending or Running; starts its
  /// retention period.
  void markCompleted(const ServiceName &Service, const RequestId &Id,
                     TimePoint Now);
  /// Evicts completed records that exceed the retention period or the limit,
  /// oldest first.
  void expire(TimePoint Now);

  /// Latest creation time of all evicted records; TimePoint::min() if there are
  /// none.
  TimePoint evictedUpTo() const { return m_EvictedUpTo; }
  std::size_t size() const { return m_Records.size(); }

private:
  struct Completed {
    TimePoint m_At;
    std::string m_Key;
  };

  void evict(const Completed &Oldest);

  Duration m_Retention;
  std::size_t m_Limit;
  std::unordered_map<std::string, OutcomeRecord> m_Records;
  std::deque<Completed> m_EvictionQueue;
  TimePoint m_EvictedUpTo = TimePoint::min();
};

} // namespace balsamwheel
