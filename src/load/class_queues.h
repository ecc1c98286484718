// The waiting requests of one admission gate: one queue per class, ordered by
// deadline.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/manifest/model.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace balsamwheel {

/// Not thread-safe. Modifying operations are logarithmic in the queue length.
class ClassQueues {
public:
  /// Adds a request; does nothing if it is in a queue already.
  void push(RequestHandle Request, Urgency Class, TimePoint Deadline);
  /// Removes a request from its queue; returns false if it is in none.
  bool erase(RequestHandle Request);
  /// Removes the request of a class with the earliest deadline.
  std::optional<RequestHandle> popFirst(Urgency Class);
  /// Removes the first request of a class if its deadline is before \p Limit.
  std::optional<RequestHandle> popDueBefore(Urgency Class, TimePoint Limit);

  /// The earliest deadline over all classes; std::nullopt when nothing waits.
  std::optional<TimePoint> firstDeadline() const;
  std::size_t size() const { return m_Places.size(); }
  std::size_t size(Urgency Class) const { return queue(Class).size(); }

private:
  struct Entry {
    TimePoint m_Deadline;
    /// Order of arrival; decides between equal deadlines.
    std::uint64_t m_Sequence = 0;
    RequestHandle m_Request;

    auto operator<=>(const Entry &) const = default;
  };
  struct Place {
    Urgency m_Class = Urgency::Bulk;
    Entry m_Entry;
  };
  using Queue = std::set<Entry>;

  Queue &queue(Urgency Class);
  const Queue &queue(Urgency Class) const;
  std::optional<RequestHandle> takeFront(Queue &Waiting);

  std::array<Queue, UrgencyCount> m_Queues;
  // Holds exactly the requests that are in one of the queues.
  std::unordered_map<RequestHandle, Place> m_Places;
  std::uint64_t m_NextSequence = 0;
};

} // namespace balsamwheel
