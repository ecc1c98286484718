// Brings the view up to the table: reads the head row, then what changed.
#pragma once

#include "balsamwheel/detail/coordination/context.h"

#include <functional>
#include <vector>

namespace balsamwheel {

class HeadPoller {
public:
  using Done = std::function<void(bool Ok, TimePoint Now)>;

  explicit HeadPoller(CoordinationContext &Context) : m_Context(&Context) {}

  /// Reads everything; for a daemon that knows nothing.
  void readAll(TimePoint Now, Done WhenDone);
  /// Reads the head row, \p Also and all that is older than the head says.
  /// Waits for a poll that is under way to end first.
  void poll(TimePoint Now, std::vector<RowKey> Also, Done WhenDone);
  /// When the view was last known to be up to date.
  TimePoint freshAt() const { return m_FreshAt; }
  /// A commit conditional on the head row was applied.
  void noteFresh(TimePoint Now) { m_FreshAt = Now; }
  bool isBusy() const { return m_Busy; }

private:
  struct Queued {
    std::vector<RowKey> m_Also;
    Done m_Done;
  };

  void readStale(TimePoint Sent, int Attempt, TimePoint Now);
  void finish(bool Ok, TimePoint Sent, TimePoint Now);

  CoordinationContext *m_Context;
  bool m_Busy = false;
  TimePoint m_FreshAt;
  std::vector<Done> m_Waiting;
  std::vector<Queued> m_Queued;
};

} // namespace balsamwheel
