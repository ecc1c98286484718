// A group's row: JSON encoding, leader order and choice of witnesses.
#include "balsamwheel/detail/coordination/group_row.h"

#include "balsamwheel/detail/core/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace balsamwheel {

namespace {

using Json = nlohmann::json;

/// Number of removed sessions that are kept in a row.
constexpr std::size_t MaxExpelled = 32;

Json entryToJson(const Member &Value) {
  return {{"session", Value.m_Session.value()},
          {"instance", Value.m_Instance.value()},
          {"domain", Value.m_Domain.value()},
          {"region", Value.m_Region.value()},
          {"peer", Value.m_Peer.value()},
          {"caller", Value.m_CallerAddress},
          {"admin", Value.m_AdminAddress},
          {"service", Value.m_Service.value()},
          {"slots", Value.m_Slots},
          {"leaving", Value.m_Leaving}};
}

Member entryFromJson(const Json &Value) {
  return {.m_Session = SessionId(Value.at("session").get<std::uint64_t>()),
          .m_Instance = InstanceName(Value.at("instance").get<std::string>()),
          .m_Domain = DomainName(Value.at("domain").get<std::string>()),
          .m_Region = RegionName(Value.at("region").get<std::string>()),
          .m_Peer = PeerAddress(Value.at("peer").get<std::string>()),
          .m_CallerAddress = Value.at("caller").get<std::string>(),
          .m_AdminAddress = Value.at("admin").get<std::string>(),
          .m_Service = ServiceName(Value.at("service").get<std::string>()),
          .m_Slots = Value.at("slots").get<std::uint32_t>(),
          .m_ConfigApplied = ConfigVersion(),
          .m_Leaving = Value.at("leaving").get<bool>()};
}

Json idsToJson(const std::vector<SessionId> &Ids) {
  Json Result = Json::array();
  for (SessionId Id : Ids)
    Result.push_back(Id.value());
  return Result;
}

std::vector<SessionId> idsFromJson(const Json &Value) {
  std::vector<SessionId> Result;
  for (const Json &Id : Value)
    Result.emplace_back(Id.get<std::uint64_t>());
  return Result;
}

Json memberToJson(const GroupMember &Value) {
  Json Result = entryToJson(Value.m_Member);
  Result["sequence"] = Value.m_Sequence;
  Result["config"] = Value.m_Member.m_ConfigApplied.value();
  Result["witnesses"] = idsToJson(Value.m_Witnesses);
  return Result;
}

GroupMember memberFromJson(const Json &Value) {
  GroupMember Result;
  Result.m_Member = entryFromJson(Value);
  Result.m_Member.m_ConfigApplied =
      ConfigVersion(Value.at("config").get<std::uint64_t>());
  Result.m_Sequence = Value.at("sequence").get<std::uint64_t>();
  Result.m_Witnesses = idsFromJson(Value.at("witnesses"));
  return Result;
}

/// All members except the subject, in the subject's order of preference.
std::vector<const GroupMember *> witnessOrder(const GroupRow &Group,
                                              const GroupMember &Subject) {
  std::vector<const GroupMember *> Result;
  for (const GroupMember &Candidate : Group.m_Members)
    if (Candidate.m_Member.m_Session != Subject.m_Member.m_Session)
      Result.push_back(&Candidate);
  const std::uint64_t Seed = Subject.m_Member.m_Session.value();
  std::ranges::sort(Result, std::greater<>(), [Seed](const GroupMember *Value) {
    return mixHash(Seed, Value->m_Member.m_Session.value());
  });
  return Result;
}

void fillWitnesses(const GroupRow &Group, GroupMember &Subject) {
  std::erase_if(Subject.m_Witnesses, [&Group](SessionId Session) {
    return Group.find(Session) == nullptr;
  });
  if (Subject.m_Witnesses.size() == WitnessCount)
    return;
  std::set<DomainName> Domains;
  for (SessionId Session : Subject.m_Witnesses)
    Domains.insert(Group.find(Session)->m_Member.m_Domain);
  const std::vector<const GroupMember *> Order = witnessOrder(Group, Subject);
  for (const bool NewDomainOnly : {true, false})
    for (const GroupMember *Candidate : Order) {
      const Member &Value = Candidate->m_Member;
      const bool Taken =
          std::ranges::count(Subject.m_Witnesses, Value.m_Session) > 0;
      if (Taken || Subject.m_Witnesses.size() == WitnessCount)
        continue;
      if (NewDomainOnly && !Domains.insert(Value.m_Domain).second)
        continue;
      Subject.m_Witnesses.push_back(Value.m_Session);
    }
}

} // namespace

