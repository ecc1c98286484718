// The part of one daemon in the quotas over all daemons: joins shares, lender,
// keeper and asker.
#pragma once

#include "balsamwheel/detail/quota/asker.h"
#include "balsamwheel/detail/quota/keeper.h"
#include "balsamwheel/detail/quota/lender.h"
#include "balsamwheel/detail/quota/shares.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace balsamwheel {

struct QuotaMemberOptions {
  QuotaSharesOptions m_Shares;
  QuotaLenderOptions m_Lender;
  QuotaKeeperOptions m_Keeper;
  QuotaAskerOptions m_Asker;
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: this
/// daemon's own units are counted here only while the lender holds them, which
/// is checked before each grant.
class QuotaMember {
public:
  /// What is to be done after an event.
  struct Work {
    std::vector<QuotaLender::Outgoing> m_Lends;
    std::vector<QuotaAsker::Outgoing> m_Asks;
    std::vector<QuotaDecision> m_Decisions;
    /// This daemon's own questions to itself, with their answers.
    std::vector<std::pair<QuotaAsk, QuotaReply>> m_Own;
  };

  QuotaMember(const InstanceName &Self, QuotaProcess Process,
              const QuotaMemberOptions &Options, TimePoint Now)
      : m_Shares(Self, Options.m_Shares, Now),
        m_Lender(Self, Process, Options.m_Lender, Now),
        m_Keeper(Process, Options.m_Keeper), m_Asker(Process, Options.m_Asker) {
  }

  /// Sets the quotas in force.
  void configure(const std::map<OrganisationName, Quota> &Quotas,
                 TimePoint Now);
  /// Records that time has passed. To be called several times a second.
  /// \param Up peers that are connected.
  void update(const std::vector<InstanceName> &Up, TimePoint Now);
  /// Collects what is to be sent and which requests are decided. Called after
  /// each event.
  Work work(TimePoint Now);

  /// Handles the frames of peers; \p Now is read right before.
  QuotaStamp onLend(const InstanceName &From, const QuotaLend &Frame,
                    TimePoint Now);
  void onStamp(const InstanceName &From, const QuotaStamp &Frame,
               TimePoint Now) {
    m_Lender.onStamp(From, Frame, Now);
  }
  std::optional<QuotaReply> onAsk(const InstanceName &From,
                                  const QuotaAsk &Frame, TimePoint Now);
  std::vector<QuotaDecision> onReply(const InstanceName &From,
                                     const QuotaReply &Frame, TimePoint Now) {
    return m_Asker.onReply(From, Frame, Now);
  }
  /// Stops keeping: the process is about to end.
  void end(TimePoint Now) {
    m_Keeper.end(Now);
    m_Lender.endSelf();
  }

  QuotaShares &shares() { return m_Shares; }
  QuotaAsker &asker() { return m_Asker; }
  QuotaKeeper &keeper() { return m_Keeper; }
  const QuotaLender &lender() const { return m_Lender; }
  const QuotaShares &shares() const { return m_Shares; }

private:
  /// Makes the keeper count what the lender holds.
  void holdOwn(TimePoint Now);

  QuotaShares m_Shares;
  QuotaLender m_Lender;
  QuotaKeeper m_Keeper;
  QuotaAsker m_Asker;
  QuotaGroups m_Groups;
};

} // namespace balsamwheel
