// Reads the head row, then the rows that are older than it says.
#include "balsamwheel/detail/coordination/head_poller.h"

#include <utility>

namespace balsamwheel {

namespace {

/// Rounds of reading before a poll counts as failed; the table may change
/// between two rounds.
constexpr int MostAttempts = 4;

} // namespace

void HeadPoller::readAll(TimePoint Now, Done WhenDone) {
  m_Waiting.push_back(std::move(WhenDone));
  m_Busy = true;
  TableRead Read;
  Read.m_Keys = {HeadRowKey, ConfigHeadRow};
  Read.m_Prefixes = {GroupRowPrefix, MapRowPrefix};
  m_Context->m_Table.read(
      std::move(Read), Now,
      [this, Now](const std::vector<Row> *Rows, TimePoint Later) {
        if (Rows)
          m_Context->merge(*Rows);
        finish(Rows != nullptr, Now, Later);
      });
}

void HeadPoller::poll(TimePoint Now, std::vector<RowKey> Also, Done WhenDone) {
  if (m_Busy) {
    m_Queued.push_back({std::move(Also), std::move(WhenDone)});
    return;
  }
  m_Waiting.push_back(std::move(WhenDone));
  m_Busy = true;
  TableRead Read;
  Read.m_Keys = std::move(Also);
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

void HeadPoller::readStale(TimePoint Sent, int Attempt, TimePoint Now) {
  TableRead Read;
  Read.m_Keys = m_Context->m_View.staleRows();
  if (Read.m_Keys.empty() || Attempt >= MostAttempts) {
    finish(Read.m_Keys.empty(), Sent, Now);
    return;
  }
  Read.m_Keys.push_back(HeadRowKey);
  // Deltas that were pruned meanwhile leave only the whole document.
  if (Attempt > 1)
    Read.m_Keys.push_back(ConfigHeadRow);
  m_Context->m_Table.read(
      std::move(Read), Now,
      [this, Sent, Attempt](const std::vector<Row> *Rows, TimePoint Later) {
        if (!Rows) {
          finish(false, Sent, Later);
          return;
        }
        m_Context->merge(*Rows);
        readStale(Sent, Attempt + 1, Later);
      });
}

void HeadPoller::finish(bool Ok, TimePoint Sent, TimePoint Now) {
  m_Busy = false;
  if (Ok && Sent > m_FreshAt)
    m_FreshAt = Sent;
  const std::vector<Done> Waiting = std::exchange(m_Waiting, {});
  std::vector<Queued> Next = std::exchange(m_Queued, {});
  for (Queued &Poll : Next)
    poll(Now, std::move(Poll.m_Also), std::move(Poll.m_Done));
  for (const Done &WhenDone : Waiting)
    WhenDone(Ok, Now);
}

} // namespace balsamwheel
