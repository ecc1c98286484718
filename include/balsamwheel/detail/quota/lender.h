// Lends a daemon's units to keepers, one for each group of organisations.
//
// Load pattern: an ordinary organisation sends a fraction of a request per
// second at each of many entrances, or all of its requests at one of them.
// Tokens that each daemon creates for itself would be at the wrong one; where
// one keeper holds the units of all, every entrance gets what is left.
//
// Lending is a lease bounded by the keeper's own clock: the keeper counts the
// units until a time after the stamp that the lender echoes. The lender counts
// from when it received that stamp, which is later, and waits longer. So the
// units are never in two places, whatever happens to frames and processes.
#pragma once

#include "balsamwheel/detail/quota/frames.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace balsamwheel {

struct QuotaLenderOptions {
  /// Interval between two frames to a keeper.
  Duration m_RenewInterval = std::chrono::milliseconds(500);
  /// Time after the receipt of the echoed stamp until lent units are free
  /// again; longer than QuotaKeeperOptions::m_Lease by more than clocks differ.
  Duration m_Release = std::chrono::milliseconds(2100);
  /// A stamp that was received longer ago isn't echoed: little would be left of
  /// its lease.
  Duration m_StampLifetime = std::chrono::milliseconds(1500);
  /// A keeper that hasn't answered for this long counts as lost.
  Duration m_AnswerTimeout = std::chrono::milliseconds(1200);
  /// How long a lost keeper isn't chosen again.
  Duration m_LostTime = std::chrono::seconds(3);
  /// A better keeper replaces the present one once it has been up for this
  /// time.
  Duration m_BetterUp = std::chrono::seconds(3);
};

/// A keeper to ask for tokens.
struct QuotaKeeperRef {
  InstanceName m_Instance;
  /// None if the keeper is this daemon.
  QuotaProcess m_Process;
  QuotaStampTime m_Stamp;
  bool m_Self = false;

  bool sameProcess(const QuotaKeeperRef &Other) const {
    return m_Instance == Other.m_Instance && m_Process == Other.m_Process;
  }
};

/// Performs no I/O and reads no clock; not thread-safe. Invariant: at any time
/// at most one of these counts the units of a group: a keeper to which they
/// were lent, or this daemon.
class QuotaLender {
public:
  struct Outgoing {
    InstanceName m_Keeper;
    QuotaLend m_Frame;
  };

  QuotaLender(InstanceName Self, QuotaProcess Process,
              QuotaLenderOptions Options, TimePoint Now)
      : m_Self(std::move(Self)), m_Process(Process), m_Options(Options),
        m_StartedAt(Now), m_UpdatedAt(Now) {}

  /// Sets the units that this daemon owns, and the groups to lend.
  void setUnits(std::uint32_t Units, QuotaGroups Groups) {
    m_Units = Units;
    m_Groups = Groups;
  }
  /// This daemon keeps no more, and is chosen only if there is no other.
  void endSelf() { m_SelfEnded = true; }
  /// Chooses the keepers. Complexity: groups times peers when a peer has
  /// changed, else the groups.
  /// \param Up peers that are connected, without this daemon.
  void update(const std::vector<InstanceName> &Up, TimePoint Now);
  /// Frames to be sent now. update() is to be called before.
  std::vector<Outgoing> due(TimePoint Now);
  /// Handles a keeper's stamp. \p Now must not be before its sending.
  void onStamp(const InstanceName &Keeper, const QuotaStamp &Stamp,
               TimePoint Now);
  /// Groups for which this daemon itself holds its units.
  QuotaGroups ownGroups(TimePoint Now) const;
  std::uint32_t units() const { return m_Units; }
  /// The keeper to be asked; none while it hasn't answered yet.
  std::optional<QuotaKeeperRef> keeperOf(QuotaGroup Group, TimePoint Now) const;
  /// The chosen keeper, whether it has answered or not; empty when the group
  /// has none.
  const InstanceName &chosen(QuotaGroup Group) const {
    return m_Places[Group.value()].m_Keeper;
  }

  /// Whether a daemon could be chosen as keeper.
  bool isAvailable(const InstanceName &Name, TimePoint Now) const {
    return isUp(Name) && !isLost(Name, Now);
  }

private:
  /// Another daemon as keeper.
  struct Contact {
    QuotaProcess m_Process;
    /// Processes that have ended; late frames of them are void.
    std::set<QuotaProcess> m_Ended;
    QuotaStampTime m_Stamp;
    TimePoint m_StampAt;
    QuotaSequence m_Confirmed;
    /// Since when no frame has been answered; none when the last one has been.
    std::optional<TimePoint> m_UnansweredSince;
    TimePoint m_SentAt;
    QuotaGroups m_SentGroups;
    std::uint32_t m_SentUnits = 0;
    TimePoint m_LostUntil;
    /// Frames are to be sent to it, as to the keeper of a group or one that
    /// shall become it.
    bool m_Wanted = false;
    /// Of the last frame that lent something to m_Process.
    QuotaSequence m_LentSequence;
  };
  /// Where the units of a group may be counted outside this daemon.
  struct Loan {
    InstanceName m_Keeper;
    QuotaProcess m_Process;
    /// Of the last frame that lent them.
    QuotaSequence m_Sequence;
    TimePoint m_Until;
  };
  struct Place {
    /// Empty when the group isn't lent.
    InstanceName m_Keeper;
    std::optional<Loan> m_Loan;
  };

  bool isUp(const InstanceName &Name) const {
    return Name == m_Self ? !m_SelfEnded : m_UpSince.contains(Name);
  }
  bool isLost(const InstanceName &Name, TimePoint Now) const;
  /// Whether the keeper has answered, so recently that its stamp can be echoed.
  bool hasAnswered(const InstanceName &Name, TimePoint Now) const;
  void noteUp(const std::vector<InstanceName> &Up, TimePoint Now);
  void noteSilent(TimePoint Now);
  /// Keeps a daemon from being chosen for a while.
  void markLost(const InstanceName &Name, Contact &Lost, TimePoint Now);
  void choose(QuotaGroup Group, TimePoint Now);
  /// The best of the daemons that have been up since \p UpBefore.
  InstanceName best(QuotaGroup Group, TimePoint UpBefore, TimePoint Now) const;
  static std::uint64_t score(const InstanceName &Name, QuotaGroup Group) {
    return mixHash(hashKey(Name.value()).value(), Group.value());
  }
  /// Whether nothing outside this daemon counts the units of the group.
  bool isFree(const Place &Where, TimePoint Now) const;
  /// Groups to be named in a frame to a keeper now.
  QuotaGroups lendable(const InstanceName &Keeper, TimePoint Now) const;
  QuotaLend makeFrame(const InstanceName &Keeper, Contact &To, TimePoint Now);
  bool mayUse(TimePoint Now) const {
    return Now - m_StartedAt >= m_Options.m_Release;
  }

  InstanceName m_Self;
  QuotaProcess m_Process;
  QuotaLenderOptions m_Options;
  TimePoint m_StartedAt;
  TimePoint m_UpdatedAt;
  std::uint32_t m_Units = 0;
  QuotaGroups m_Groups;
  QuotaSequence m_LastSequence;
  bool m_SelfEnded = false;
  std::map<InstanceName, TimePoint> m_UpSince;
  std::map<InstanceName, Contact> m_Contacts;
  std::array<Place, QuotaGroupCount> m_Places;
};

} // namespace balsamwheel
