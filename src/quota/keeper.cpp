// Token buckets, and the leases that fill them.
#include "balsamwheel/detail/quota/keeper.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace balsamwheel {

namespace {

constexpr double MicrosPerSecond = 1e6;

double part(std::uint32_t Held) {
  return static_cast<double>(Held) / QuotaUnits;
}

/// Tokens that a bucket may hold. Whoever holds more than half of the units, of
/// which there is one daemon at most, can always grant one.
double capacity(const Quota &Limit, std::uint32_t Held) {
  return std::max(Limit.m_Burst * part(Held),
                  Held > QuotaUnits / 2 ? 1.0 : 0.0);
}

Duration secondsToDuration(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * MicrosPerSecond));
}

} // namespace

void QuotaKeeper::advance(Group &Filled, TimePoint Now) {
  if (Now <= Filled.m_AdvancedAt)
    return;
  const double Seconds =
      static_cast<double>((Now - Filled.m_AdvancedAt).count()) /
      MicrosPerSecond;
  Filled.m_AdvancedAt = Now;
  const double Part = part(Filled.m_Held);
  for (auto &[Name, Each] : Filled.m_Buckets)
    Each.m_Tokens =
        std::min(capacity(Each.m_Limit, Filled.m_Held),
                 Each.m_Tokens + Each.m_Limit.m_Rate * Part * Seconds);
}

void QuotaKeeper::setHeld(Group &Changed, std::uint32_t Held, TimePoint Now) {
  if (Held == Changed.m_Held)
    return;
  advance(Changed, Now);
  Changed.m_Held = Held;
  for (auto &[Name, Each] : Changed.m_Buckets)
    Each.m_Tokens = std::min(Each.m_Tokens, capacity(Each.m_Limit, Held));
}

void QuotaKeeper::configure(const std::map<OrganisationName, Quota> &Quotas,
                            TimePoint Now) {
  lapse(Now);
  for (Group &Each : m_Groups) {
    advance(Each, Now);
    std::erase_if(Each.m_Buckets, [&](const auto &Known) {
      return !Quotas.contains(Known.first);
    });
  }
  for (const auto &[Name, Limit] : Quotas) {
    Group &In = groupOf(Name);
    Bucket &Known = In.m_Buckets[Name];
    Known.m_Limit = Limit;
    Known.m_Tokens = std::min(Known.m_Tokens, capacity(Limit, In.m_Held));
    Known.m_PromisedUntil = TimePoint();
  }
}

void QuotaKeeper::count(Lender &From, QuotaGroups Groups, std::uint32_t Units,
                        TimePoint Now) {
  const auto Change = [&](QuotaGroup Each, std::uint32_t Before,
                          std::uint32_t After) {
    Group &Changed = m_Groups[Each.value()];
    setHeld(Changed, Changed.m_Held - Before + After, Now);
  };
  From.m_Groups.forEach([&](QuotaGroup Each) {
    Change(Each, From.m_Units, Groups.contains(Each) ? Units : 0);
  });
  Groups.forEach([&](QuotaGroup Each) {
    if (!From.m_Groups.contains(Each))
      Change(Each, 0, Units);
  });
  From.m_Groups = Groups;
  From.m_Units = Units;
}

void QuotaKeeper::setOwn(QuotaGroups Groups, std::uint32_t Units,
                         TimePoint Now) {
  lapse(Now);
  if (!m_Ended)
    count(m_Own, Groups, Units, Now);
}

void QuotaKeeper::lapse(TimePoint Now) {
  if (Now < m_NextLapse)
    return;
  std::vector<Lender *> Lapsed;
  m_NextLapse = TimePoint::max();
  for (auto &[Id, Each] : m_Lenders) {
    if (Each.m_Groups.empty())
      m_NextLapse =
          std::min(m_NextLapse, Each.m_StampedAt + 2 * m_Options.m_Lease);
    else if (Each.m_Until <= Now)
      Lapsed.push_back(&Each);
    else
      m_NextLapse = std::min(m_NextLapse, Each.m_Until);
  }
  m_NextLapse = std::max(m_NextLapse, Now);
  std::sort(Lapsed.begin(), Lapsed.end(),
            [](const Lender *Left, const Lender *Right) {
              return Left->m_Until < Right->m_Until;
            });
  for (Lender *Each : Lapsed)
    count(*Each, QuotaGroups(), 0, Each->m_Until);
  // What echoes an earlier stamp of theirs is void.
  std::erase_if(m_Lenders, [&](const auto &Each) {
    return Each.second.m_Groups.empty() &&
           Now - Each.second.m_StampedAt >= 2 * m_Options.m_Lease;
  });
}

bool QuotaKeeper::isFresh(QuotaProcess Keeper, QuotaStampTime Stamp,
                          TimePoint Now) const {
  return Keeper == m_Process && Stamp.value() != 0 &&
         Now < TimePoint(Duration(Stamp.value())) + m_Options.m_Lease;
}

