// Choice of keepers, and leases of units to them.
#include "balsamwheel/detail/quota/lender.h"

#include <algorithm>

namespace balsamwheel {

bool QuotaLender::isLost(const InstanceName &Name, TimePoint Now) const {
  const auto Found = m_Contacts.find(Name);
  return Found != m_Contacts.end() && Now < Found->second.m_LostUntil;
}

bool QuotaLender::hasAnswered(const InstanceName &Name, TimePoint Now) const {
  if (Name == m_Self)
    return true;
  const auto Found = m_Contacts.find(Name);
  return Found != m_Contacts.end() && Found->second.m_Process.value() != 0 &&
         Now - Found->second.m_StampAt < m_Options.m_StampLifetime;
}

void QuotaLender::update(const std::vector<InstanceName> &Up, TimePoint Now) {
  // After a suspension, answers of the meantime haven't been read yet.
  if (Now - m_UpdatedAt > m_Options.m_AnswerTimeout / 2)
    for (auto &[Name, Each] : m_Contacts)
      if (Each.m_UnansweredSince)
        Each.m_UnansweredSince = Now;
  m_UpdatedAt = Now;
  noteUp(Up, Now);
  noteSilent(Now);
  for (auto &[Name, Each] : m_Contacts)
    Each.m_Wanted = false;
  for (std::uint32_t Index = 0; Index < QuotaGroupCount; ++Index) {
    const QuotaGroup Group(Index);
    if (m_Groups.contains(Group))
      choose(Group, Now);
    else
      m_Places[Index].m_Keeper = InstanceName();
  }
}

void QuotaLender::noteUp(const std::vector<InstanceName> &Up, TimePoint Now) {
  std::map<InstanceName, TimePoint> Since;
  for (const InstanceName &Name : Up) {
    const auto Known = m_UpSince.find(Name);
    Since.emplace(Name, Known == m_UpSince.end() ? Now : Known->second);
  }
  m_UpSince = std::move(Since);
}

void QuotaLender::noteSilent(TimePoint Now) {
  for (auto &[Name, Each] : m_Contacts) {
    if (!Each.m_UnansweredSince ||
        Now - *Each.m_UnansweredSince < m_Options.m_AnswerTimeout)
      continue;
    markLost(Name, Each, Now);
  }
}

void QuotaLender::markLost(const InstanceName &Name, Contact &Lost,
                           TimePoint Now) {
  Lost.m_UnansweredSince.reset();
  Lost.m_LostUntil = Now + m_Options.m_LostTime;
  if (const auto Known = m_UpSince.find(Name); Known != m_UpSince.end())
    Known->second = Lost.m_LostUntil;
}

InstanceName QuotaLender::best(QuotaGroup Group, TimePoint UpBefore,
                               TimePoint Now) const {
  InstanceName Best = m_Self;
  bool Any = !m_SelfEnded;
  for (const auto &[Name, Since] : m_UpSince)
    if (Since <= UpBefore && !isLost(Name, Now) &&
        (!Any || score(Name, Group) > score(Best, Group))) {
      Best = Name;
      Any = true;
    }
  return Best;
}

void QuotaLender::choose(QuotaGroup Group, TimePoint Now) {
  Place &Where = m_Places[Group.value()];
  const bool Kept =
      !Where.m_Keeper.value().empty() && isAvailable(Where.m_Keeper, Now);
  if (!Kept || !mayUse(Now)) {
    // A lost peer's Since lies in the future until it may be chosen again.
    Where.m_Keeper = best(Group, Now, Now);
  } else {
    const InstanceName Better = best(Group, Now - m_Options.m_BetterUp, Now);
    if (score(Better, Group) > score(Where.m_Keeper, Group)) {
      if (hasAnswered(Better, Now))
        Where.m_Keeper = Better;
      else
        m_Contacts[Better].m_Wanted = true;
    }
  }
  if (Where.m_Keeper != m_Self)
    m_Contacts[Where.m_Keeper].m_Wanted = true;
}

bool QuotaLender::isFree(const Place &Where, TimePoint Now) const {
  if (!Where.m_Loan || Now >= Where.m_Loan->m_Until)
    return true;
  const auto Found = m_Contacts.find(Where.m_Loan->m_Keeper);
  return Found != m_Contacts.end() &&
         (Found->second.m_Process != Where.m_Loan->m_Process ||
          Found->second.m_Confirmed > Where.m_Loan->m_Sequence);
}

QuotaGroups QuotaLender::lendable(const InstanceName &Keeper,
                                  TimePoint Now) const {
  QuotaGroups Result;
  if (!mayUse(Now) || m_Units == 0 || !hasAnswered(Keeper, Now))
    return Result;
  const QuotaProcess Process = m_Contacts.at(Keeper).m_Process;
  m_Groups.forEach([&](QuotaGroup Group) {
    const Place &Where = m_Places[Group.value()];
    const bool There = Where.m_Loan && Where.m_Loan->m_Keeper == Keeper &&
                       Where.m_Loan->m_Process == Process;
    if (Where.m_Keeper == Keeper && (There || isFree(Where, Now)))
      Result.add(Group);
  });
  return Result;
}

QuotaLend QuotaLender::makeFrame(const InstanceName &Keeper, Contact &To,
                                 TimePoint Now) {
  m_LastSequence = QuotaSequence(m_LastSequence.value() + 1);
  const QuotaLend Frame{.m_Lender = m_Process,
                        .m_Sequence = m_LastSequence,
                        .m_Keeper = To.m_Process,
                        .m_Stamp = To.m_Stamp,
                        .m_Groups = lendable(Keeper, Now),
                        .m_Units = m_Units};
  Frame.m_Groups.forEach([&](QuotaGroup Group) {
    std::optional<Loan> &Lent = m_Places[Group.value()].m_Loan;
    TimePoint Until = To.m_StampAt + m_Options.m_Release;
    if (Lent && Lent->m_Keeper == Keeper && Lent->m_Process == To.m_Process)
      Until = std::max(Until, Lent->m_Until);
    Lent = Loan{.m_Keeper = Keeper,
                .m_Process = To.m_Process,
                .m_Sequence = m_LastSequence,
                .m_Until = Until};
  });
  if (!Frame.m_Groups.empty())
    To.m_LentSequence = m_LastSequence;
  To.m_SentAt = Now;
  To.m_SentGroups = Frame.m_Groups;
  To.m_SentUnits = Frame.m_Units;
  if (!To.m_UnansweredSince)
    To.m_UnansweredSince = Now;
  return Frame;
}

std::vector<QuotaLender::Outgoing> QuotaLender::due(TimePoint Now) {
  std::vector<Outgoing> Result;
  for (auto &[Name, Each] : m_Contacts) {
    const bool Withdrawing = !Each.m_SentGroups.empty();
    if ((!Each.m_Wanted && !Withdrawing) || !isUp(Name)) {
      Each.m_UnansweredSince.reset();
      Each.m_SentGroups = QuotaGroups();
      continue;
    }
    const bool Changed =
        lendable(Name, Now) != Each.m_SentGroups ||
        (!Each.m_SentGroups.empty() && m_Units != Each.m_SentUnits);
    if (Changed || Now - Each.m_SentAt >= m_Options.m_RenewInterval)
      Result.push_back(
          {.m_Keeper = Name, .m_Frame = makeFrame(Name, Each, Now)});
  }
  return Result;
}

void QuotaLender::onStamp(const InstanceName &Keeper, const QuotaStamp &Stamp,
                          TimePoint Now) {
  const auto Found = m_Contacts.find(Keeper);
  if (Found == m_Contacts.end())
    return;
  Contact &From = Found->second;
  if (Stamp.m_Lender != m_Process)
    return;
  if (Stamp.m_Ended) {
    From.m_Ended.insert(Stamp.m_Keeper);
    if (From.m_Process == Stamp.m_Keeper)
      From.m_Process = QuotaProcess();
    return markLost(Keeper, From, Now);
  }
  if (From.m_Ended.contains(Stamp.m_Keeper) ||
      Stamp.m_Confirmed <= From.m_Confirmed)
    return;
  if (From.m_Process != Stamp.m_Keeper) {
    // A process that has ended before can't have got what was lent since.
    if (Stamp.m_Confirmed < From.m_LentSequence)
      return;
    if (From.m_Process.value() != 0)
      From.m_Ended.insert(From.m_Process);
    From.m_Process = Stamp.m_Keeper;
    From.m_SentGroups = QuotaGroups();
  }
  From.m_Confirmed = Stamp.m_Confirmed;
  From.m_Stamp = Stamp.m_Stamp;
  From.m_StampAt = Now;
  From.m_UnansweredSince.reset();
}

QuotaGroups QuotaLender::ownGroups(TimePoint Now) const {
  QuotaGroups Result;
  if (!mayUse(Now) || m_Units == 0)
    return Result;
  m_Groups.forEach([&](QuotaGroup Group) {
    const Place &Where = m_Places[Group.value()];
    if (Where.m_Keeper == m_Self && isFree(Where, Now))
      Result.add(Group);
  });
  return Result;
}

std::optional<QuotaKeeperRef> QuotaLender::keeperOf(QuotaGroup Group,
                                                    TimePoint Now) const {
  const InstanceName &Name = chosen(Group);
  if (Name.value().empty() || !hasAnswered(Name, Now))
    return std::nullopt;
  if (Name == m_Self)
    return QuotaKeeperRef{
        .m_Instance = Name, .m_Process = {}, .m_Stamp = {}, .m_Self = true};
  const Contact &Known = m_Contacts.at(Name);
  return QuotaKeeperRef{.m_Instance = Name,
                        .m_Process = Known.m_Process,
                        .m_Stamp = Known.m_Stamp};
}

} // namespace balsamwheel
