// Tests the TCP transport between daemons over loopback sockets.
#include "adapters/peer_tcp/error.h"
#include "adapters/peer_tcp/tcp_transport.h"
#include "support/raw_server.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <vector>

using namespace balsamwheel;
using namespace balsamwheel::peer_tcp;

namespace {

constexpr std::chrono::seconds TestTimeout{10};

/// Collects the messages and lost peers that a transport reports.
class Inbox {
public:
  PeerHandlers handlers() {
    return {.m_OnMessage =
                [this](const PeerAddress &From, PeerMessage Message) {
                  const std::lock_guard Lock(m_Mutex);
                  m_Messages.emplace_back(From, std::move(Message));
                  m_Changed.notify_all();
                },
            .m_OnLost =
                [this](const PeerAddress &Peer) {
                  const std::lock_guard Lock(m_Mutex);
                  m_Lost.push_back(Peer);
                  m_Changed.notify_all();
                }};
  }

  bool waitForMessages(std::size_t Count) {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, TestTimeout,
                              [&] { return m_Messages.size() >= Count; });
  }

  bool waitForLost() {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, TestTimeout,
                              [&] { return !m_Lost.empty(); });
  }

  std::vector<std::pair<PeerAddress, PeerMessage>> m_Messages;
  std::vector<PeerAddress> m_Lost;

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
};

PeerMessage probe(std::uint64_t Nonce) {
  return RequestMessage(Probe{.m_Nonce = Nonce});
}

std::uint64_t nonceOf(const PeerMessage &Message) {
  return std::get<Probe>(std::get<RequestMessage>(Message)).m_Nonce;
}

} // namespace

TEST_CASE("messages arrive in order with the address of their sender") {
  Inbox Left;
  Inbox Right;
  const PeerAddress LeftAddress(tests::freeAddress());
  const PeerAddress RightAddress(tests::freeAddress());
  TcpTransport A({.m_Listen = LeftAddress}, Left.handlers());
  TcpTransport B({.m_Listen = RightAddress}, Right.handlers());
  REQUIRE_FALSE(A.start());
  REQUIRE_FALSE(B.start());

  constexpr std::uint64_t Count = 1000;
  for (std::uint64_t Nonce = 0; Nonce < Count; ++Nonce)
    A.send(RightAddress, probe(Nonce));
  REQUIRE(Right.waitForMessages(Count));
  for (std::uint64_t Nonce = 0; Nonce < Count; ++Nonce) {
    CHECK(Right.m_Messages.at(Nonce).first == LeftAddress);
    CHECK(nonceOf(Right.m_Messages.at(Nonce).second) == Nonce);
  }

  B.send(LeftAddress, probe(7));
  REQUIRE(Left.waitForMessages(1));
  CHECK(nonceOf(Left.m_Messages.at(0).second) == 7);
  A.stop();
  B.stop();
}

TEST_CASE("a long message arrives complete") {
  Inbox Left;
  Inbox Right;
  const PeerAddress RightAddress(tests::freeAddress());
  TcpTransport A({.m_Listen = PeerAddress(tests::freeAddress())},
                 Left.handlers());
  TcpTransport B({.m_Listen = RightAddress}, Right.handlers());
  REQUIRE_FALSE(A.start());
  REQUIRE_FALSE(B.start());

  const std::string Body(3U << 20U, 'x');
  A.send(RightAddress, BodyMessage(BodyChunk{.m_Stream = 4, .m_Bytes = Body}));
  REQUIRE(Right.waitForMessages(1));
  const auto &Chunk =
      std::get<BodyChunk>(std::get<BodyMessage>(Right.m_Messages.at(0).second));
  CHECK(Chunk.m_Bytes == Body);
}

TEST_CASE(
    "an unreachable peer is reported lost, then reached once it listens") {
  Inbox Left;
  Inbox Right;
  const PeerAddress RightAddress(tests::freeAddress());
  TcpTransport A({.m_Listen = PeerAddress(tests::freeAddress())},
                 Left.handlers());
  REQUIRE_FALSE(A.start());
  A.send(RightAddress, probe(1));
  REQUIRE(Left.waitForLost());
  CHECK(Left.m_Lost.at(0) == RightAddress);

  TcpTransport B({.m_Listen = RightAddress}, Right.handlers());
  REQUIRE_FALSE(B.start());
  A.send(RightAddress, probe(2));
  REQUIRE(Right.waitForMessages(1));
  CHECK(nonceOf(Right.m_Messages.at(0).second) == 2);
}

TEST_CASE("after a reset the next message opens a new connection") {
  Inbox Left;
  Inbox Right;
  const PeerAddress RightAddress(tests::freeAddress());
  TcpTransport A({.m_Listen = PeerAddress(tests::freeAddress())},
                 Left.handlers());
  TcpTransport B({.m_Listen = RightAddress}, Right.handlers());
  REQUIRE_FALSE(A.start());
  REQUIRE_FALSE(B.start());
  A.send(RightAddress, probe(1));
  REQUIRE(Right.waitForMessages(1));
  A.reset(RightAddress);
  A.send(RightAddress, probe(2));
  REQUIRE(Right.waitForMessages(2));
  CHECK(nonceOf(Right.m_Messages.at(1).second) == 2);
}

TEST_CASE("an invalid listening address is an error") {
  Inbox Unused;
  TcpTransport A({.m_Listen = PeerAddress("nonsense")}, Unused.handlers());
  CHECK(A.start() == TransportError::BadAddress);
}
