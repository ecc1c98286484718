// The shards of this session and their handover.
#include "balsamwheel/detail/coordination/ownership.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// An unanswered request for a yield is repeated after this time.
constexpr Duration AskPeriod = std::chrono::milliseconds(150);

} // namespace

void Ownership::update(TimePoint Now) {
  for (const auto &[Service, Rows] : m_Context->m_View.maps())
    for (const MapRow &Row : Rows) {
      RowCount &Seen = m_Rows[mapRowKey(Row.m_Service, Row.m_Part).value()];
      if (Row.m_Version > Seen.m_Version)
        updateRow(Row, Seen, Now);
    }
  for (auto &[Shard, Value] : m_Held) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (Entry && Entry->m_Owner == m_Context->m_Session &&
        Entry->m_Epoch == Value.m_Epoch)
      refresh(Shard, Value, *Entry, Now);
  }
  if (m_AskAt == Never && pending() + waiting() > 0)
    askFormers(Now);
}

void Ownership::updateRow(const MapRow &Row, RowCount &Seen, TimePoint Now) {
  const SessionId Self = m_Context->m_Session;
  std::map<SessionId, std::vector<Yield::Item>> Yields;
  m_Owned -= Seen.m_Owned;
  Seen = {.m_Version = Row.m_Version, .m_Owned = 0};
  for (std::uint32_t Index = 0; Index < Row.m_Entries.size(); ++Index) {
    const ShardEntry &Entry = Row.m_Entries[Index];
    const ShardRef Shard{Row.m_Service,
                         ShardIndex(Row.m_Part * ShardsPerRow + Index)};
    if (Entry.m_Owner == Self) {
      ++Seen.m_Owned;
      take(Shard, Entry, Now);
    } else if (Entry.m_Former == Self) {
      if (std::optional<Yield::Item> Item = makeYield(Shard, Entry))
        Yields[Entry.m_Owner].push_back(std::move(*Item));
    } else {
      m_Held.erase(Shard);
    }
  }
  m_Owned += Seen.m_Owned;
  for (auto &[To, Items] : Yields)
    m_Context->sendTo(To, Yield{Self, To, std::move(Items)});
}

void Ownership::take(const ShardRef &Shard, const ShardEntry &Entry,
                     TimePoint Now) {
  const auto Known = m_Held.find(Shard);
  if (Known != m_Held.end() && Known->second.m_Epoch == Entry.m_Epoch)
    return;
  Held Value;
  Value.m_Epoch = Entry.m_Epoch;
  Value.m_Former = Entry.m_Former;
  refresh(Shard, Value, Entry, Now);
  m_Held[Shard] = std::move(Value);
}

void Ownership::refresh(const ShardRef &Shard, Held &Value,
                        const ShardEntry &Entry, TimePoint Now) {
  if (Value.m_Active && Value.m_Resolved)
    return;
  const bool NoFormer = Entry.m_Former.value() == 0;
  if (NoFormer || m_Context->m_View.isGone(Entry.m_Former)) {
    Value.m_Waiting.clear();
    Value.m_Resolved = true;
    activate(Shard, Value, Now);
    return;
  }
  const auto Early = m_Early.find(Shard);
  if (Early != m_Early.end()) {
    applyYield(Shard, Value, Early->second, Now);
    m_Early.erase(Early);
  }
  if (!enforced<Rule::YieldWait>())
    activate(Shard, Value, Now);
}

void Ownership::activate(const ShardRef &Shard, Held &Value, TimePoint Now) {
  if (Value.m_Active)
    return;
  Value.m_Active = true;
  Value.m_ActiveSince = Now;
  m_Context->m_Effects.push_back(GrantTarget{Shard, Value.m_Epoch});
}

void Ownership::applyYield(const ShardRef &Shard, Held &Value,
                           const EarlyYield &From, TimePoint Now) {
  if (From.m_Epoch != Value.m_Epoch || From.m_From != Value.m_Former ||
      Value.m_Resolved)
    return;
  std::unordered_set<KeyHash> Keys(From.m_InFlight.begin(),
                                   From.m_InFlight.end());
  if (Value.m_Active)
    std::erase_if(Value.m_Waiting,
                  [&Keys](KeyHash Key) { return !Keys.contains(Key); });
  else
    Value.m_Waiting = std::move(Keys);
  Value.m_Resolved = Value.m_Waiting.empty();
  activate(Shard, Value, Now);
}

std::optional<Yield::Item> Ownership::makeYield(const ShardRef &Shard,
                                                const ShardEntry &Entry) const {
  const bool Drain =
      m_Context->m_Options.m_Handover == HandoverMode::DrainThenSwitch;
  if (Drain && !m_InFlight.empty(Shard))
    return std::nullopt;
  Yield::Item Item;
  Item.m_Shard = Shard;
  Item.m_Epoch = Entry.m_Epoch;
  Item.m_InFlight = m_InFlight.keys(Shard);
  return Item;
}

void Ownership::onYield(const Yield &Message, TimePoint Now) {
  if (Message.m_To != m_Context->m_Session)
    return;
  for (const Yield::Item &Item : Message.m_Items) {
    const EarlyYield From{.m_From = Message.m_From,
                          .m_Epoch = Item.m_Epoch,
                          .m_InFlight = Item.m_InFlight};
    const auto Known = m_Held.find(Item.m_Shard);
    if (Known != m_Held.end() && Known->second.m_Epoch >= Item.m_Epoch)
      applyYield(Item.m_Shard, Known->second, From, Now);
    else
      m_Early[Item.m_Shard] = From;
  }
}