QuotaStamp QuotaKeeper::onLend(const InstanceName &From, const QuotaLend &Frame,
                               TimePoint Now) {
  lapse(Now);
  Lender &Known = m_Lenders[{From, Frame.m_Lender}];
  if (Frame.m_Sequence > Known.m_Sequence) {
    Known.m_Sequence = Frame.m_Sequence;
    const bool Counts = !m_Ended && !Frame.m_Groups.empty() &&
                        isFresh(Frame.m_Keeper, Frame.m_Stamp, Now);
    count(Known, Counts ? Frame.m_Groups : QuotaGroups(),
          Counts ? std::min(Frame.m_Units, QuotaUnits) : 0, Now);
    if (Counts) {
      Known.m_Until =
          TimePoint(Duration(Frame.m_Stamp.value())) + m_Options.m_Lease;
      m_NextLapse = std::min(m_NextLapse, Known.m_Until);
    }
  }
  Known.m_StampedAt = Now;
  m_NextLapse = std::min(m_NextLapse, Now + 2 * m_Options.m_Lease);
  return {.m_Keeper = m_Process,
          .m_Stamp = QuotaStampTime(Now.time_since_epoch().count()),
          .m_Lender = Frame.m_Lender,
          .m_Confirmed = Known.m_Sequence,
          .m_Ended = m_Ended};
}

std::optional<QuotaReply> QuotaKeeper::onAsk(const InstanceName &Asker,
                                             const QuotaAsk &Ask,
                                             TimePoint Now) {
  const auto Known = m_Lenders.find({Asker, Ask.m_Asker});
  if (Known == m_Lenders.end() || !isFresh(Ask.m_Keeper, Ask.m_Stamp, Now) ||
      Ask.m_Sequence <= Known->second.m_AskSequence)
    return std::nullopt;
  Known->second.m_AskSequence = Ask.m_Sequence;
  return take(Ask, Now);
}

QuotaReply QuotaKeeper::take(const QuotaAsk &Ask, TimePoint Now) {
  lapse(Now);
  QuotaReply Reply{.m_Keeper = m_Process,
                   .m_Asker = Ask.m_Asker,
                   .m_Sequence = Ask.m_Sequence,
                   .m_Organisation = Ask.m_Organisation,
                   .m_Wait = m_Options.m_UnavailableWait};
  Group &In = groupOf(Ask.m_Organisation);
  const auto Found = In.m_Buckets.find(Ask.m_Organisation);
  if (Found == In.m_Buckets.end() || In.m_Held == 0) {
    Reply.m_Unavailable = true;
    return Reply;
  }
  advance(In, Now);
  Bucket &From = Found->second;
  From.m_Tokens = std::min(capacity(From.m_Limit, In.m_Held),
                           From.m_Tokens + Ask.m_Returned);
  Reply.m_Granted = static_cast<std::uint32_t>(
      std::min(std::floor(From.m_Tokens), static_cast<double>(Ask.m_Count)));
  From.m_Tokens -= Reply.m_Granted;
  Reply.m_Wait = Duration::zero();
  if (Reply.m_Granted < Ask.m_Count)
    refuse(Reply, From, In.m_Held, Ask.m_Count - Reply.m_Granted, Now);
  return Reply;
}

void QuotaKeeper::refuse(QuotaReply &Reply, Bucket &From, std::uint32_t Held,
                         std::uint32_t Refused, TimePoint Now) const {
  const double Rate = From.m_Limit.m_Rate * part(Held);
  const Duration Spacing =
      std::min(secondsToDuration(1 / Rate), m_Options.m_MaxWait);
  const TimePoint Filled =
      Now + std::min(secondsToDuration((1 - From.m_Tokens) / Rate),
                     m_Options.m_MaxWait);
  const TimePoint Latest = Now + m_Options.m_MaxWait;
  const TimePoint First =
      std::min(std::max(Filled, From.m_PromisedUntil), Latest);
  From.m_PromisedUntil = std::min(First + Spacing * Refused, Latest);
  Reply.m_Wait = First - Now;
  Reply.m_Spacing = Spacing;
}

void QuotaKeeper::end(TimePoint Now) {
  lapse(Now);
  count(m_Own, QuotaGroups(), 0, Now);
  for (auto &[Id, Each] : m_Lenders)
    count(Each, QuotaGroups(), 0, Now);
  m_Ended = true;
}

std::uint32_t QuotaKeeper::held(QuotaGroup Group, TimePoint Now) {
  lapse(Now);
  return m_Groups[Group.value()].m_Held;
}

double QuotaKeeper::tokens(const OrganisationName &Name) const {
  const Group &In = m_Groups[quotaGroupOf(Name).value()];
  const auto Found = In.m_Buckets.find(Name);
  return Found == In.m_Buckets.end() ? 0 : Found->second.m_Tokens;
}

} // namespace balsamwheel