const GroupMember *GroupRow::find(SessionId Session) const {
  const auto Found =
      std::ranges::find_if(m_Members, [Session](const GroupMember &Candidate) {
        return Candidate.m_Member.m_Session == Session;
      });
  return Found == m_Members.end() ? nullptr : &*Found;
}

GroupMember *GroupRow::find(SessionId Session) {
  return const_cast<GroupMember *>(std::as_const(*this).find(Session));
}

bool GroupRow::wasExpelled(SessionId Session) const {
  return std::ranges::count(m_Expelled, Session) > 0;
}

void GroupRow::remove(SessionId Session) {
  std::erase_if(m_Members, [Session](const GroupMember &Candidate) {
    return Candidate.m_Member.m_Session == Session;
  });
  m_Expelled.push_back(Session);
  if (m_Expelled.size() > MaxExpelled)
    m_Expelled.erase(m_Expelled.begin());
}

RowKey groupRowKey(std::uint32_t Group) {
  return RowKey(GroupRowPrefix + std::to_string(Group));
}

std::optional<std::uint32_t> groupOfKey(const RowKey &Key) {
  const std::string &Text = Key.value();
  if (!Text.starts_with(GroupRowPrefix))
    return std::nullopt;
  const char *Begin = Text.data() + sizeof(GroupRowPrefix) - 1;
  const char *End = Text.data() + Text.size();
  std::uint32_t Result = 0;
  const auto [Rest, Error] = std::from_chars(Begin, End, Result);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Result;
}

std::string toValue(const GroupRow &Group, WriteId Id) {
  Json Members = Json::array();
  for (const GroupMember &Each : Group.m_Members)
    Members.push_back(memberToJson(Each));
  return Json{{"write_id", Id.value()},
              {"counter", Group.m_Counter},
              {"members", std::move(Members)},
              {"expelled", idsToJson(Group.m_Expelled)}}
      .dump();
}

std::optional<GroupRow> parseGroupRow(const Row &Stored) {
  const std::optional<std::uint32_t> Group = groupOfKey(Stored.m_Key);
  if (!Group)
    return std::nullopt;
  GroupRow Result;
  Result.m_Group = *Group;
  Result.m_Version = Stored.m_Version;
  if (Stored.m_Version.value() == 0)
    return Result;
  const Json Value = Json::parse(Stored.m_Value, nullptr, false);
  try {
    Result.m_Counter = Value.at("counter").get<std::uint64_t>();
    for (const Json &Entry : Value.at("members"))
      Result.m_Members.push_back(memberFromJson(Entry));
    Result.m_Expelled = idsFromJson(Value.at("expelled"));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
  return Result;
}

std::string toEntry(const Member &Value) { return entryToJson(Value).dump(); }

std::optional<Member> parseEntry(const std::string &Entry) {
  const Json Value = Json::parse(Entry, nullptr, false);
  try {
    return entryFromJson(Value);
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::vector<SessionId> leaderOrder(const GroupRow &Group) {
  std::vector<SessionId> Result;
  Result.reserve(Group.m_Members.size());
  for (const GroupMember &Each : Group.m_Members)
    Result.push_back(Each.m_Member.m_Session);
  const std::uint64_t Seed = Group.m_Group + 1;
  std::ranges::sort(Result, std::greater<>(), [Seed](SessionId Session) {
    return mixHash(Seed, Session.value());
  });
  return Result;
}

void assignWitnesses(GroupRow &Group) {
  for (GroupMember &Subject : Group.m_Members)
    fillWitnesses(Group, Subject);
}

} // namespace balsamwheel