void Ownership::onYieldRequest(const YieldRequest &Message,
                               const PeerAddress &From) {
  Yield Answer;
  Answer.m_From = m_Context->m_Session;
  Answer.m_To = Message.m_From;
  for (const ShardRef &Shard : Message.m_Shards) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (!Entry || Entry->m_Owner != Message.m_From)
      continue;
    if (std::optional<Yield::Item> Item = makeYield(Shard, *Entry))
      Answer.m_Items.push_back(std::move(*Item));
  }
  if (!Answer.m_Items.empty())
    m_Context->send(From, std::move(Answer));
}

void Ownership::onKeyFinished(const KeyFinished &Message) {
  const auto Known = m_Held.find(Message.m_Shard);
  if (Known == m_Held.end())
    return;
  Held &Value = Known->second;
  if (!Value.m_Active || Value.m_Epoch != Message.m_Epoch ||
      Value.m_Former != Message.m_From)
    return;
  Value.m_Waiting.erase(Message.m_Key);
  Value.m_Resolved = Value.m_Resolved || Value.m_Waiting.empty();
}

void Ownership::orderStarted(const ShardRef &Shard, KeyHash Key) {
  m_InFlight.start(Shard, Key);
}

void Ownership::orderFinished(const ShardRef &Shard, KeyHash Key) {
  if (!m_InFlight.finish(Shard, Key))
    return;
  const SessionId Self = m_Context->m_Session;
  const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
  if (!Entry || Entry->m_Owner == Self || Entry->m_Former != Self)
    return;
  if (m_Context->m_Options.m_Handover == HandoverMode::SwitchThenResolve)
    m_Context->sendTo(Entry->m_Owner,
                      KeyFinished{Self, Shard, Entry->m_Epoch, Key});
  else if (std::optional<Yield::Item> Item = makeYield(Shard, *Entry))
    m_Context->sendTo(Entry->m_Owner,
                      Yield{Self, Entry->m_Owner, {std::move(*Item)}});
}

void Ownership::reset() {
  m_Held.clear();
  m_Early.clear();
  m_Rows.clear();
  m_Owned = 0;
  m_AskAt = Never;
}

void Ownership::askFormers(TimePoint Now) {
  m_AskAt = Never;
  std::map<SessionId, std::vector<ShardRef>> Requests;
  std::map<SessionId, std::map<std::string, Row>> Rows;
  for (const auto &[Shard, Value] : m_Held) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (Value.m_Resolved || !Entry || Entry->m_Epoch != Value.m_Epoch ||
        Entry->m_Owner != m_Context->m_Session)
      continue;
    Requests[Value.m_Former].push_back(Shard);
    const RowKey Key =
        mapRowKey(Shard.m_Service, Shard.m_Shard.value() / ShardsPerRow);
    if (!Value.m_Active)
      if (const Row *Stored = m_Context->m_View.storedRow(Key))
        Rows[Value.m_Former][Key.value()] = *Stored;
  }
  for (auto &[Former, Shards] : Requests) {
    Changes Known;
    for (auto &[Key, Stored] : Rows[Former])
      Known.m_Rows.push_back(std::move(Stored));
    if (!Known.m_Rows.empty())
      m_Context->sendTo(Former, std::move(Known));
    m_Context->sendTo(Former,
                      YieldRequest{m_Context->m_Session, std::move(Shards)});
  }
  if (!Requests.empty())
    m_AskAt = Now + AskPeriod;
}

void Ownership::onTick(TimePoint Now) {
  if (Now >= m_AskAt)
    askFormers(Now);
}

Ownership::Check Ownership::check(const ShardRef &Shard, KeyHash Key) const {
  const auto Known = m_Held.find(Shard);
  if (Known == m_Held.end())
    return {.m_Reason = Reason::NotOwner, .m_Epoch = Epoch()};
  const Held &Value = Known->second;
  const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
  const bool Current = Entry && Entry->m_Owner == m_Context->m_Session &&
                       Entry->m_Epoch == Value.m_Epoch;
  if (enforced<Rule::EpochCompare>() && !Current)
    return {.m_Reason = Reason::NotOwner, .m_Epoch = Epoch()};
  if (!Value.m_Active || Value.m_Waiting.contains(Key))
    return {.m_Reason = Reason::HandoverPending, .m_Epoch = Value.m_Epoch};
  return {.m_Reason = Reason::None, .m_Epoch = Value.m_Epoch};
}

std::optional<TimePoint> Ownership::activeSince(const ShardRef &Shard) const {
  const auto Known = m_Held.find(Shard);
  const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
  if (Known == m_Held.end() || !Known->second.m_Active || !Entry ||
      Entry->m_Owner != m_Context->m_Session)
    return std::nullopt;
  return Known->second.m_ActiveSince;
}

SessionId Ownership::formerOwner(const ShardRef &Shard) const {
  const auto Known = m_Held.find(Shard);
  if (Known == m_Held.end() ||
      !m_Context->m_View.isLive(Known->second.m_Former))
    return SessionId();
  return Known->second.m_Former;
}

std::vector<std::pair<ShardRef, Epoch>> Ownership::settled() const {
  std::vector<std::pair<ShardRef, Epoch>> Result;
  for (const auto &[Shard, Value] : m_Held) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (Value.m_Resolved && Entry && Entry->m_Owner == m_Context->m_Session &&
        Entry->m_Epoch == Value.m_Epoch && Entry->m_Former.value() != 0 &&
        m_Context->m_View.isLive(Entry->m_Former))
      Result.emplace_back(Shard, Value.m_Epoch);
  }
  return Result;
}

std::size_t Ownership::pending() const {
  return std::ranges::count_if(
      m_Held, [](const auto &Item) { return !Item.second.m_Active; });
}

std::size_t Ownership::waiting() const {
  return std::ranges::count_if(m_Held, [](const auto &Item) {
    return Item.second.m_Active && !Item.second.m_Resolved;
  });
}

} // namespace balsamwheel
