// What daemons tell each other about quotas, and the ids in it.
//
// The right to create the tokens of all quotas is divided into QuotaUnits
// units. A daemon owns a number of them (shares.h), lends them to keepers
// (lender.h), and a keeper creates tokens for the units that it holds
// (keeper.h). Entrances ask keepers for tokens (asker.h).
#pragma once

#include "balsamwheel/detail/core/hash.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/routing/organisation_directory.h"

#include <bit>
#include <cstdint>

namespace balsamwheel {

/// Random id of one run of a daemon; 0 means unknown.
using QuotaProcess = StrongId<struct QuotaProcessTag, std::uint64_t>;
/// Number of a frame of a lender or asker; increases within its process.
using QuotaSequence = StrongId<struct QuotaSequenceTag, std::uint64_t>;
/// A keeper's own clock, in microseconds since its boot; 0 means none. Only the
/// keeper compares it.
using QuotaStampTime = StrongId<struct QuotaStampTimeTag, std::int64_t>;
/// Revision of the shares row, see QuotaShares. 0 means none.
using SharesRevision = StrongId<struct SharesRevisionTag, std::uint64_t>;

/// Units that all daemons own together: all tokens of a quota are created if
/// all units are held.
inline constexpr std::uint32_t QuotaUnits = 1'000'000;
/// Organisations are divided into groups by a hash of their names; each group
/// has one keeper.
inline constexpr std::uint32_t QuotaGroupCount = 16;

using QuotaGroup = StrongId<struct QuotaGroupTag, std::uint32_t>;

inline QuotaGroup quotaGroupOf(const OrganisationName &Name) {
  return QuotaGroup(static_cast<std::uint32_t>(hashKey(Name.value()).value() %
                                               QuotaGroupCount));
}

/// A set of groups.
class QuotaGroups {
public:
  constexpr QuotaGroups() = default;
  constexpr explicit QuotaGroups(std::uint32_t Bits) : m_Bits(Bits) {}

  bool contains(QuotaGroup Group) const {
    return ((m_Bits >> Group.value()) & 1U) != 0;
  }
  void add(QuotaGroup Group) { m_Bits |= 1U << Group.value(); }
  bool empty() const { return m_Bits == 0; }
  std::uint32_t bits() const { return m_Bits; }
  bool operator==(const QuotaGroups &) const = default;

  /// Calls \p Visit with each group of the set, in their order.
  template <typename Visitor> void forEach(Visitor Visit) const {
    for (std::uint32_t Left = m_Bits; Left != 0; Left &= Left - 1)
      Visit(QuotaGroup(static_cast<std::uint32_t>(std::countr_zero(Left))));
  }

private:
  std::uint32_t m_Bits = 0;
};

inline constexpr QuotaGroups AllQuotaGroups{(1U << QuotaGroupCount) - 1};

/// From a lender to a keeper: lends the units, or only asks for a stamp.
struct QuotaLend {
  QuotaProcess m_Lender;
  QuotaSequence m_Sequence;
  /// The keeper's process that m_Stamp is from.
  QuotaProcess m_Keeper;
  /// Latest stamp that the lender has got.
  QuotaStampTime m_Stamp;
  /// Groups whose units are lent; all others aren't, from now on.
  QuotaGroups m_Groups;
  /// Lent for each of these groups.
  std::uint32_t m_Units = 0;
};

/// A keeper's answer to QuotaLend.
struct QuotaStamp {
  QuotaProcess m_Keeper;
  QuotaStampTime m_Stamp;
  /// To whom.
  QuotaProcess m_Lender;
  /// Highest sequence of a QuotaLend that the keeper has applied.
  QuotaSequence m_Confirmed;
  /// This process won't create tokens any more.
  bool m_Ended = false;
};

/// From an entrance to a keeper: asks for tokens, and returns some.
struct QuotaAsk {
  QuotaProcess m_Asker;
  QuotaSequence m_Sequence;
  QuotaProcess m_Keeper;
  /// Latest stamp of this keeper.
  QuotaStampTime m_Stamp;
  OrganisationName m_Organisation;
  /// Tokens asked for.
  std::uint32_t m_Count = 0;
  /// Tokens of requests that no target has run.
  std::uint32_t m_Returned = 0;
};

/// A keeper's answer to QuotaAsk.
struct QuotaReply {
  QuotaProcess m_Keeper;
  QuotaProcess m_Asker;
  QuotaSequence m_Sequence;
  OrganisationName m_Organisation;
  std::uint32_t m_Granted = 0;
  /// Time after which a token for the first refused request is likely to be
  /// available, and the additional time for each further one.
  Duration m_Wait{0};
  Duration m_Spacing{0};
  /// The keeper can't tell whether the quota is used up: it holds no units, or
  /// doesn't know the organisation yet.
  bool m_Unavailable = false;
};

} // namespace balsamwheel
