// Tests that the peer codec preserves the sequences of the lease messages.
#include "adapters/peer_tcp/codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace balsamwheel;
using namespace balsamwheel::peer_tcp;

namespace {

std::uint64_t anyNumber() { return *rc::gen::arbitrary<std::uint64_t>(); }

template <typename T> T roundTrip(const T &Message) {
  const std::vector<std::uint8_t> Frame =
      encode(PeerMessage(ControlMessage(Message)));
  WireMessage Decoded;
  RC_ASSERT(!decode(Frame, Decoded));
  return std::get<T>(std::get<ControlMessage>(std::get<PeerMessage>(Decoded)));
}

} // namespace

TEST_CASE("a round trip keeps sessions, sequences and row versions") {
  CHECK(rc::check("extend request", [] {
    ExtendRequest Message;
    Message.m_Session = SessionId(anyNumber());
    Message.m_Sequence = anyNumber();
    Message.m_SequenceCommitted = anyNumber();
    Message.m_GroupRowVersion = RowVersion(anyNumber());
    Message.m_HeadVersionSeen = anyNumber();
    const ExtendRequest Result = roundTrip(Message);
    RC_ASSERT(Result.m_Session == Message.m_Session);
    RC_ASSERT(Result.m_Sequence == Message.m_Sequence);
    RC_ASSERT(Result.m_SequenceCommitted == Message.m_SequenceCommitted);
    RC_ASSERT(Result.m_GroupRowVersion == Message.m_GroupRowVersion);
    RC_ASSERT(Result.m_HeadVersionSeen == Message.m_HeadVersionSeen);
  }));
  CHECK(rc::check("promise request", [] {
    PromiseRequest Message;
    Message.m_Subject = SessionId(anyNumber());
    Message.m_Sequence = anyNumber();
    Message.m_GroupRowVersion = RowVersion(anyNumber());
    const PromiseRequest Result = roundTrip(Message);
    RC_ASSERT(Result.m_Subject == Message.m_Subject);
    RC_ASSERT(Result.m_Sequence == Message.m_Sequence);
    RC_ASSERT(Result.m_GroupRowVersion == Message.m_GroupRowVersion);
  }));
  CHECK(rc::check("promise reply", [] {
    PromiseReply Message;
    Message.m_Subject = SessionId(anyNumber());
    Message.m_Witness = SessionId(anyNumber());
    Message.m_Sequence = anyNumber();
    Message.m_Promised = *rc::gen::arbitrary<bool>();
    const PromiseReply Result = roundTrip(Message);
    RC_ASSERT(Result.m_Subject == Message.m_Subject);
    RC_ASSERT(Result.m_Witness == Message.m_Witness);
    RC_ASSERT(Result.m_Sequence == Message.m_Sequence);
    RC_ASSERT(Result.m_Promised == Message.m_Promised);
  }));
}
