// Encodes messages to other daemons.
#include "adapters/peer_tcp/codec.h"
#include "adapters/peer_tcp/peer_generated.h"

#include <utility>

namespace balsamwheel::peer_tcp {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
template <typename T> using Ref = flatbuffers::Offset<T>;

/// The union field of a frame: type and table of its message.
using Content = std::pair<wire::Message, Ref<void>>;

template <typename Table> Content content(Ref<Table> Offset) {
  return {wire::MessageTraits<Table>::enum_value, Offset.Union()};
}

Ref<flatbuffers::Vector<std::uint8_t>> bytes(Builder &Out,
                                             const std::string &Value) {
  return Out.CreateVector(reinterpret_cast<const std::uint8_t *>(Value.data()),
                          Value.size());
}

/// Encodes each item of a list with \p Encode.
template <typename Table, typename Item, typename Function>
Ref<flatbuffers::Vector<Ref<Table>>>
list(Builder &Out, const std::vector<Item> &Items, Function Encode) {
  std::vector<Ref<Table>> Offsets;
  Offsets.reserve(Items.size());
  for (const Item &Value : Items)
    Offsets.push_back(Encode(Value));
  return Out.CreateVector(Offsets);
}

auto headers(Builder &Out,
             const std::vector<std::pair<std::string, std::string>> &Items) {
  return list<wire::Header>(Out, Items, [&](const auto &Item) {
    return wire::CreateHeader(Out, Out.CreateString(Item.first),
                              Out.CreateString(Item.second));
  });
}

auto shards(Builder &Out, const std::vector<ShardRef> &Items) {
  return list<wire::Shard>(Out, Items, [&](const ShardRef &Item) {
    return wire::CreateShard(Out, Out.CreateString(Item.m_Service.value()),
                             Item.m_Shard.value());
  });
}

Ref<wire::Meta> meta(Builder &Out, const RequestMeta &Value) {
  return wire::CreateMeta(Out, Out.CreateString(Value.m_Id.value()),
                          Out.CreateString(Value.m_Service.value()),
                          Out.CreateString(Value.m_Class.value()),
                          Out.CreateString(Value.m_Key), Value.m_Idempotent,
                          Value.m_Attempt, Value.m_FirstAttemptAge.count());
}

Ref<wire::HttpRequest> httpRequest(Builder &Out, const HttpRequest &Value) {
  return wire::CreateHttpRequest(
      Out, Out.CreateString(Value.m_Method), Out.CreateString(Value.m_Path),
      headers(Out, Value.m_Headers), bytes(Out, Value.m_Body),
      Value.m_BodyLength, Value.m_BodyStream);
}

Ref<wire::HttpAnswer> httpAnswer(Builder &Out, const HttpAnswer &Value) {
  return wire::CreateHttpAnswer(Out, Value.m_Status,
                                headers(Out, Value.m_Headers),
                                bytes(Out, Value.m_Body), Value.m_BodyLength,
                                Value.m_BodyHash, Value.m_BodyStream);
}

Content encodeOne(Builder &Out, const Hello &Value) {
  return content(wire::CreateHello(Out, Value.m_Version,
                                   Out.CreateString(Value.m_Listen.value())));
}

Content encodeOne(Builder &Out, const Heartbeat &Value) {
  return content(wire::CreateHeartbeat(
      Out, Value.m_Group, Value.m_Session.value(), Value.m_Sequence,
      Value.m_ConfigApplied.value(), Value.m_HeadVersionSeen,
      Value.m_Entry.empty() ? Ref<flatbuffers::String>()
                            : Out.CreateString(Value.m_Entry)));
}

Content encodeOne(Builder &Out, const HeartbeatAck &Value) {
  return content(wire::CreateHeartbeatAck(
      Out, Value.m_Group, Value.m_Session.value(), Value.m_SequenceCommitted,
      Value.m_GroupRowVersion.value(), Value.m_Head.value(), Value.m_Expelled,
      Value.m_NextHeartbeatIn.count()));
}

Content encodeOne(Builder &Out, const ExtendRequest &Value) {
  return content(wire::CreateExtendRequest(
      Out, Value.m_Session.value(), Value.m_Sequence, Value.m_SequenceCommitted,
      Value.m_Group, Value.m_GroupRowVersion.value(),
      Value.m_ConfigApplied.value(), Value.m_HeadVersionSeen));
}

Content encodeOne(Builder &Out, const ExtendReply &Value) {
  return content(wire::CreateExtendReply(Out, Value.m_Session.value(),
                                         Value.m_Witness.value(),
                                         Value.m_Sequence, Value.m_Granted));
}

Content encodeOne(Builder &Out, const PromiseRequest &Value) {
  return content(wire::CreatePromiseRequest(Out, Value.m_Subject.value(),
                                            Value.m_Sequence, Value.m_Group,
                                            Value.m_GroupRowVersion.value()));
}

Content encodeOne(Builder &Out, const PromiseReply &Value) {
  return content(wire::CreatePromiseReply(
      Out, Value.m_Subject.value(), Value.m_Witness.value(), Value.m_Sequence,
      Value.m_Group, Value.m_GroupRowVersion.value(), Value.m_Promised));
}

Content encodeOne(Builder &Out, const ChangesRequest &Value) {
  return content(wire::CreateChangesRequest(Out, Value.m_Head.value()));
}

Content encodeOne(Builder &Out, const Changes &Value) {
  const auto Rows = list<wire::Row>(Out, Value.m_Rows, [&](const Row &Item) {
    return wire::CreateRow(Out, Out.CreateString(Item.m_Key.value()),
                           Item.m_Version.value(),
                           Out.CreateString(Item.m_Value));
  });
  return content(wire::CreateChanges(Out, Value.m_Head.value(), Rows));
}

Ref<wire::YieldItem> yieldItem(Builder &Out, const Yield::Item &Item) {
  std::vector<std::uint64_t> Keys;
  Keys.reserve(Item.m_InFlight.size());
  for (const KeyHash &Key : Item.m_InFlight)
    Keys.push_back(Key.value());
  return wire::CreateYieldItem(Out,
                               Out.CreateString(Item.m_Shard.m_Service.value()),
                               Item.m_Shard.m_Shard.value(),
                               Item.m_Epoch.value(), Out.CreateVector(Keys));
}

Content encodeOne(Builder &Out, const Yield &Value) {
  const auto Items =
      list<wire::YieldItem>(Out, Value.m_Items, [&](const Yield::Item &Item) {
        return yieldItem(Out, Item);
      });
  return content(
      wire::CreateYield(Out, Value.m_From.value(), Value.m_To.value(), Items));
}

Content encodeOne(Builder &Out, const YieldRequest &Value) {
  return content(wire::CreateYieldRequest(Out, Value.m_From.value(),
                                          shards(Out, Value.m_Shards)));
}

Content encodeOne(Builder &Out, const YieldAck &Value) {
  return content(wire::CreateYieldAck(Out, Value.m_From.value(),
                                      shards(Out, Value.m_Shards)));
}

Content encodeOne(Builder &Out, const KeyFinished &Value) {
  return content(
      wire::CreateKeyFinished(Out, Value.m_From.value(),
                              Out.CreateString(Value.m_Shard.m_Service.value()),
                              Value.m_Shard.m_Shard.value(),
                              Value.m_Epoch.value(), Value.m_Key.value()));
}

Content encodeOne(Builder &Out, const OwnerReport &Value) {
  const auto Settled =
      list<wire::SettledShard>(Out, Value.m_Settled, [&](const auto &Item) {
        const auto &[Shard, Current] = Item;
        return wire::CreateSettledShard(
            Out, Out.CreateString(Shard.m_Service.value()),
            Shard.m_Shard.value(), Current.value());
      });
  const auto Hottest = list<wire::ShardLoad>(
      Out, Value.m_Hottest, [&](const OwnerReport::Load &Item) {
        return wire::CreateShardLoad(
            Out, Out.CreateString(Item.m_Shard.m_Service.value()),
            Item.m_Shard.m_Shard.value(), Item.m_Rate);
      });
  return content(wire::CreateOwnerReport(Out, Value.m_From.value(), Settled,
                                         Hottest, Value.m_TotalRate));
}

Content encodeOne(Builder &Out, const ForwardRequest &Value) {
  const auto Meta = meta(Out, Value.m_Meta);
  const auto Http = httpRequest(Out, Value.m_Http);
  return content(wire::CreateForwardRequest(
      Out, Meta, Http, Value.m_TimeLeft.count(), Value.m_Stream,
      Value.m_To.value(), Value.m_Epoch.value(), Value.m_ClearingQuery));
}

Content encodeOne(Builder &Out, const ForwardReceipt &Value) {
  return content(wire::CreateForwardReceipt(Out, Value.m_Stream));
}

Content encodeOne(Builder &Out, const ForwardReply &Value) {
  const auto Http = httpAnswer(Out, Value.m_Http);
  return content(wire::CreateForwardReply(
      Out, Value.m_Stream, static_cast<std::uint8_t>(Value.m_Outcome),
      static_cast<std::uint8_t>(Value.m_Reason), Value.m_RetryAfter.count(),
      Value.m_Owner.value(), Value.m_Epoch.value(), Value.m_MemoryAge.count(),
      Value.m_FormerOwner.value(), Http));
}

Content encodeOne(Builder &Out, const OutcomeQuery &Value) {
  return content(wire::CreateOutcomeQuery(
      Out, Value.m_Stream, meta(Out, Value.m_Meta), Value.m_To.value(),
      Value.m_ForwardStream, Value.m_AskedSessionsDigest));
}

Content encodeOne(Builder &Out, const ForwardCancel &Value) {
  return content(wire::CreateForwardCancel(Out, Value.m_Stream));
}

Content encodeOne(Builder &Out, const Probe &Value) {
  return content(wire::CreateProbe(Out, Value.m_Nonce));
}

Content encodeOne(Builder &Out, const ProbeReply &Value) {
  return content(wire::CreateProbeReply(Out, Value.m_Nonce));
}

Content encodeOne(Builder &Out, const BodyChunk &Value) {
  return content(wire::CreateBodyChunk(Out, Value.m_Stream, Value.m_Offset,
                                       bytes(Out, Value.m_Bytes), Value.m_Last,
                                       Value.m_Failed, Value.m_BodyHash));
}

Content encodeOne(Builder &Out, const BodyCredit &Value) {
  return content(wire::CreateBodyCredit(Out, Value.m_Stream, Value.m_Bytes));
}

Content encodeOne(Builder &Out, const BodyCancel &Value) {
  return content(wire::CreateBodyCancel(Out, Value.m_Stream));
}

/// Encodes the message inside nested variants.
template <typename... Alternatives>
Content encodeOne(Builder &Out, const std::variant<Alternatives...> &Value) {
  return std::visit([&](const auto &Inner) { return encodeOne(Out, Inner); },
                    Value);
}

} // namespace

std::vector<std::uint8_t> encode(const WireMessage &Message) {
  Builder Out;
  const auto [Type, Table] = encodeOne(Out, Message);
  Out.Finish(wire::CreateFrame(Out, Type, Table));
  const std::span<const std::uint8_t> Bytes = Out.GetBufferSpan();
  return {Bytes.begin(), Bytes.end()};
}

} // namespace balsamwheel::peer_tcp
