// Tests the detection of unresponsive connections and of duplicate messages.
#include "balsamwheel/detail/node/peer_watch.h"
#include "balsamwheel/detail/node/replay_window.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace balsamwheel;

namespace {

const PeerAddress Self("127.0.0.1:7001");
const PeerAddress Peer("127.0.0.1:7002");
constexpr Duration MinResetInterval = std::chrono::milliseconds(50);
constexpr Duration PastProbeTimeout = std::chrono::milliseconds(400);

CoordinatorOptions makeOptions() {
  CoordinatorOptions Options;
  Options.m_Peer = Self;
  return Options;
}

std::size_t countResets(NodeContext &Context) {
  std::size_t Result = 0;
  for (const Effect &Each : Context.takeEffects())
    Result += std::holds_alternative<ResetPeer>(Each) ? 1 : 0;
  return Result;
}

} // namespace

TEST_CASE("the connection to a peer is reset if no probe reply arrives") {
  NodeContext Context(makeOptions(), 1);
  PeerWatch Watch(Context, MinResetInterval);
  TimePoint Now{std::chrono::seconds(10)};
  Watch.onSent(Peer, Now);
  CHECK(countResets(Context) == 0);
  Watch.onTick(Now + PastProbeTimeout);
  CHECK(countResets(Context) == 1);
}

TEST_CASE("the connection to a peer that answers its probe is not reset") {
  NodeContext Context(makeOptions(), 1);
  PeerWatch Watch(Context, MinResetInterval);
  TimePoint Now{std::chrono::seconds(10)};
  Watch.onSent(Peer, Now);
  Watch.onProbeReply(Peer, 1);
  Watch.onTick(Now + PastProbeTimeout);
  CHECK(countResets(Context) == 0);
}

TEST_CASE(
    "a stream is accepted once, and never if it is older than the window") {
  ReplayWindow Window;
  constexpr std::uint64_t Run = 7ULL << 32U;
  CHECK(Window.accept(Run | 5U));
  CHECK_FALSE(Window.accept(Run | 5U));
  CHECK(Window.accept(Run | 4U));
  CHECK(Window.accept(Run | 100'000U));
  CHECK_FALSE(Window.accept(Run | 6U));
  CHECK(Window.accept((8ULL << 32U) | 5U));
}
