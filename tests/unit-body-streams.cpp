// Streamed bodies between daemons: credit, order, lost connections, corruption.
#include "daemon/body_streams.h"
#include "runtime/boot_clock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace balsamwheel;
using namespace balsamwheel::daemon;
using runtime::BodyPipePtr;
using runtime::PipeState;

namespace {

const PeerAddress Owner("owner");
const PeerAddress Entrance("entrance");

/// Two daemons connected by a message queue that the test controls.
struct DaemonPair {
  struct QueuedMessage {
    PeerAddress m_Sender;
    BodyMessage m_Message;
  };

  /// Delivers all messages in transit.
  void deliver() {
    while (!m_InTransit.empty()) {
      QueuedMessage Next = std::move(m_InTransit.front());
      m_InTransit.pop_front();
      if (auto *Chunk = std::get_if<BodyChunk>(&Next.m_Message);
          Chunk && m_EditChunk)
        m_EditChunk(*Chunk);
      BodyStreams &Receiver = Next.m_Sender == Owner ? m_Entrance : m_Owner;
      Receiver.onMessage(Next.m_Sender, std::move(Next.m_Message));
    }
  }

  BodyStreams::Send sendFrom(const PeerAddress &Sender) {
    return [this, Sender](const PeerAddress &, PeerMessage Message) {
      m_InTransit.push_back(
          {Sender, std::get<BodyMessage>(std::move(Message))});
    };
  }

  std::deque<QueuedMessage> m_InTransit;
  /// Applied to each chunk on delivery, if set.
  std::function<void(BodyChunk &)> m_EditChunk;
  BodyStreams m_Owner{sendFrom(Owner), 100};
  BodyStreams m_Entrance{sendFrom(Entrance), 500};
};

/// The received bytes of a body and the final state of its pipe.
struct TransferResult {
  std::string m_Received;
  PipeState m_End = PipeState::Open;
};

/// Transfers a body from the owner to the entrance.
TransferResult transferBody(DaemonPair &Daemons, const std::string &Body,
                            std::size_t PrefixSize, std::size_t ReadSize) {
  const std::string Prefix = Body.substr(0, PrefixSize);
  const BodyPipePtr Source = Daemons.m_Owner.create(Prefix, Body.size());
  const std::uint64_t Local =
      Daemons.m_Entrance.openRemote(Owner, Source->id(), Prefix, Body.size());
  const BodyPipePtr Sink = Daemons.m_Entrance.claim(Local);
  TransferResult Result{.m_Received = Prefix};
  std::size_t Written = Prefix.size();
  bool Finished = false;
  while (Sink->state() == PipeState::Open) {
    const std::size_t Part =
        std::min<std::size_t>(40'000, Body.size() - Written);
    if (Part > 0 &&
        Source->tryWrite(std::string_view(Body).substr(Written, Part)))
      Written += Part;
    if (Written == Body.size() && !std::exchange(Finished, true))
      Source->finish();
    Daemons.deliver();
    Result.m_Received += Sink->take(ReadSize);
  }
  Result.m_End = Sink->state();
  return Result;
}

} // namespace

TEST_CASE("a body arrives complete for any body, prefix and read size") {
  CHECK(rc::check([] {
    const auto Size = *rc::gen::inRange<std::size_t>(1, 2'000'000);
    const auto Prefix = *rc::gen::inRange<std::size_t>(0, Size);
    const auto ReadSize = *rc::gen::inRange<std::size_t>(20'000, 300'000);
    std::string Body(Size, 'a');
    for (std::size_t I = 0; I < Size; I += 997)
      Body[I] = static_cast<char>('a' + I % 26);
    DaemonPair Daemons;
    const TransferResult Result = transferBody(Daemons, Body, Prefix, ReadSize);
    RC_ASSERT(Result.m_End == PipeState::Ended);
    RC_ASSERT(Result.m_Received == Body);
  }));
}

TEST_CASE("a sender stops when the receiver's credit is used up") {
  DaemonPair Daemons;
  const BodyPipePtr Source = Daemons.m_Owner.create("", std::nullopt);
  const std::uint64_t Local =
      Daemons.m_Entrance.openRemote(Owner, Source->id(), "", std::nullopt);
  const BodyPipePtr Sink = Daemons.m_Entrance.claim(Local);
  std::size_t Written = 0;
  const std::string Part(40'000, 'x');
  for (int I = 0; I < 100; ++I) {
    if (Source->tryWrite(Part))
      Written += Part.size();
    Daemons.deliver();
  }
  // At most one credit window in transit and one full pipe at the writer.
  CHECK(Written <= 2 * runtime::DefaultPipeCapacity + 2 * Part.size());
  std::size_t Read = 0;
  while (Read < Written) {
    Read += Sink->take(100'000).size();
    Daemons.deliver();
  }
  CHECK(Read == Written);
}

TEST_CASE("chunks corrupted or truncated in transit fail the body") {
  for (const bool Truncate : {false, true}) {
    DaemonPair Daemons;
    int Count = 0;
    Daemons.m_EditChunk = [&Count, Truncate](BodyChunk &Chunk) {
      if (++Count != 2)
        return;
      if (Truncate)
        Chunk.m_Bytes.pop_back();
      else
        Chunk.m_Bytes.front() ^= 1;
    };
    CHECK(transferBody(Daemons, std::string(500'000, 'b'), 10, 100'000).m_End ==
          PipeState::Failed);
  }
}

TEST_CASE("a lost connection fails the bodies in transit on both sides") {
  DaemonPair Daemons;
  const BodyPipePtr Source = Daemons.m_Owner.create("", 1'000'000);
  const BodyPipePtr Sink = Daemons.m_Entrance.claim(
      Daemons.m_Entrance.openRemote(Owner, Source->id(), "", 1'000'000));
  Source->tryWrite("abc");
  Daemons.deliver();
  Daemons.m_Entrance.onPeerLost(Owner);
  Daemons.m_Owner.onPeerLost(Entrance);
  CHECK(Sink->state() == PipeState::Failed);
  CHECK(Source->state() == PipeState::Failed);
}

TEST_CASE("a reader that abandons a body stops the sender") {
  DaemonPair Daemons;
  const BodyPipePtr Source = Daemons.m_Owner.create("", std::nullopt);
  const BodyPipePtr Sink = Daemons.m_Entrance.claim(
      Daemons.m_Entrance.openRemote(Owner, Source->id(), "", std::nullopt));
  Daemons.deliver();
  Sink->abandon();
  Daemons.deliver();
  CHECK(Source->state() == PipeState::Failed);
}

TEST_CASE("a request for an unknown body fails the local pipe") {
  DaemonPair Daemons;
  const BodyPipePtr Sink = Daemons.m_Entrance.claim(
      Daemons.m_Entrance.openRemote(Owner, 12345, "", std::nullopt));
  Daemons.deliver();
  CHECK(Sink->state() == PipeState::Failed);
  CHECK(Daemons.m_Entrance.claim(999) == nullptr);
}

TEST_CASE("pipes without a reader expire and ended pipes are removed") {
  DaemonPair Daemons;
  const BodyPipePtr Unread = Daemons.m_Owner.create("", std::nullopt);
  Daemons.m_Owner.expire(runtime::bootNow());
  CHECK(Unread->state() == PipeState::Open);
  Daemons.m_Owner.expire(runtime::bootNow() + std::chrono::minutes(1));
  CHECK(Unread->state() == PipeState::Failed);
  Daemons.m_Owner.expire(runtime::bootNow());
  CHECK(Daemons.m_Owner.size() == 0);
}
