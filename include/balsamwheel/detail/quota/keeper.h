// Creates the tokens of organisations for the units that this daemon holds, its
// own and lent ones.
//
// Load pattern: an organisation asks for more than its quota, at many entrances
// at once, while the daemons whose units are held here come and go. What one
// entrance takes is missing at the others, and the refused come back when there
// are tokens, not all at once.
//
// The bucket of an organisation is filled at the rate of its quota times the
// part of all units held, up to the burst times this part. As all daemons
// together hold each unit at most once, in any time they fill at most rate x
// time, and at its start have at most the burst (or one token, if it is less).
#pragma once

#include "balsamwheel/detail/quota/frames.h"

#include <array>
#include <map>
#include <optional>
#include <utility>

namespace balsamwheel {

struct QuotaKeeperOptions {
  /// How long after the stamp that a lender echoes its units count.
  Duration m_Lease = std::chrono::seconds(2);
  /// Wait of a refusal that isn't due to the quota.
  Duration m_UnavailableWait = std::chrono::milliseconds(200);
  /// Longest wait of a refusal.
  Duration m_MaxWait = std::chrono::seconds(4);
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: between two
/// moments it grants at most the tokens it had, those filled for the units held
/// meanwhile, and those returned.
class QuotaKeeper {
public:
  QuotaKeeper(QuotaProcess Process, QuotaKeeperOptions Options)
      : m_Process(Process), m_Options(Options) {}

  /// Sets the limits that apply from now on. Complexity: linear in the
  /// organisations.
  void configure(const std::map<OrganisationName, Quota> &Quotas,
                 TimePoint Now);
  /// Sets for which groups this daemon's own units count.
  void setOwn(QuotaGroups Groups, std::uint32_t Units, TimePoint Now);
  /// Applies a lender's frame and returns the answer.
  /// \param Now the present, not an earlier time: a stamp is made of it.
  /// Complexity: linear in the groups that change.
  QuotaStamp onLend(const InstanceName &Lender, const QuotaLend &Frame,
                    TimePoint Now);
  /// Grants tokens to another daemon.
  /// \param Now the present, read right before: leases may just have ended.
  /// \returns none for a frame that is late, doubled or for another process.
  std::optional<QuotaReply> onAsk(const InstanceName &Asker,
                                  const QuotaAsk &Ask, TimePoint Now);
  /// Grants tokens to this daemon; \p Now as for onAsk().
  QuotaReply take(const QuotaAsk &Ask, TimePoint Now);
  /// Gives up all units for good. The answers to lenders say so.
  void end(TimePoint Now);

  QuotaProcess process() const { return m_Process; }
  /// Units held for a group at \p Now.
  std::uint32_t held(QuotaGroup Group, TimePoint Now);
  /// Tokens that an organisation's bucket had after the last call for it; 0
  /// without one.
  double tokens(const OrganisationName &Name) const;
  std::size_t lenders() const { return m_Lenders.size(); }

private:
  struct Bucket {
    Quota m_Limit;
    double m_Tokens = 0;
    /// Until when the tokens to come have been promised to refused requests.
    TimePoint m_PromisedUntil;
  };
  struct Group {
    std::uint32_t m_Held = 0;
    TimePoint m_AdvancedAt;
    std::map<OrganisationName, Bucket> m_Buckets;
  };
  /// One process of a lender or asker.
  struct Lender {
    QuotaSequence m_Sequence;
    QuotaSequence m_AskSequence;
    QuotaGroups m_Groups;
    std::uint32_t m_Units = 0;
    TimePoint m_Until;
    /// When it was last given a stamp: what echoes one of its stamps is void
    /// once the lease has passed since then.
    TimePoint m_StampedAt;
  };

  Group &groupOf(const OrganisationName &Name) {
    return m_Groups[quotaGroupOf(Name).value()];
  }
  bool isFresh(QuotaProcess Keeper, QuotaStampTime Stamp, TimePoint Now) const;
  /// Fills the buckets for the units held since the last call.
  static void advance(Group &Filled, TimePoint Now);
  static void setHeld(Group &Changed, std::uint32_t Held, TimePoint Now);
  /// Replaces what a lender's units count for.
  void count(Lender &From, QuotaGroups Groups, std::uint32_t Units,
             TimePoint Now);
  /// Ends the leases that have lapsed, each at its time.
  void lapse(TimePoint Now);
  void refuse(QuotaReply &Reply, Bucket &From, std::uint32_t Held,
              std::uint32_t Refused, TimePoint Now) const;

  QuotaProcess m_Process;
  QuotaKeeperOptions m_Options;
  std::array<Group, QuotaGroupCount> m_Groups;
  Lender m_Own;
  std::map<std::pair<InstanceName, QuotaProcess>, Lender> m_Lenders;
  /// No lease lapses before.
  TimePoint m_NextLapse = TimePoint::max();
  bool m_Ended = false;
};

} // namespace balsamwheel
