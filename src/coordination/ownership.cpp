// The shards that this session owns and their handover.
#include "balsamwheel/detail/coordination/ownership.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// A yield request that was not answered is repeated after this time.
constexpr Duration YieldRetryPeriod = std::chrono::milliseconds(150);

} // namespace

void Ownership::update(TimePoint Now) {
  for (const auto &[Service, Rows] : m_Context->m_View.maps())
    for (const MapRow &Row : Rows) {
      RowState &State =
          m_RowStates[mapRowKey(Row.m_Service, Row.m_Part).value()];
      if (Row.m_Version > State.m_Version)
        updateRow(Row, State, Now);
    }
  for (auto &[Shard, Held] : m_Held) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (Entry && Entry->m_Owner == m_Context->m_Session &&
        Entry->m_Epoch == Held.m_Epoch)
      advanceHandover(Shard, Held, *Entry, Now);
  }
  if (m_YieldRequestAt == Never && pendingCount() + resolvingCount() > 0)
    requestYields(Now);
}

void Ownership::updateRow(const MapRow &Row, RowState &State, TimePoint Now) {
  const SessionId Self = m_Context->m_Session;
  std::map<SessionId, std::vector<Yield::Item>> Yields;
  m_Owned -= State.m_Owned;
  State = {.m_Version = Row.m_Version, .m_Owned = 0};
  for (std::uint32_t Index = 0; Index < Row.m_Entries.size(); ++Index) {
    const ShardEntry &Entry = Row.m_Entries[Index];
    const ShardRef Shard{Row.m_Service,
                         ShardIndex(Row.m_Part * ShardsPerRow + Index)};
    if (Entry.m_Owner == Self) {
      ++State.m_Owned;
      acquire(Shard, Entry, Now);
    } else if (Entry.m_FormerOwner == Self) {
      if (std::optional<Yield::Item> Item = makeYield(Shard, Entry))
        Yields[Entry.m_Owner].push_back(std::move(*Item));
    } else {
      m_Held.erase(Shard);
    }
  }
  m_Owned += State.m_Owned;
  for (auto &[NewOwner, Items] : Yields)
    m_Context->sendTo(NewOwner, Yield{Self, NewOwner, std::move(Items)});
}

void Ownership::acquire(const ShardRef &Shard, const ShardEntry &Entry,
                        TimePoint Now) {
  const auto Found = m_Held.find(Shard);
  if (Found != m_Held.end() && Found->second.m_Epoch == Entry.m_Epoch)
    return;
  HeldShard Held;
  Held.m_Epoch = Entry.m_Epoch;
  Held.m_FormerOwner = Entry.m_FormerOwner;
  advanceHandover(Shard, Held, Entry, Now);
  m_Held[Shard] = std::move(Held);
}

void Ownership::advanceHandover(const ShardRef &Shard, HeldShard &Held,
                                const ShardEntry &Entry, TimePoint Now) {
  if (Held.m_Active && Held.m_Resolved)
    return;
  const bool NoFormerOwner = Entry.m_FormerOwner.value() == 0;
  if (NoFormerOwner || m_Context->m_View.hasEnded(Entry.m_FormerOwner)) {
    Held.m_WaitingKeys.clear();
    Held.m_Resolved = true;
    activate(Shard, Held, Now);
    return;
  }
  const auto EarlyYield = m_EarlyYields.find(Shard);
  if (EarlyYield != m_EarlyYields.end()) {
    applyYield(Shard, Held, EarlyYield->second, Now);
    m_EarlyYields.erase(EarlyYield);
  }
  if (!enforced<Rule::YieldWait>())
    activate(Shard, Held, Now);
}

void Ownership::activate(const ShardRef &Shard, HeldShard &Held,
                         TimePoint Now) {
  if (Held.m_Active)
    return;
  Held.m_Active = true;
  Held.m_ActiveSince = Now;
  m_Context->m_Effects.push_back(GrantEpoch{Shard, Held.m_Epoch});
}

void Ownership::applyYield(const ShardRef &Shard, HeldShard &Held,
                           const ReceivedYield &Received, TimePoint Now) {
  if (Received.m_Epoch != Held.m_Epoch ||
      Received.m_From != Held.m_FormerOwner || Held.m_Resolved)
    return;
  std::unordered_set<KeyHash> Keys(Received.m_InFlight.begin(),
                                   Received.m_InFlight.end());
  if (Held.m_Active)
    std::erase_if(Held.m_WaitingKeys,
                  [&Keys](KeyHash Key) { return !Keys.contains(Key); });
  else
    Held.m_WaitingKeys = std::move(Keys);
  Held.m_Resolved = Held.m_WaitingKeys.empty();
  activate(Shard, Held, Now);
}

std::optional<Yield::Item> Ownership::makeYield(const ShardRef &Shard,
                                                const ShardEntry &Entry) const {
  const bool DrainFirst =
      m_Context->m_Options.m_Handover == HandoverMode::DrainThenSwitch;
  if (DrainFirst && !m_InFlight.empty(Shard))
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
    const ReceivedYield Received{.m_From = Message.m_From,
                                 .m_Epoch = Item.m_Epoch,
                                 .m_InFlight = Item.m_InFlight};
    const auto Found = m_Held.find(Item.m_Shard);
    if (Found != m_Held.end() && Found->second.m_Epoch >= Item.m_Epoch)
      applyYield(Item.m_Shard, Found->second, Received, Now);
    else
      m_EarlyYields[Item.m_Shard] = Received;
  }
}

