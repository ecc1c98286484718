// A group's row: the sessions that renew their leases together.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

inline constexpr char GroupRowPrefix[] = "group/";

/// Witnesses of a session. A missing one counts as one that grants nothing
/// and has promised everything, so the set may be filled up at any time.
inline constexpr std::size_t WitnessCount = 3;
/// Grants that extend a lease; any two quorums share a witness.
inline constexpr std::size_t WitnessQuorum = 2;

struct GroupMember {
  Member m_Member;
  /// The newest heartbeat that stands in the table.
  std::uint64_t m_Sequence = 0;
  std::vector<SessionId> m_Witnesses;
};

struct GroupRow {
  std::uint32_t m_Group = 0;
  RowVersion m_Version;
  /// Grows with each change but plain renewals.
  std::uint64_t m_Counter = 0;
  std::vector<GroupMember> m_Members;
  /// The last sessions that left; they are never admitted again.
  std::vector<SessionId> m_Expelled;

  const GroupMember *find(SessionId Session) const;
  GroupMember *find(SessionId Session);
  bool wasExpelled(SessionId Session) const;
  void remove(SessionId Session);
};

RowKey groupRowKey(std::uint32_t Group);
/// The group whose row has this key, if it is one.
std::optional<std::uint32_t> groupOfKey(const RowKey &Key);

std::string toValue(const GroupRow &Group, WriteId Id);
/// Reads a group's row; an absent row has no members.
///
/// \returns none when key or value have another shape.
std::optional<GroupRow> parseGroupRow(const Row &Stored);

/// A member's own part of the row, as it rides on heartbeats.
std::string toEntry(const Member &Value);
std::optional<Member> parseEntry(const std::string &Entry);

/// The members in the order in which they lead the group.
std::vector<SessionId> leaderOrder(const GroupRow &Group);

/// Fills the witness sets of all members: one in each failure domain as far
/// as there are, then any. Present witnesses stay.
void assignWitnesses(GroupRow &Group);

} // namespace balsamwheel
