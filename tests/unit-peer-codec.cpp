// Tests the peer codec: messages are unchanged by a round trip, corrupted
// frames are rejected.
#include "adapters/peer_tcp/codec.h"
#include "adapters/peer_tcp/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>
#include <utility>

using namespace balsamwheel;
using namespace balsamwheel::peer_tcp;

namespace {

// Generators for the types of message fields. No generator always yields the
// default value, so that a field that the codec omits is detected.
template <typename T> T any() { return *rc::gen::nonZero<T>(); }

template <> bool any<bool>() { return *rc::gen::arbitrary<bool>(); }

template <> double any<double>() { return *rc::gen::inRange(1, 1000) / 8.0; }

template <> std::string any<std::string>() {
  return *rc::gen::nonEmpty(
      rc::gen::resize(20, rc::gen::arbitrary<std::string>()));
}

template <> Duration any<Duration>() { return Duration(any<std::int64_t>()); }

template <typename Id> Id anyId() { return Id(any<typename Id::value_type>()); }

template <typename T, typename Function>
std::vector<T> anyList(Function Generate) {
  std::vector<T> Result;
  for (int Count = *rc::gen::inRange(1, 4); Count > 0; --Count)
    Result.push_back(Generate());
  return Result;
}

ShardRef anyShard() { return {anyId<ServiceName>(), anyId<ShardIndex>()}; }

std::vector<std::pair<std::string, std::string>> anyHeaders() {
  return anyList<std::pair<std::string, std::string>>(
      [] { return std::pair(any<std::string>(), any<std::string>()); });
}

RequestMeta anyMeta() {
  return {anyId<RequestId>(), anyId<ServiceName>(), anyId<ClassName>(),
          any<std::string>(), any<bool>(),          any<std::uint32_t>(),
          any<Duration>()};
}

HttpRequest anyHttpRequest() {
  return {any<std::string>(), any<std::string>(),   anyHeaders(),
          any<std::string>(), any<std::uint64_t>(), any<std::uint64_t>()};
}

HttpAnswer anyHttpAnswer() {
  return {any<std::uint16_t>(), anyHeaders(),         any<std::string>(),
          any<std::uint64_t>(), any<std::uint64_t>(), any<std::uint64_t>()};
}

template <typename T> T anyMessage();

template <> Heartbeat anyMessage() {
  return {any<std::uint32_t>(),   anyId<SessionId>(),   any<std::uint64_t>(),
          anyId<ConfigVersion>(), any<std::uint64_t>(), any<std::string>()};
}

template <> HeartbeatAck anyMessage() {
  return {any<std::uint32_t>(), anyId<SessionId>(),  any<std::uint64_t>(),
          anyId<RowVersion>(),  anyId<RowVersion>(), any<bool>(),
          any<Duration>()};
}

template <> ExtendRequest anyMessage() {
  return {anyId<SessionId>(),   any<std::uint64_t>(), any<std::uint64_t>(),
          any<std::uint32_t>(), anyId<RowVersion>(),  anyId<ConfigVersion>(),
          any<std::uint64_t>()};
}

template <> ExtendReply anyMessage() {
  return {anyId<SessionId>(), anyId<SessionId>(), any<std::uint64_t>(),
          any<bool>()};
}

template <> PromiseRequest anyMessage() {
  return {anyId<SessionId>(), any<std::uint64_t>(), any<std::uint32_t>(),
          anyId<RowVersion>()};
}

template <> PromiseReply anyMessage() {
  return {anyId<SessionId>(),   anyId<SessionId>(),  any<std::uint64_t>(),
          any<std::uint32_t>(), anyId<RowVersion>(), any<bool>()};
}

template <> ChangesRequest anyMessage() { return {anyId<RowVersion>()}; }

template <> Changes anyMessage() {
  return {anyId<RowVersion>(), anyList<Row>([] {
            return Row{anyId<RowKey>(), anyId<RowVersion>(),
                       any<std::string>()};
          })};
}

template <> Yield anyMessage() {
  return {anyId<SessionId>(), anyId<SessionId>(), anyList<Yield::Item>([] {
            return Yield::Item{anyShard(), anyId<Epoch>(),
                               anyList<KeyHash>(anyId<KeyHash>)};
          })};
}

template <> YieldRequest anyMessage() {
  return {anyId<SessionId>(), anyList<ShardRef>(anyShard)};
}

template <> YieldAck anyMessage() {
  return {anyId<SessionId>(), anyList<ShardRef>(anyShard)};
}

template <> KeyFinished anyMessage() {
  return {anyId<SessionId>(), anyShard(), anyId<Epoch>(), anyId<KeyHash>()};
}

template <> OwnerReport anyMessage() {
  return {anyId<SessionId>(), anyList<std::pair<ShardRef, Epoch>>([] {
            return std::pair(anyShard(), anyId<Epoch>());
          }),
          anyList<OwnerReport::Load>(
              [] { return OwnerReport::Load{anyShard(), any<double>()}; }),
          any<double>()};
}

template <> ForwardRequest anyMessage() {
  return {anyMeta(),           anyHttpRequest(),
          any<Duration>(),     any<std::uint64_t>(),
          anyId<SessionId>(),  anyId<Epoch>(),
          any<std::uint64_t>()};
}

template <> ForwardReceipt anyMessage() { return {any<std::uint64_t>()}; }

template <> ForwardReply anyMessage() {
  return {any<std::uint64_t>(), Outcome::NotRun,    Reason::Overloaded,
          any<Duration>(),      anyId<SessionId>(), anyId<Epoch>(),
          any<Duration>(),      anyId<SessionId>(), anyHttpAnswer()};
}

template <> OutcomeQuery anyMessage() {
  return {any<std::uint64_t>(), anyMeta(), anyId<SessionId>(),
          any<std::uint64_t>(), any<std::uint64_t>()};
}

template <> ForwardCancel anyMessage() { return {any<std::uint64_t>()}; }

template <> Probe anyMessage() { return {any<std::uint64_t>()}; }

template <> ProbeReply anyMessage() { return {any<std::uint64_t>()}; }

template <> BodyChunk anyMessage() {
  return {any<std::uint64_t>(), any<std::uint64_t>(), any<std::string>(),
          any<bool>(),          any<bool>(),          any<std::uint64_t>()};
}

template <> BodyCredit anyMessage() {
  return {any<std::uint64_t>(), any<std::uint64_t>()};
}

template <> BodyCancel anyMessage() { return {any<std::uint64_t>()}; }

/// Encodes and decodes one message and compares all fields.
template <typename MessageVariant, typename Message>
bool roundTripKeepsFields() {
  const auto Sent = anyMessage<Message>();
  WireMessage Decoded;
  if (decode(encode(PeerMessage(MessageVariant(Sent))), Decoded))
    return false;
  const auto &Received =
      std::get<MessageVariant>(std::get<PeerMessage>(Decoded));
  return std::get<Message>(Received) == Sent;
}

template <typename MessageVariant, typename Message> void checkMessage() {
  CHECK(rc::check([] {
    const bool Same = roundTripKeepsFields<MessageVariant, Message>();
    RC_ASSERT(Same);
  }));
}

template <typename MessageVariant, std::size_t... Index>
void checkMessages(std::index_sequence<Index...> /*Members*/) {
  (checkMessage<MessageVariant,
                std::variant_alternative_t<Index, MessageVariant>>(),
   ...);
}

template <typename MessageVariant> void checkMessages() {
  checkMessages<MessageVariant>(
      std::make_index_sequence<std::variant_size_v<MessageVariant>>());
}

} // namespace