void Ownership::onYieldRequest(const YieldRequest &Message,
                               const PeerAddress &From) {
  Yield Reply;
  Reply.m_From = m_Context->m_Session;
  Reply.m_To = Message.m_From;
  for (const ShardRef &Shard : Message.m_Shards) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (!Entry || Entry->m_Owner != Message.m_From)
      continue;
    if (std::optional<Yield::Item> Item = makeYield(Shard, *Entry))
      Reply.m_Items.push_back(std::move(*Item));
  }
  if (!Reply.m_Items.empty())
    m_Context->send(From, std::move(Reply));
}

void Ownership::onKeyFinished(const KeyFinished &Message) {
  const auto Found = m_Held.find(Message.m_Shard);
  if (Found == m_Held.end())
    return;
  HeldShard &Held = Found->second;
  if (!Held.m_Active || Held.m_Epoch != Message.m_Epoch ||
      Held.m_FormerOwner != Message.m_From)
    return;
  Held.m_WaitingKeys.erase(Message.m_Key);
  Held.m_Resolved = Held.m_Resolved || Held.m_WaitingKeys.empty();
}

void Ownership::orderStarted(const ShardRef &Shard, KeyHash Key) {
  m_InFlight.start(Shard, Key);
}

void Ownership::orderFinished(const ShardRef &Shard, KeyHash Key) {
  if (!m_InFlight.finish(Shard, Key))
    return;
  const SessionId Self = m_Context->m_Session;
  const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
  if (!Entry || Entry->m_Owner == Self || Entry->m_FormerOwner != Self)
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
  m_EarlyYields.clear();
  m_RowStates.clear();
  m_Owned = 0;
  m_YieldRequestAt = Never;
}

void Ownership::requestYields(TimePoint Now) {
  m_YieldRequestAt = Never;
  std::map<SessionId, std::vector<ShardRef>> Requests;
  std::map<SessionId, std::map<std::string, Row>> Rows;
  for (const auto &[Shard, Held] : m_Held) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (Held.m_Resolved || !Entry || Entry->m_Epoch != Held.m_Epoch ||
        Entry->m_Owner != m_Context->m_Session)
      continue;
    Requests[Held.m_FormerOwner].push_back(Shard);
    const RowKey Key =
        mapRowKey(Shard.m_Service, Shard.m_Shard.value() / ShardsPerRow);
    if (!Held.m_Active)
      if (const Row *Stored = m_Context->m_View.storedRow(Key))
        Rows[Held.m_FormerOwner][Key.value()] = *Stored;
  }
  for (auto &[FormerOwner, Shards] : Requests) {
    Changes MapRows;
    for (auto &[Key, Stored] : Rows[FormerOwner])
      MapRows.m_Rows.push_back(std::move(Stored));
    if (!MapRows.m_Rows.empty())
      m_Context->sendTo(FormerOwner, std::move(MapRows));
    m_Context->sendTo(FormerOwner,
                      YieldRequest{m_Context->m_Session, std::move(Shards)});
  }
  if (!Requests.empty())
    m_YieldRequestAt = Now + YieldRetryPeriod;
}

void Ownership::onTick(TimePoint Now) {
  if (Now >= m_YieldRequestAt)
    requestYields(Now);
}

Ownership::Check Ownership::check(const ShardRef &Shard, KeyHash Key) const {
  const auto Found = m_Held.find(Shard);
  if (Found == m_Held.end())
    return {.m_Reason = Reason::NotOwner, .m_Epoch = Epoch()};
  const HeldShard &Held = Found->second;
  const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
  const bool IsCurrent = Entry && Entry->m_Owner == m_Context->m_Session &&
                         Entry->m_Epoch == Held.m_Epoch;
  if (enforced<Rule::EpochCompare>() && !IsCurrent)
    return {.m_Reason = Reason::NotOwner, .m_Epoch = Epoch()};
  if (!Held.m_Active || Held.m_WaitingKeys.contains(Key))
    return {.m_Reason = Reason::HandoverPending, .m_Epoch = Held.m_Epoch};
  return {.m_Reason = Reason::None, .m_Epoch = Held.m_Epoch};
}

std::optional<TimePoint> Ownership::activeSince(const ShardRef &Shard) const {
  const auto Found = m_Held.find(Shard);
  const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
  if (Found == m_Held.end() || !Found->second.m_Active || !Entry ||
      Entry->m_Owner != m_Context->m_Session)
    return std::nullopt;
  return Found->second.m_ActiveSince;
}

SessionId Ownership::formerOwner(const ShardRef &Shard) const {
  const auto Found = m_Held.find(Shard);
  if (Found == m_Held.end() ||
      !m_Context->m_View.isLive(Found->second.m_FormerOwner))
    return SessionId();
  return Found->second.m_FormerOwner;
}

std::vector<std::pair<ShardRef, Epoch>> Ownership::settled() const {
  std::vector<std::pair<ShardRef, Epoch>> Result;
  for (const auto &[Shard, Held] : m_Held) {
    const ShardEntry *Entry = m_Context->m_View.findEntry(Shard);
    if (Held.m_Resolved && Entry && Entry->m_Owner == m_Context->m_Session &&
        Entry->m_Epoch == Held.m_Epoch && Entry->m_FormerOwner.value() != 0 &&
        m_Context->m_View.isLive(Entry->m_FormerOwner))
      Result.emplace_back(Shard, Held.m_Epoch);
  }
  return Result;
}

std::size_t Ownership::pendingCount() const {
  return std::ranges::count_if(
      m_Held, [](const auto &Item) { return !Item.second.m_Active; });
}

std::size_t Ownership::resolvingCount() const {
  return std::ranges::count_if(m_Held, [](const auto &Item) {
    return Item.second.m_Active && !Item.second.m_Resolved;
  });
}

} // namespace balsamwheel
