// Expulsion of members that stopped renewing, in this group and the next one.
#include "balsamwheel/detail/coordination/group_leader.h"

#include <algorithm>
#include <map>

namespace balsamwheel {

void GroupLeader::markReplacedSessions(const GroupRow &Row, TimePoint Now) {
  // Members are listed in the order in which they joined.
  std::map<PeerAddress, SessionId> Newest;
  for (const GroupMember &Each : Row.m_Members)
    Newest[Each.m_Member.m_Peer] = Each.m_Member.m_Session;
  for (const GroupMember &Each : Row.m_Members)
    if (Newest[Each.m_Member.m_Peer] != Each.m_Member.m_Session)
      m_Expulsion.markReplaced(Each.m_Member.m_Session, Now);
}

bool GroupLeader::expelSilentMembers(GroupRow &Row, TimePoint Now) {
  std::vector<SessionId> Silent;
  for (const GroupMember &Subject : Row.m_Members) {
    const SessionId Session = Subject.m_Member.m_Session;
    if (Session != m_Context->m_Session && m_Expulsion.mayExpel(Subject, Now))
      Silent.push_back(Session);
  }
  for (SessionId Session : Silent) {
    Row.remove(Session);
    m_Pending.erase(Session);
  }
  return !Silent.empty();
}

void GroupLeader::observe(const GroupRow &Row, TimePoint Now) {
  for (const GroupMember &Each : Row.m_Members)
    m_Expulsion.observe(Each, Now);
}

void GroupLeader::requestPromises(const GroupRow &Row, TimePoint Now) {
  if (!m_Context->m_Options.m_UseWitnesses)
    return;
  for (const GroupMember &Subject : Row.m_Members) {
    if (Subject.m_Member.m_Session == m_Context->m_Session ||
        !m_Expulsion.isSuspect(Subject, Now))
      continue;
    PromiseRequest Request;
    Request.m_Subject = Subject.m_Member.m_Session;
    Request.m_Sequence = Subject.m_Sequence;
    Request.m_Group = Row.m_Group;
    Request.m_GroupRowVersion = Row.m_Version;
    // At the subject's address a later session may promise for it.
    m_SendPromiseRequest(Request.m_Subject, Request, Now);
    for (SessionId Witness : Subject.m_Witnesses)
      m_SendPromiseRequest(Witness, Request, Now);
  }
}

std::optional<std::uint32_t> GroupLeader::nextGroup() const {
  const auto &Groups = m_Context->m_View.groups();
  const auto HasMembers = [](const auto &Item) {
    return !Item.second.m_Members.empty();
  };
  auto Next =
      std::find_if(Groups.upper_bound(m_Group), Groups.end(), HasMembers);
  if (Next == Groups.end())
    Next = std::find_if(Groups.begin(), Groups.end(), HasMembers);
  if (Next == Groups.end() || Next->first == m_Group)
    return std::nullopt;
  return Next->first;
}

void GroupLeader::watchNextGroup(TimePoint Now) {
  const std::uint32_t Group = *nextGroup();
  m_Poller->poll(
      Now, {groupRowKey(Group)}, [this, Group](bool Ok, TimePoint Later) {
        if (!Ok || m_Writing)
          return;
        GroupRow Row = currentRow(Group);
        if (Row.m_Version != m_WatchedVersion) {
          m_WatchedVersion = Row.m_Version;
          m_WatchedSince = Later;
        }
        observe(Row, Later);
        const CoordinationTiming &Timing = m_Context->m_Options.m_Timing;
        if (Later - m_WatchedSince < Timing.m_Lease + Timing.m_LeaseMargin)
          return;
        requestPromises(Row, Later);
        if (expelSilentMembers(Row, Later))
          commitRow(std::move(Row), true, Later);
      });
}

} // namespace balsamwheel