TEST_CASE("a round trip preserves all fields of all control messages") {
  checkMessages<ControlMessage>();
}

TEST_CASE("a round trip preserves all fields of all request messages") {
  checkMessages<RequestMessage>();
}

TEST_CASE("a round trip preserves all fields of all body messages") {
  checkMessages<BodyMessage>();
}

TEST_CASE("a corrupted frame is rejected or decodes to a valid message") {
  CHECK(rc::check("one byte changed", [] {
    auto Frame =
        encode(PeerMessage(RequestMessage(anyMessage<ForwardRequest>())));
    const auto Index = *rc::gen::inRange<std::size_t>(0, Frame.size());
    Frame.at(Index) = *rc::gen::arbitrary<std::uint8_t>();
    WireMessage Decoded;
    if (!decode(Frame, Decoded))
      RC_ASSERT(!encode(Decoded).empty());
  }));
  CHECK(rc::check("truncated", [] {
    const auto Frame =
        encode(PeerMessage(RequestMessage(anyMessage<OutcomeQuery>())));
    const auto Length = *rc::gen::inRange<std::size_t>(0, 8);
    WireMessage Decoded;
    RC_ASSERT(decode({Frame.data(), Length}, Decoded) ==
              TransportError::MalformedFrame);
  }));
}

TEST_CASE("fields out of range are rejected") {
  ForwardReply Reply;
  Reply.m_Outcome = static_cast<Outcome>(200);
  WireMessage Decoded;
  CHECK(decode(encode(PeerMessage(RequestMessage(Reply))), Decoded) ==
        TransportError::InvalidField);

  OutcomeQuery Query;
  Query.m_Meta.m_Id = RequestId(std::string(MaxRequestIdLength + 1, 'r'));
  CHECK(decode(encode(PeerMessage(RequestMessage(Query))), Decoded) ==
        TransportError::InvalidField);
}

TEST_CASE("an empty frame is rejected") {
  WireMessage Decoded;
  CHECK(decode({}, Decoded) == TransportError::MalformedFrame);
}
