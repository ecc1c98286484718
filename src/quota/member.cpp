// Order of the steps between shares, lender, keeper and asker.
#include "balsamwheel/detail/quota/member.h"

namespace balsamwheel {

void QuotaMember::configure(const std::map<OrganisationName, Quota> &Quotas,
                            TimePoint Now) {
  m_Groups = QuotaGroups();
  for (const auto &[Name, Limit] : Quotas)
    m_Groups.add(quotaGroupOf(Name));
  m_Keeper.configure(Quotas, Now);
  holdOwn(Now);
}

void QuotaMember::holdOwn(TimePoint Now) {
  m_Lender.setUnits(m_Shares.units(Now), m_Groups);
  m_Keeper.setOwn(m_Lender.ownGroups(Now), m_Lender.units(), Now);
}

void QuotaMember::update(const std::vector<InstanceName> &Up, TimePoint Now) {
  m_Shares.update(Now);
  m_Lender.setUnits(m_Shares.units(Now), m_Groups);
  m_Lender.update(Up, Now);
  holdOwn(Now);
}

QuotaMember::Work QuotaMember::work(TimePoint Now) {
  // Units that are lent below must not be counted here any more.
  holdOwn(Now);
  Work Result;
  Result.m_Lends = m_Lender.due(Now);
  Result.m_Decisions = m_Asker.expire(Now);
  const auto KeeperOf = [&](QuotaGroup Group) {
    return m_Lender.keeperOf(Group, Now);
  };
  for (QuotaAsker::Outgoing &Each : m_Asker.due(KeeperOf, Now)) {
    if (!Each.m_Keeper.m_Self) {
      Result.m_Asks.push_back(std::move(Each));
      continue;
    }
    const QuotaReply Reply = m_Keeper.take(Each.m_Frame, Now);
    const auto Decided = m_Asker.onReply(Each.m_Keeper.m_Instance, Reply, Now);
    Result.m_Own.emplace_back(std::move(Each.m_Frame), Reply);
    Result.m_Decisions.insert(Result.m_Decisions.end(), Decided.begin(),
                              Decided.end());
  }
  return Result;
}

QuotaStamp QuotaMember::onLend(const InstanceName &From, const QuotaLend &Frame,
                               TimePoint Now) {
  return m_Keeper.onLend(From, Frame, Now);
}

std::optional<QuotaReply> QuotaMember::onAsk(const InstanceName &From,
                                             const QuotaAsk &Frame,
                                             TimePoint Now) {
  holdOwn(Now);
  return m_Keeper.onAsk(From, Frame, Now);
}

} // namespace balsamwheel
