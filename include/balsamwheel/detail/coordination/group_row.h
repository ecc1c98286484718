// A group's row in the table: the sessions whose leases are renewed together.
#pragma once

#include "balsamwheel/detail/coordination/coordinator.h"
#include "balsamwheel/detail/platform/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

inline constexpr char GroupRowPrefix[] = "group/";

/// Number of witnesses of a session. A vacant place counts as a witness that
/// grants nothing and has given every promise, so it may be filled at any time.
inline constexpr std::size_t WitnessCount = 3;
/// Number of grants that extend a lease. Any two quorums share a witness.
inline constexpr std::size_t WitnessQuorum = 2;

struct GroupMember {
  Member m_Member;
  /// Sequence of the newest committed heartbeat.
  std::uint64_t m_Sequence = 0;
  std::vector<SessionId> m_Witnesses;
};

struct GroupRow {
  std::uint32_t m_Group = 0;
  RowVersion m_Version;
  /// Incremented with each change except plain renewals.
  std::uint64_t m_Counter = 0;
  std::vector<GroupMember> m_Members;
  /// Sessions that were removed most recently, the newest last; they are never
  /// admitted again.
  std::vector<SessionId> m_Expelled;

  const GroupMember *find(SessionId Session) const;
  GroupMember *find(SessionId Session);
  bool wasExpelled(SessionId Session) const;
  void remove(SessionId Session);
};

RowKey groupRowKey(std::uint32_t Group);
/// The number of the group whose row has this key, none for other keys.
std::optional<std::uint32_t> groupOfKey(const RowKey &Key);

std::string toValue(const GroupRow &Group, WriteId Id);
/// Parses a group's row; an absent row has no members.
///
/// \returns none when the key or the value is malformed.
std::optional<GroupRow> parseGroupRow(const Row &Stored);

/// The part of the row that a member publishes about itself, as sent in
/// heartbeats.
std::string toEntry(const Member &Value);
/// \returns none when the entry is malformed.
std::optional<Member> parseEntry(const std::string &Entry);

/// The members in the order in which they lead the group and write its row.
std::vector<SessionId> leaderOrder(const GroupRow &Group);

/// Completes the witness sets of all members: first with one witness per
/// failure domain while there are further domains, then with any member.
/// Witnesses that are still members are kept.
void assignWitnesses(GroupRow &Group);

} // namespace balsamwheel
