// Decodes frames from other daemons. The input is untrusted: it is verified
// first, and absent fields are decoded as empty.
#include "adapters/peer_tcp/codec.h"
#include "adapters/peer_tcp/error.h"
#include "adapters/peer_tcp/peer_generated.h"

#include <utility>

namespace balsamwheel::peer_tcp {

namespace {

/// Limits on the number and the nesting depth of tables in one frame.
constexpr flatbuffers::uoffset_t MaxVerifierTables = 1'000'000;
constexpr flatbuffers::uoffset_t MaxVerifierDepth = 16;

std::string text(const flatbuffers::String *Value) {
  return Value == nullptr ? std::string() : Value->str();
}

std::string bytes(const flatbuffers::Vector<std::uint8_t> *Value) {
  if (Value == nullptr)
    return {};
  return {reinterpret_cast<const char *>(Value->data()), Value->size()};
}

/// Decodes each table of a list with \p Decode.
template <typename Item, typename Tables, typename Function>
std::vector<Item> list(const Tables *Values, Function Decode) {
  std::vector<Item> Result;
  if (Values == nullptr)
    return Result;
  Result.reserve(Values->size());
  for (const auto *Value : *Values)
    Result.push_back(Decode(*Value));
  return Result;
}

template <typename Table> ShardRef shardRef(const Table &Value) {
  return {.m_Service = ServiceName(text(Value.service())),
          .m_Shard = ShardIndex(Value.shard())};
}

template <typename Headers> auto headers(const Headers *Values) {
  return list<std::pair<std::string, std::string>>(
      Values, [](const wire::Header &Item) {
        return std::pair(text(Item.name()), text(Item.value()));
      });
}

RequestMeta meta(const wire::Meta *Value) {
  if (Value == nullptr)
    return {};
  return {.m_Id = RequestId(text(Value->id())),
          .m_Service = ServiceName(text(Value->service())),
          .m_Class = ClassName(text(Value->class_name())),
          .m_Key = text(Value->key()),
          .m_Idempotent = Value->idempotent(),
          .m_Attempt = Value->attempt(),
          .m_FirstAttemptAge = Duration(Value->first_attempt_age())};
}

HttpRequest httpRequest(const wire::HttpRequest *Value) {
  if (Value == nullptr)
    return {};
  return {.m_Method = text(Value->method()),
          .m_Path = text(Value->path()),
          .m_Headers = headers(Value->headers()),
          .m_Body = bytes(Value->body()),
          .m_BodyLength = Value->total_bytes(),
          .m_BodyStream = Value->rest_stream()};
}

HttpAnswer httpAnswer(const wire::HttpAnswer *Value) {
  if (Value == nullptr)
    return {};
  return {.m_Status = Value->status(),
          .m_Headers = headers(Value->headers()),
          .m_Body = bytes(Value->body()),
          .m_BodyLength = Value->total_bytes(),
          .m_BodyHash = Value->whole_hash(),
          .m_BodyStream = Value->rest_stream()};
}

Hello fromWire(const wire::Hello &Value) {
  return {.m_Version = Value.version(),
          .m_Listen = PeerAddress(text(Value.listen()))};
}

Heartbeat fromWire(const wire::Heartbeat &Value) {
  return {.m_Group = Value.group(),
          .m_Session = SessionId(Value.session()),
          .m_Sequence = Value.sequence(),
          .m_ConfigApplied = ConfigVersion(Value.config_applied()),
          .m_HeadVersionSeen = Value.map_seen(),
          .m_Entry = text(Value.entry())};
}

HeartbeatAck fromWire(const wire::HeartbeatAck &Value) {
  return {.m_Group = Value.group(),
          .m_Session = SessionId(Value.session()),
          .m_SequenceCommitted = Value.sequence_committed(),
          .m_GroupRowVersion = RowVersion(Value.group_row()),
          .m_Head = RowVersion(Value.head()),
          .m_Expelled = Value.expelled(),
          .m_NextHeartbeatIn = Duration(Value.next_beat_in())};
}

ExtendRequest fromWire(const wire::ExtendRequest &Value) {
  return {.m_Session = SessionId(Value.session()),
          .m_Sequence = Value.sequence(),
          .m_SequenceCommitted = Value.sequence_committed(),
          .m_Group = Value.group(),
          .m_GroupRowVersion = RowVersion(Value.group_row()),
          .m_ConfigApplied = ConfigVersion(Value.config_applied()),
          .m_HeadVersionSeen = Value.map_seen()};
}

ExtendReply fromWire(const wire::ExtendReply &Value) {
  return {.m_Session = SessionId(Value.session()),
          .m_Witness = SessionId(Value.witness()),
          .m_Sequence = Value.sequence(),
          .m_Granted = Value.granted()};
}

PromiseRequest fromWire(const wire::PromiseRequest &Value) {
  return {.m_Subject = SessionId(Value.subject()),
          .m_Sequence = Value.sequence(),
          .m_Group = Value.group(),
          .m_GroupRowVersion = RowVersion(Value.group_row())};
}

PromiseReply fromWire(const wire::PromiseReply &Value) {
  return {.m_Subject = SessionId(Value.subject()),
          .m_Witness = SessionId(Value.witness()),
          .m_Sequence = Value.sequence(),
          .m_Group = Value.group(),
          .m_GroupRowVersion = RowVersion(Value.group_row()),
          .m_Promised = Value.promised()};
}

ChangesRequest fromWire(const wire::ChangesRequest &Value) {
  return {.m_Head = RowVersion(Value.head())};
}

Changes fromWire(const wire::Changes &Value) {
  return {.m_Head = RowVersion(Value.head()),
          .m_Rows = list<Row>(Value.rows(), [](const wire::Row &Item) {
            return Row{.m_Key = RowKey(text(Item.key())),
                       .m_Version = RowVersion(Item.version()),
                       .m_Value = text(Item.value())};
          })};
}

Yield::Item yieldItem(const wire::YieldItem &Value) {
  Yield::Item Result{.m_Shard = shardRef(Value),
                     .m_Epoch = Epoch(Value.epoch()),
                     .m_InFlight = {}};
  if (Value.in_flight() != nullptr)
    for (const std::uint64_t Key : *Value.in_flight())
      Result.m_InFlight.emplace_back(Key);
  return Result;
}

Yield fromWire(const wire::Yield &Value) {
  return {.m_From = SessionId(Value.sender()),
          .m_To = SessionId(Value.receiver()),
          .m_Items = list<Yield::Item>(Value.items(), yieldItem)};
}

YieldRequest fromWire(const wire::YieldRequest &Value) {
  return {.m_From = SessionId(Value.sender()),
          .m_Shards = list<ShardRef>(Value.shards(), shardRef<wire::Shard>)};
}

YieldAck fromWire(const wire::YieldAck &Value) {
  return {.m_From = SessionId(Value.sender()),
          .m_Shards = list<ShardRef>(Value.shards(), shardRef<wire::Shard>)};
}

KeyFinished fromWire(const wire::KeyFinished &Value) {
  return {.m_From = SessionId(Value.sender()),
          .m_Shard = shardRef(Value),
          .m_Epoch = Epoch(Value.epoch()),
          .m_Key = KeyHash(Value.key())};
}

OwnerReport fromWire(const wire::OwnerReport &Value) {
  OwnerReport Result;
  Result.m_From = SessionId(Value.sender());
  Result.m_Settled = list<std::pair<ShardRef, Epoch>>(
      Value.settled(), [](const wire::SettledShard &Item) {
        return std::pair(shardRef(Item), Epoch(Item.epoch()));
      });
  Result.m_Hottest =
      list<OwnerReport::Load>(Value.hottest(), [](const wire::ShardLoad &Item) {
        return OwnerReport::Load{.m_Shard = shardRef(Item),
                                 .m_Rate = Item.rate()};
      });
  Result.m_TotalRate = Value.total_rate();
  return Result;
}

ForwardRequest fromWire(const wire::ForwardRequest &Value) {
  return {.m_Meta = meta(Value.meta()),
          .m_Http = httpRequest(Value.http()),
          .m_TimeLeft = Duration(Value.time_left()),
          .m_Stream = Value.stream(),
          .m_To = SessionId(Value.receiver()),
          .m_Epoch = Epoch(Value.epoch()),
          .m_ClearingQuery = Value.query()};
}

ForwardReceipt fromWire(const wire::ForwardReceipt &Value) {
  return {.m_Stream = Value.stream()};
}

ForwardReply fromWire(const wire::ForwardReply &Value) {
  return {.m_Stream = Value.stream(),
          .m_Outcome = static_cast<Outcome>(Value.outcome()),
          .m_Reason = static_cast<Reason>(Value.reason()),
          .m_RetryAfter = Duration(Value.retry_after()),
          .m_Owner = SessionId(Value.owner()),
          .m_Epoch = Epoch(Value.epoch()),
          .m_MemoryAge = Duration(Value.memory_age()),
          .m_FormerOwner = SessionId(Value.former()),
          .m_Http = httpAnswer(Value.http())};
}

OutcomeQuery fromWire(const wire::OutcomeQuery &Value) {
  return {.m_Stream = Value.stream(),
          .m_Meta = meta(Value.meta()),
          .m_To = SessionId(Value.receiver()),
          .m_ForwardStream = Value.forward(),
          .m_AskedSessionsDigest = Value.asked()};
}

ForwardCancel fromWire(const wire::ForwardCancel &Value) {
  return {.m_Stream = Value.stream()};
}

Probe fromWire(const wire::Probe &Value) { return {.m_Nonce = Value.nonce()}; }

ProbeReply fromWire(const wire::ProbeReply &Value) {
  return {.m_Nonce = Value.nonce()};
}

BodyChunk fromWire(const wire::BodyChunk &Value) {
  return {.m_Stream = Value.stream(),
          .m_Offset = Value.offset(),
          .m_Bytes = bytes(Value.bytes()),
          .m_Last = Value.last(),
          .m_Failed = Value.failed(),
          .m_BodyHash = Value.whole_hash()};
}

BodyCredit fromWire(const wire::BodyCredit &Value) {
  return {.m_Stream = Value.stream(), .m_Bytes = Value.bytes()};
}

BodyCancel fromWire(const wire::BodyCancel &Value) {
  return {.m_Stream = Value.stream()};
}

bool fieldsInRange(const Hello &Value) {
  return !Value.m_Listen.value().empty();
}

bool fieldsInRange(const ForwardReply &Value) {
  return Value.m_Outcome <= Outcome::Wait &&
         Value.m_Reason <= Reason::Cancelled;
}

bool fieldsInRange(const ForwardRequest &Value) {
  return Value.m_Meta.m_Id.value().size() <= MaxRequestIdLength &&
         Value.m_Http.m_Body.size() <= InlineBodyLimit;
}

bool fieldsInRange(const OutcomeQuery &Value) {
  return Value.m_Meta.m_Id.value().size() <= MaxRequestIdLength;
}

template <typename T> bool fieldsInRange(const T & /*Value*/) { return true; }

/// Wraps a message in the variant that it belongs to, and that in PeerMessage.
template <typename MessageVariant, typename T> WireMessage wrap(T Value) {
  return PeerMessage(MessageVariant(std::move(Value)));
}

template <typename T> WireMessage wrapAny(T Value) {
  if constexpr (std::is_same_v<T, Hello>)
    return WireMessage(std::move(Value));
  else if constexpr (std::is_constructible_v<ControlMessage, T>)
    return wrap<ControlMessage>(std::move(Value));
  else if constexpr (std::is_constructible_v<RequestMessage, T>)
    return wrap<RequestMessage>(std::move(Value));
  else
    return wrap<BodyMessage>(std::move(Value));
}

template <typename Table>
std::error_code decodeAs(const wire::Frame &Frame, WireMessage &Message) {
  auto Value = fromWire(*static_cast<const Table *>(Frame.message()));
  if (!fieldsInRange(Value))
    return TransportError::InvalidField;
  Message = wrapAny(std::move(Value));
  return {};
}

std::error_code decodeFrame(const wire::Frame &Frame, WireMessage &Message) {
  switch (Frame.message_type()) {
  case wire::Message::Hello:
    return decodeAs<wire::Hello>(Frame, Message);
  case wire::Message::Heartbeat:
    return decodeAs<wire::Heartbeat>(Frame, Message);
  case wire::Message::HeartbeatAck:
    return decodeAs<wire::HeartbeatAck>(Frame, Message);
  case wire::Message::ExtendRequest:
    return decodeAs<wire::ExtendRequest>(Frame, Message);
  case wire::Message::ExtendReply:
    return decodeAs<wire::ExtendReply>(Frame, Message);
  case wire::Message::PromiseRequest:
    return decodeAs<wire::PromiseRequest>(Frame, Message);
  case wire::Message::PromiseReply:
    return decodeAs<wire::PromiseReply>(Frame, Message);
  case wire::Message::ChangesRequest:
    return decodeAs<wire::ChangesRequest>(Frame, Message);
  case wire::Message::Changes:
    return decodeAs<wire::Changes>(Frame, Message);
  case wire::Message::Yield:
    return decodeAs<wire::Yield>(Frame, Message);
  case wire::Message::YieldRequest:
    return decodeAs<wire::YieldRequest>(Frame, Message);
  case wire::Message::YieldAck:
    return decodeAs<wire::YieldAck>(Frame, Message);
  case wire::Message::KeyFinished:
    return decodeAs<wire::KeyFinished>(Frame, Message);
  case wire::Message::OwnerReport:
    return decodeAs<wire::OwnerReport>(Frame, Message);
  case wire::Message::ForwardRequest:
    return decodeAs<wire::ForwardRequest>(Frame, Message);
  case wire::Message::ForwardReceipt:
    return decodeAs<wire::ForwardReceipt>(Frame, Message);
  case wire::Message::ForwardReply:
    return decodeAs<wire::ForwardReply>(Frame, Message);
  case wire::Message::OutcomeQuery:
    return decodeAs<wire::OutcomeQuery>(Frame, Message);
  case wire::Message::ForwardCancel:
    return decodeAs<wire::ForwardCancel>(Frame, Message);
  case wire::Message::Probe:
    return decodeAs<wire::Probe>(Frame, Message);
  case wire::Message::ProbeReply:
    return decodeAs<wire::ProbeReply>(Frame, Message);
  case wire::Message::BodyChunk:
    return decodeAs<wire::BodyChunk>(Frame, Message);
  case wire::Message::BodyCredit:
    return decodeAs<wire::BodyCredit>(Frame, Message);
  case wire::Message::BodyCancel:
    return decodeAs<wire::BodyCancel>(Frame, Message);
  case wire::Message::NONE:
    break;
  }
  return TransportError::MalformedFrame;
}

} // namespace

std::error_code decode(std::span<const std::uint8_t> Bytes,
                       WireMessage &Message) {
  if (Bytes.size() > MaxFrameBytes)
    return TransportError::FrameTooLarge;
  flatbuffers::Verifier FrameVerifier(Bytes.data(), Bytes.size(),
                                      MaxVerifierDepth, MaxVerifierTables);
  if (!wire::VerifyFrameBuffer(FrameVerifier))
    return TransportError::MalformedFrame;
  const wire::Frame &Frame = *wire::GetFrame(Bytes.data());
  if (Frame.message() == nullptr)
    return TransportError::MalformedFrame;
  return decodeFrame(Frame, Message);
}

} // namespace balsamwheel::peer_tcp
