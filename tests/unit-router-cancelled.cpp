// Requests whose callers have left must not reach a target any more, wherever
// they are when the news arrives.
#include "link/peer_link.h"
#include "router_rig.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

/// A daemon with a target, and a peer whose frames the test writes.
struct PeerRig : Rig {
  PeerRig() : m_Remote(add("b", "plain")) {
    configure(1);
    m_Remote.sendHeartbeat();
    REQUIRE(runUntil([&] { return m_Remote.m_Router->ready(); }));
  }

  struct Peer {
    std::unique_ptr<PeerLink> m_Link;
    std::size_t m_Answers = 0;
    bool m_Ended = false;
  };

  std::unique_ptr<Peer> connect() {
    auto Result = std::make_unique<Peer>();
    Peer *Added = Result.get();
    Added->m_Link = std::make_unique<PeerLink>(
        m_Loop,
        PeerLinkEvents{
            .m_OnFrame =
                [Added](auto Frame, const LinkBody &) {
                  Added->m_Answers +=
                      Frame->kind == LinkFrameKind::Answer ? 1 : 0;
                },
            .m_OnEnd = [Added](const char *) { Added->m_Ended = true; }});
    REQUIRE(Added->m_Link->connect(m_Remote.m_Settings.m_Peers));
    REQUIRE(runUntil([&] { return Added->m_Link->isOpen(); }));
    Added->m_Link->send(frame(LinkFrameKind::Hello, 0));
    return Result;
  }

  static LinkFrame frame(LinkFrameKind Kind, std::uint64_t Stream,
                         Duration Ago = 0ms) {
    LinkFrame Frame;
    Frame.kind = Kind;
    Frame.instance = "a";
    Frame.service = "plain";
    Frame.stream = Stream;
    Frame.method = "GET";
    Frame.target = "/read/1";
    Frame.route = "read";
    Frame.objective_left = Frame.deadline_left = Duration(4s).count();
    Frame.sent_at = (bootNow() - Ago).time_since_epoch().count();
    return Frame;
  }

  std::string metrics() const { return m_Remote.m_Metrics.toText(); }

  Instance &m_Remote;
};

/// A blocking connection, whose bytes reach the kernel of the receiver at once.
class RawSocket {
public:
  explicit RawSocket(const Endpoint &Remote)
      : m_Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const int BufferBytes = 1 << 20;
    setsockopt(m_Socket, SOL_SOCKET, SO_SNDBUF, &BufferBytes,
               sizeof(BufferBytes));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Remote.m_Port);
    REQUIRE(::connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0);
  }
  ~RawSocket() { close(m_Socket); }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  void send(const std::string &Text) const {
    REQUIRE(::send(m_Socket, Text.data(), Text.size(), 0) ==
            static_cast<ssize_t>(Text.size()));
  }

private:
  int m_Socket;
};

std::string encoded(const LinkFrame &Frame) { return encodeFrame(Frame, {}); }

} // namespace

TEST_CASE("a non-idempotent request was sent after its caller had left, while "
          "the connection to the target was being opened") {
  PeerRig Rig;
  const auto Peer = Rig.connect();
  LinkFrame Write = PeerRig::frame(LinkFrameKind::Request, 1);
  Write.non_idempotent = true;
  Write.target = "/write/1";
  Write.route = "write";
  Peer->m_Link->sendEncoded(encoded(Write) +
                            encoded(PeerRig::frame(LinkFrameKind::Cancel, 1)));
  Rig.runFor(300ms);
  CHECK(Rig.m_Remote.m_Target.m_Arrivals == 0);
}

TEST_CASE("a peer's request was sent to the target although its cancellation "
          "had arrived with it") {
  PeerRig Rig;
  const auto Peer = Rig.connect();
  // Leaves an open connection to the target.
  Peer->m_Link->send(PeerRig::frame(LinkFrameKind::Request, 1));
  REQUIRE(Rig.runUntil([&] { return Peer->m_Answers == 1; }));
  REQUIRE(Rig.m_Remote.m_Target.m_Arrivals == 1);
  Peer->m_Link->sendEncoded(encoded(PeerRig::frame(LinkFrameKind::Request, 2)) +
                            encoded(PeerRig::frame(LinkFrameKind::Cancel, 2)));
  Rig.runFor(300ms);
  CHECK(Rig.m_Remote.m_Target.m_Arrivals == 1);
}

TEST_CASE("a delayed request was sent to the target although its cancellation "
          "waited in the kernel") {
  PeerRig Rig;
  Rig.waitUntilServed(Rig.m_Remote, "/read/1");
  const int Before = Rig.m_Remote.m_Target.m_Arrivals;
  const RawSocket Peer(Rig.m_Remote.m_Settings.m_Peers);
  Peer.send(encoded(PeerRig::frame(LinkFrameKind::Hello, 0)));
  Rig.runFor(50ms);
  LinkFrame Other = PeerRig::frame(LinkFrameKind::MapChecked, 0);
  Other.target.assign(Stream::ReadSize, 'x');
  Peer.send(encoded(PeerRig::frame(LinkFrameKind::Request, 1, 1s)) +
            encoded(Other) + encoded(PeerRig::frame(LinkFrameKind::Cancel, 1)));
  Rig.runFor(300ms);
  CHECK(Rig.m_Remote.m_Target.m_Arrivals == Before);
}

TEST_CASE("requests of a connection that its peer had replaced went on "
          "waiting") {
  PeerRig Rig;
  Rig.m_Remote.m_Target.m_Behaviour = [](const std::string &) {
    return RawReply{.m_Silent = true};
  };
  const auto Former = Rig.connect();
  // The target takes four at a time.
  for (std::uint64_t Stream = 1; Stream <= 6; ++Stream)
    Former->m_Link->send(PeerRig::frame(LinkFrameKind::Request, Stream));
  REQUIRE(Rig.runUntil([&] { return Rig.m_Remote.m_Target.m_Arrivals == 4; }));
  const auto Present = Rig.connect();
  CHECK(Rig.runUntil([&] { return Former->m_Ended; }));
  CHECK(Rig.metrics().find("state=\"waiting\"} 2") != std::string::npos);
  CHECK(Rig.m_Remote.m_Target.m_Arrivals == 4);
  CHECK_FALSE(Present->m_Ended);
}

TEST_CASE("a caller's request was sent although its close had arrived with "
          "it") {
  PeerRig Rig;
  Rig.waitUntilServed(Rig.m_Remote, "/read/1");
  const int Before = Rig.m_Remote.m_Target.m_Arrivals;
  {
    // The daemon runs on this thread, so it reads nothing before the close.
    const RawSocket Caller(Rig.m_Remote.m_Settings.m_Callers);
    Caller.send("GET /read/1 HTTP/1.1\r\nHost: h\r\n"
                "X-Request-Id: left\r\nX-Deadline-Ms: 3000\r\n\r\n");
  }
  Rig.runFor(300ms);
  CHECK(Rig.m_Remote.m_Target.m_Arrivals == Before);
}
