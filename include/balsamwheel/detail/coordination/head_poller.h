// Brings the view up to date with the table: reads the head row, then the rows
// that changed.
#pragma once

#include "balsamwheel/detail/coordination/context.h"

#include <functional>
#include <vector>

namespace balsamwheel {

class HeadPoller {
public:
  /// \param Ok whether the view is up to date.
  using Done = std::function<void(bool Ok, TimePoint Now)>;

  explicit HeadPoller(CoordinationContext &Context) : m_Context(&Context) {}

  /// Reads all rows; for a daemon whose view is empty.
  void readAll(TimePoint Now, Done OnDone);
  /// Reads the head row, \p ExtraKeys and every row whose known counter is
  /// below the one in the head row. Queued while another poll is running.
  void poll(TimePoint Now, std::vector<RowKey> ExtraKeys, Done OnDone);
  /// The latest time at which the view is known to have been up to date.
  TimePoint upToDateAt() const { return m_UpToDateAt; }
  /// Records that a commit conditional on the head row was applied.
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
