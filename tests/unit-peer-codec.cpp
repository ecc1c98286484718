// The peer codec: whole messages come back, damaged frames are refused.
#include "adapters/peer_tcp/codec.h"
#include "adapters/peer_tcp/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace balsamwheel::peer_tcp;

namespace {

/// Encodes, decodes and encodes again; equal bytes mean nothing was lost.
bool survives(const WireMessage &Message) {
  const std::vector<std::uint8_t> Frame = encode(Message);
  WireMessage Decoded;
  if (decode(Frame, Decoded))
    return false;
  return encode(Decoded) == Frame && Decoded.index() == Message.index();
}

ShardRef anyShard() {
  return {.m_Service = ServiceName(*rc::gen::arbitrary<std::string>()),
          .m_Shard = ShardIndex(*rc::gen::arbitrary<std::uint32_t>())};
}

std::uint64_t anyNumber() { return *rc::gen::arbitrary<std::uint64_t>(); }

std::string anyText() { return *rc::gen::arbitrary<std::string>(); }

std::string shortText() {
  return *rc::gen::resize(static_cast<int>(MaxRequestIdLength) / 2,
                          rc::gen::arbitrary<std::string>());
}

RequestMeta anyMeta() {
  return {.m_Id = RequestId(shortText()),
          .m_Service = ServiceName(anyText()),
          .m_Class = ClassName(anyText()),
          .m_Key = anyText(),
          .m_Idempotent = *rc::gen::arbitrary<bool>(),
          .m_Attempt = 3,
          .m_FirstAttemptAge = Duration(5)};
}

} // namespace

TEST_CASE("control messages survive encoding") {
  CHECK(rc::check("heartbeat", [] {
    RC_ASSERT(survives(PeerMessage(
        ControlMessage(Heartbeat{.m_Group = 3,
                                 .m_Session = SessionId(anyNumber()),
                                 .m_Sequence = anyNumber(),
                                 .m_ConfigApplied = ConfigVersion(anyNumber()),
                                 .m_MapSeen = anyNumber(),
                                 .m_Entry = anyText()}))));
  }));
  CHECK(rc::check("changes", [] {
    Changes Message{.m_Head = RowVersion(anyNumber()), .m_Rows = {}};
    for (int Count = *rc::gen::inRange(0, 5); Count > 0; --Count)
      Message.m_Rows.push_back(
          {RowKey(anyText()), RowVersion(anyNumber()), anyText()});
    RC_ASSERT(survives(PeerMessage(ControlMessage(Message))));
  }));
  CHECK(rc::check("yield", [] {
    Yield Message{.m_From = SessionId(anyNumber()),
                  .m_To = SessionId(anyNumber()),
                  .m_Items = {}};
    Message.m_Items.push_back({.m_Shard = anyShard(),
                               .m_Epoch = Epoch(anyNumber()),
                               .m_InFlight = {KeyHash(anyNumber())}});
    RC_ASSERT(survives(PeerMessage(ControlMessage(Message))));
  }));
  CHECK(rc::check("owner report", [] {
    OwnerReport Message;
    Message.m_Settled = {{anyShard(), Epoch(anyNumber())}};
    Message.m_Hottest = {{.m_Shard = anyShard(), .m_Rate = 2.5}};
    RC_ASSERT(survives(PeerMessage(ControlMessage(Message))));
  }));
}

TEST_CASE("request and body messages survive encoding") {
  CHECK(rc::check("forward request", [] {
    ForwardRequest Message;
    Message.m_Meta = anyMeta();
    Message.m_Http = {.m_Method = "POST",
                      .m_Path = anyText(),
                      .m_Headers = {{anyText(), anyText()}},
                      .m_Body = anyText(),
                      .m_BodyLength = anyNumber(),
                      .m_BodyStream = anyNumber()};
    Message.m_TimeLeft = Duration(17);
    Message.m_Stream = anyNumber();
    RC_ASSERT(survives(PeerMessage(RequestMessage(Message))));
  }));
  CHECK(rc::check("forward reply", [] {
    ForwardReply Message;
    Message.m_Outcome = Outcome::NotRun;
    Message.m_Reason = Reason::Overloaded;
    Message.m_Http = {.m_Status = 200,
                      .m_Headers = {{anyText(), anyText()}},
                      .m_Body = anyText()};
    RC_ASSERT(survives(PeerMessage(RequestMessage(Message))));
  }));
  CHECK(rc::check("body chunk", [] {
    RC_ASSERT(survives(PeerMessage(
        BodyMessage(BodyChunk{.m_Stream = anyNumber(),
                              .m_Offset = anyNumber(),
                              .m_Bytes = anyText(),
                              .m_Last = *rc::gen::arbitrary<bool>()}))));
  }));
}

TEST_CASE("a damaged frame is refused or decodes to some message") {
  CHECK(rc::check("one byte changed", [] {
    ForwardRequest Message;
    Message.m_Meta = anyMeta();
    std::vector<std::uint8_t> Frame =
        encode(PeerMessage(RequestMessage(Message)));
    const auto Index = *rc::gen::inRange<std::size_t>(0, Frame.size());
    Frame.at(Index) = *rc::gen::arbitrary<std::uint8_t>();
    WireMessage Decoded;
    if (!decode(Frame, Decoded))
      RC_ASSERT(!encode(Decoded).empty());
  }));
  CHECK(rc::check("cut short", [] {
    const std::vector<std::uint8_t> Frame =
        encode(PeerMessage(RequestMessage(OutcomeQuery{.m_Meta = anyMeta()})));
    const auto Length = *rc::gen::inRange<std::size_t>(0, 8);
    WireMessage Decoded;
    RC_ASSERT(decode({Frame.data(), Length}, Decoded) ==
              TransportError::MalformedFrame);
  }));
}

TEST_CASE("fields out of range are refused") {
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

TEST_CASE("an empty frame is refused") {
  WireMessage Decoded;
  CHECK(decode({}, Decoded) == TransportError::MalformedFrame);
}
