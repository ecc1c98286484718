// Reads the head row, then the rows that are older than its counters.
#include "balsamwheel/detail/coordination/head_poller.h"

#include <utility>

namespace balsamwheel {

namespace {

/// A poll fails if the view is not up to date after this many reads; the table
/// may change between two of them.
constexpr int MaxReadRounds = 4;

} // namespace

void HeadPoller::readAll(TimePoint Now, Done OnDone) {
  m_Callbacks.push_back(std::move(OnDone));
  m_Busy = true;
  TableRead Read;
  Read.m_Keys = {HeadRowKey, ConfigHeadRowKey};
  Read.m_Prefixes = {GroupRowPrefix, MapRowPrefix};
  m_Context->m_Table.read(
      std::move(Read), Now,
      [this, Now](const std::vector<Row> *Rows, TimePoint Later) {
        if (Rows)
          m_Context->merge(*Rows);
        finish(Rows != nullptr, Now, Later);
      });
}

void HeadPoller::poll(TimePoint Now, std::vector<RowKey> ExtraKeys,
                      Done OnDone) {
  if (m_Busy) {
    m_Queued.push_back({std::move(ExtraKeys), std::move(OnDone)});
    return;
  }
  m_Callbacks.push_back(std::move(OnDone));
  m_Busy = true;
  TableRead Read;
  Read.m_Keys = std::move(ExtraKeys);
  Read.m_Keys.push_back(HeadRowKey);
  m_Context->m_Table.read(
      std::move(Read), Now,
      [this, Now](const std::vector<Row> *Rows, TimePoint Later) {
        if (!Rows) {
          finish(false, Now, Later);
          return;
        }
        m_Context->merge(*Rows);
        readStale(Now, 1, Later);
      });
}

void HeadPoller::readStale(TimePoint SentAt, int Round, TimePoint Now) {
  TableRead Read;
  Read.m_Keys = m_Context->m_View.staleRows();
  if (Read.m_Keys.empty() || Round >= MaxReadRounds) {
    finish(Read.m_Keys.empty(), SentAt, Now);
    return;
  }
  Read.m_Keys.push_back(HeadRowKey);
  // If deltas were pruned in the meantime, only the complete document is left.
  if (Round > 1)
    Read.m_Keys.push_back(ConfigHeadRowKey);
  m_Context->m_Table.read(
      std::move(Read), Now,
      [this, SentAt, Round](const std::vector<Row> *Rows, TimePoint Later) {
        if (!Rows) {
          finish(false, SentAt, Later);
          return;
        }
        m_Context->merge(*Rows);
        readStale(SentAt, Round + 1, Later);
      });
}

void HeadPoller::finish(bool Ok, TimePoint SentAt, TimePoint Now) {
  m_Busy = false;
  if (Ok && SentAt > m_UpToDateAt)
    m_UpToDateAt = SentAt;
  const std::vector<Done> Callbacks = std::exchange(m_Callbacks, {});
  std::vector<QueuedPoll> QueuedPolls = std::exchange(m_Queued, {});
  for (QueuedPoll &Poll : QueuedPolls)
    poll(Now, std::move(Poll.m_ExtraKeys), std::move(Poll.m_Done));
  for (const Done &OnDone : Callbacks)
    OnDone(Ok, Now);
}

} // namespace balsamwheel
