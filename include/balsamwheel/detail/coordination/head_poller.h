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
  void readAll(TimePoint Now, Done OnDone);
  /// Reads the head row, \p Also and all that is older than the head says.
  /// Waits for a poll that is under way to end first.
  void poll(TimePoint Now, std::vector<RowKey> ExtraKeys, Done OnDone);
  /// When the view was last known to be up to date.
  TimePoint upToDateAt() const { return m_UpToDateAt; }
  /// A commit conditional on the head row was applied.
  void markUpToDate(TimePoint Now) { m_UpToDateAt = Now; }
  bool isBusy() const { return m_Busy; }

private:
  struct QueuedPoll {
    std::vector<RowKey> m_ExtraKeys;
    Done m_Done;
  };

  void readStale(TimePoint SentAt, int Round, TimePoint Now);
  void finish(bool Ok, TimePoint SentAt, TimePoint Now);

  CoordinationContext *m_Context;
  bool m_Busy = false;
  TimePoint m_UpToDateAt;
  std::vector<Done> m_Callbacks;
  std::vector<QueuedPoll> m_Queued;
};

} // namespace balsamwheel
