// Encoding half of the peer codec.
#include "adapters/peer_tcp/codec.h"
#include "adapters/peer_tcp/peer_generated.h"

#include <utility>

namespace balsamwheel::peer_tcp {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T> using Ref = flatbuffers::Offset<T>;

/// The union member of a frame: its type tag and its table.
using Content = std::pair<wire::Message, Ref<void>>;

template <typename Table> Content content(Ref<Table> Offset) {
  return {wire::MessageTraits<Table>::enum_value, Offset.Union()};
}

Ref<flatbuffers::Vector<std::uint8_t>> bytes(Builder &To,
                                             const std::string &Value) {
  return To.CreateVector(reinterpret_cast<const std::uint8_t *>(Value.data()),
                         Value.size());
}

/// Encodes each item of a list with \p Encode.
template <typename Table, typename Item, typename Function>
Ref<flatbuffers::Vector<Ref<Table>>>
list(Builder &To, const std::vector<Item> &Items, Function Encode) {
  std::vector<Ref<Table>> Offsets;
  Offsets.reserve(Items.size());
  for (const Item &Value : Items)
    Offsets.push_back(Encode(Value));
  return To.CreateVector(Offsets);
}

auto headers(Builder &To,
             const std::vector<std::pair<std::string, std::string>> &Items) {
  return list<wire::Header>(To, Items, [&](const auto &Item) {
    return wire::CreateHeader(To, To.CreateString(Item.first),
                              To.CreateString(Item.second));
  });
}

auto shards(Builder &To, const std::vector<ShardRef> &Items) {
  return list<wire::Shard>(To, Items, [&](const ShardRef &Item) {
    return wire::CreateShard(To, To.CreateString(Item.m_Service.value()),
                             Item.m_Shard.value());
  });
}

Ref<wire::Meta> meta(Builder &To, const RequestMeta &Value) {
  return wire::CreateMeta(To, To.CreateString(Value.m_Id.value()),
                          To.CreateString(Value.m_Service.value()),
                          To.CreateString(Value.m_Class.value()),
                          To.CreateString(Value.m_Key), Value.m_Idempotent,
                          Value.m_Attempt, Value.m_FirstAttemptAge.count());
}

Ref<wire::HttpRequest> httpRequest(Builder &To, const HttpRequest &Value) {
  return wire::CreateHttpRequest(
      To, To.CreateString(Value.m_Method), To.CreateString(Value.m_Path),
      headers(To, Value.m_Headers), bytes(To, Value.m_Body), Value.m_BodyLength,
      Value.m_BodyStream);
}

Ref<wire::HttpAnswer> httpAnswer(Builder &To, const HttpAnswer &Value) {
  return wire::CreateHttpAnswer(
      To, Value.m_Status, headers(To, Value.m_Headers), bytes(To, Value.m_Body),
      Value.m_BodyLength, Value.m_BodyHash, Value.m_BodyStream);
}

Content encodeOne(Builder &To, const Hello &Value) {
  return content(wire::CreateHello(To, Value.m_Version,
                                   To.CreateString(Value.m_Listen.value())));
}

Content encodeOne(Builder &To, const Heartbeat &Value) {
  return content(wire::CreateHeartbeat(
      To, Value.m_Group, Value.m_Session.value(), Value.m_Sequence,
      Value.m_ConfigApplied.value(), Value.m_MapSeen,
      Value.m_Entry.empty() ? Ref<flatbuffers::String>()
                            : To.CreateString(Value.m_Entry)));
}

Content encodeOne(Builder &To, const HeartbeatAck &Value) {
  return content(wire::CreateHeartbeatAck(
      To, Value.m_Group, Value.m_Session.value(), Value.m_SequenceCommitted,
      Value.m_GroupRow.value(), Value.m_Head.value(), Value.m_Expelled,
      Value.m_NextHeartbeatIn.count()));
}

Content encodeOne(Builder &To, const ExtendRequest &Value) {
  return content(wire::CreateExtendRequest(
      To, Value.m_Session.value(), Value.m_Sequence, Value.m_SequenceCommitted,
      Value.m_Group, Value.m_GroupRow.value(), Value.m_ConfigApplied.value(),
      Value.m_MapSeen));
}

Content encodeOne(Builder &To, const ExtendReply &Value) {
  return content(wire::CreateExtendReply(To, Value.m_Session.value(),
                                         Value.m_Witness.value(),
                                         Value.m_Sequence, Value.m_Granted));
}

Content encodeOne(Builder &To, const PromiseRequest &Value) {
  return content(wire::CreatePromiseRequest(To, Value.m_Subject.value(),
                                            Value.m_Sequence, Value.m_Group,
                                            Value.m_GroupRow.value()));
}

Content encodeOne(Builder &To, const PromiseReply &Value) {
  return content(wire::CreatePromiseReply(
      To, Value.m_Subject.value(), Value.m_Witness.value(), Value.m_Sequence,
      Value.m_Group, Value.m_GroupRow.value(), Value.m_Promised));
}

Content encodeOne(Builder &To, const ChangesRequest &Value) {
  return content(wire::CreateChangesRequest(To, Value.m_Head.value()));
}

Content encodeOne(Builder &To, const Changes &Value) {
  const auto Rows = list<wire::Row>(To, Value.m_Rows, [&](const Row &Item) {
    return wire::CreateRow(To, To.CreateString(Item.m_Key.value()),
                           Item.m_Version.value(),
                           To.CreateString(Item.m_Value));
  });
  return content(wire::CreateChanges(To, Value.m_Head.value(), Rows));
}

Ref<wire::YieldItem> yieldItem(Builder &To, const Yield::Item &Item) {
  std::vector<std::uint64_t> Keys;
  Keys.reserve(Item.m_InFlight.size());
  for (const KeyHash &Key : Item.m_InFlight)
    Keys.push_back(Key.value());
  return wire::CreateYieldItem(To,
                               To.CreateString(Item.m_Shard.m_Service.value()),
                               Item.m_Shard.m_Shard.value(),
                               Item.m_Epoch.value(), To.CreateVector(Keys));
}

Content encodeOne(Builder &To, const Yield &Value) {
  const auto Items =
      list<wire::YieldItem>(To, Value.m_Items, [&](const Yield::Item &Item) {
        return yieldItem(To, Item);
      });
  return content(
      wire::CreateYield(To, Value.m_From.value(), Value.m_To.value(), Items));
}

Content encodeOne(Builder &To, const YieldRequest &Value) {
  return content(wire::CreateYieldRequest(To, Value.m_From.value(),
                                          shards(To, Value.m_Shards)));
}

Content encodeOne(Builder &To, const YieldAck &Value) {
  return content(wire::CreateYieldAck(To, Value.m_From.value(),
                                      shards(To, Value.m_Shards)));
}

Content encodeOne(Builder &To, const KeyFinished &Value) {
  return content(
      wire::CreateKeyFinished(To, Value.m_From.value(),
                              To.CreateString(Value.m_Shard.m_Service.value()),
                              Value.m_Shard.m_Shard.value(),
                              Value.m_Epoch.value(), Value.m_Key.value()));
}

Content encodeOne(Builder &To, const OwnerReport &Value) {
  const auto Settled =
      list<wire::SettledShard>(To, Value.m_Settled, [&](const auto &Item) {
        const auto &[Shard, Current] = Item;
        return wire::CreateSettledShard(
            To, To.CreateString(Shard.m_Service.value()), Shard.m_Shard.value(),
            Current.value());
      });
  const auto Hottest = list<wire::ShardLoad>(
      To, Value.m_Hottest, [&](const OwnerReport::Load &Item) {
        return wire::CreateShardLoad(
            To, To.CreateString(Item.m_Shard.m_Service.value()),
            Item.m_Shard.m_Shard.value(), Item.m_Rate);
      });
  return content(wire::CreateOwnerReport(To, Value.m_From.value(), Settled,
                                         Hottest, Value.m_TotalRate));
}

Content encodeOne(Builder &To, const ForwardRequest &Value) {
  const auto Meta = meta(To, Value.m_Meta);
  const auto Http = httpRequest(To, Value.m_Http);
  return content(wire::CreateForwardRequest(
      To, Meta, Http, Value.m_TimeLeft.count(), Value.m_Stream,
      Value.m_To.value(), Value.m_Epoch.value(), Value.m_ClearingQuery));
}

Content encodeOne(Builder &To, const ForwardReceipt &Value) {
  return content(wire::CreateForwardReceipt(To, Value.m_Stream));
}

Content encodeOne(Builder &To, const ForwardReply &Value) {
  const auto Http = httpAnswer(To, Value.m_Http);
  return content(wire::CreateForwardReply(
      To, Value.m_Stream, static_cast<std::uint8_t>(Value.m_Outcome),
      static_cast<std::uint8_t>(Value.m_Reason), Value.m_RetryAfter.count(),
      Value.m_Owner.value(), Value.m_Epoch.value(), Value.m_MemoryAge.count(),
      Value.m_FormerOwner.value(), Http));
}

Content encodeOne(Builder &To, const OutcomeQuery &Value) {
  return content(wire::CreateOutcomeQuery(
      To, Value.m_Stream, meta(To, Value.m_Meta), Value.m_To.value(),
      Value.m_ForwardStream, Value.m_AskedSessionsDigest));
}

Content encodeOne(Builder &To, const ForwardCancel &Value) {
  return content(wire::CreateForwardCancel(To, Value.m_Stream));
}

Content encodeOne(Builder &To, const Probe &Value) {
  return content(wire::CreateProbe(To, Value.m_Nonce));
}

Content encodeOne(Builder &To, const ProbeReply &Value) {
  return content(wire::CreateProbeReply(To, Value.m_Nonce));
}

Content encodeOne(Builder &To, const BodyChunk &Value) {
  return content(wire::CreateBodyChunk(To, Value.m_Stream, Value.m_Offset,
                                       bytes(To, Value.m_Bytes), Value.m_Last,
                                       Value.m_Failed, Value.m_BodyHash));
}

Content encodeOne(Builder &To, const BodyCredit &Value) {
  return content(wire::CreateBodyCredit(To, Value.m_Stream, Value.m_Bytes));
}

Content encodeOne(Builder &To, const BodyCancel &Value) {
  return content(wire::CreateBodyCancel(To, Value.m_Stream));
}

/// Descends through nested variants to the message itself.
template <typename... Alternatives>
Content encodeOne(Builder &To, const std::variant<Alternatives...> &Value) {
  return std::visit([&](const auto &Inner) { return encodeOne(To, Inner); },
                    Value);
}

} // namespace

std::vector<std::uint8_t> encode(const WireMessage &Message) {
  Builder To;
  const auto [Type, Table] = encodeOne(To, Message);
  To.Finish(wire::CreateFrame(To, Type, Table));
  const std::span<const std::uint8_t> Bytes = To.GetBufferSpan();
  return {Bytes.begin(), Bytes.end()};
}

} // namespace balsamwheel::peer_tcp
