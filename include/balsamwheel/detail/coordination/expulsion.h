// The taker's side of leases: when a silent session may be expelled.
#pragma once

#include "balsamwheel/detail/coordination/group_row.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace balsamwheel {

/// Watches the sequences of sessions. Invariant: mayExpel() is true only when
/// the sequence in the row has been seen for a lease plus margin and a quorum
/// of witnesses promised for it.
class ExpulsionJudge {
public:
  struct Options {
    /// The lease plus the margin for clock drift.
    Duration m_Wait{0};
    /// After this time no promise is needed.
    Duration m_ExtensionLimit{0};
    /// A sequence that stands longer is suspicious.
    Duration m_Suspect{0};
    bool m_UseWitnesses = true;
  };

  explicit ExpulsionJudge(Options Values) : m_Options(Values) {}

  /// Saw a sequence, in a row or in a heartbeat.
  void observe(SessionId Session, std::uint64_t Sequence, TimePoint Now);
  void onPromise(SessionId Subject, std::uint64_t Sequence, SessionId By);
  bool isSuspect(const GroupMember &Subject, TimePoint Now) const;
  /// Whether the lease wait is over, promises aside.
  bool waitIsOver(const GroupMember &Subject, TimePoint Now) const;
  /// \param IsReplaced whether a witness can no longer receive a request.
  template <typename Predicate>
  bool mayExpel(const GroupMember &Subject, TimePoint Now,
                Predicate IsReplaced) const {
    if (!waitIsOver(Subject, Now))
      return false;
    if (!m_Options.m_UseWitnesses || limitIsOver(Subject, Now))
      return true;
    std::size_t Withheld = WitnessCount - Subject.m_Witnesses.size();
    for (SessionId Witness : Subject.m_Witnesses)
      if (hasPromised(Subject, Witness) || IsReplaced(Witness))
        ++Withheld;
    return Withheld > WitnessCount - WitnessQuorum;
  }
  void forget(SessionId Session) { m_Records.erase(Session); }

private:
  struct Record {
    std::uint64_t m_Sequence = 0;
    TimePoint m_Since{};
    std::set<SessionId> m_Promises;
  };

  bool limitIsOver(const GroupMember &Subject, TimePoint Now) const;
  bool hasPromised(const GroupMember &Subject, SessionId Witness) const;

  Options m_Options;
  std::unordered_map<SessionId, Record> m_Records;
};

} // namespace balsamwheel
