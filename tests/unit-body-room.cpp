// Large bodies of requests: bounded together, refused before they are read,
// held once.
#include "net/body_room.h"

#include "router_rig.h"
#include "support/http_server_rig.h"

#include <array>
#include <thread>

using namespace balsamwheel;
using namespace balsamwheel::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Large = 300'000;

std::string upload(std::size_t Announced, std::size_t Sent) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Announced) + "\r\n\r\n" + std::string(Sent, 'x');
}

HttpServerOptions optionsWith(BodyRoom &Room) {
  HttpServerOptions Options;
  Options.m_BodyRoom = &Room;
  Options.m_NoRoomAnswer = [] {
    HttpAnswer Answer{.m_Status = 503};
    Answer.m_Headers.add("Retry-After", "1");
    return Answer;
  };
  return Options;
}

} // namespace

TEST_CASE("reservations are bounded together and end with their holders") {
  BodyRoom Room(1'000'000);
  BodyReservation First;
  CHECK(Room.extend(First, 700'000));
  {
    BodyReservation Second;
    CHECK_FALSE(Room.extend(Second, 400'000));
    CHECK(Second.bytes() == 0);
    CHECK(Room.extend(Second, 200'000));
    CHECK(Room.extend(Second, 300'000));
    CHECK_FALSE(Room.extend(Second, 300'001));
    CHECK(Room.reserved() == 1'000'000);
  }
  CHECK(Room.reserved() == 700'000);
  HttpBody Body("text", std::move(First));
  const HttpBody Copy = Body;
  Body = {};
  CHECK(Room.reserved() == 700'000);
  CHECK(Copy == "text");
}

TEST_CASE("small bodies need no room") {
  BodyRoom Room(10);
  BodyReservation Small;
  CHECK(Room.extend(Small, BodyRoom::SmallBodyBytes));
  CHECK(Room.reserved() == 0);
  BodyRoom Unlimited(0);
  BodyReservation Any;
  CHECK(Unlimited.extend(Any, std::size_t{1} << 40));
}

TEST_CASE("large bodies together took more than the process's memory") {
  BodyRoom Room(Large);
  ServerRig Rig(optionsWith(Room));
  Rig.listen();
  // The first body is on its way, so that the second finds no room.
  Stream First(Rig.m_Loop);
  First.setEvents({});
  REQUIRE(First.connect(Rig.m_Address));
  First.write(upload(Large, 1000));
  runUntil(Rig.m_Loop, [&] { return Room.reserved() == Large; });
  Rig.connect(upload(Large, 0));
  runUntil(Rig.m_Loop, [&] {
    return Rig.m_Received.find("\r\n\r\n") != std::string::npos;
  });
  CHECK(Rig.m_Received.starts_with("HTTP/1.1 503"));
  CHECK(Rig.m_Received.find("Retry-After: 1") != std::string::npos);
  CHECK(Rig.m_Exchanges.empty());
  First.close();
  runUntil(Rig.m_Loop, [&] { return Room.reserved() == 0; });
}

TEST_CASE("a caller that sends on after its refusal couldn't read it") {
  BodyRoom Room(100'000);
  ServerRig Rig(optionsWith(Room));
  Rig.listen();
  std::string Received;
  std::atomic<bool> Done = false;
  // Reads nothing before it has sent all.
  std::thread Caller([&, Address = Rig.m_Address] {
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Remote{};
    Remote.sin_family = AF_INET;
    Remote.sin_addr.s_addr = inet_addr(Address.m_Host.c_str());
    Remote.sin_port = htons(Address.m_Port);
    connect(Socket, reinterpret_cast<sockaddr *>(&Remote), sizeof(Remote));
    const std::string Bytes = upload(20'000'000, 20'000'000);
    for (std::size_t Sent = 0; Sent < Bytes.size();) {
      const ssize_t Count =
          send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        break;
      Sent += static_cast<std::size_t>(Count);
    }
    std::array<char, 4096> Buffer{};
    while (true) {
      const ssize_t Count = recv(Socket, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        break;
      Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    close(Socket);
    Done = true;
  });
  runUntil(Rig.m_Loop, [&] { return Done.load(); });
  Caller.join();
  CHECK(Received.starts_with("HTTP/1.1 503"));
  CHECK(Room.reserved() == 0);
}

TEST_CASE("a body without an announced length is refused as it grows") {
  BodyRoom Room(200'000);
  ServerRig Rig(optionsWith(Room));
  Rig.listen();
  std::string Chunks = "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
  for (int Chunk = 0; Chunk < 30; ++Chunk)
    Chunks += "2710\r\n" + std::string(10'000, 'x') + "\r\n";
  Rig.connect(Chunks);
  runUntil(Rig.m_Loop, [&] {
    return Rig.m_Received.find("\r\n\r\n") != std::string::npos;
  });
  CHECK(Rig.m_Received.starts_with("HTTP/1.1 503"));
  CHECK(Rig.m_Exchanges.empty());
}

TEST_CASE("a large body arrives complete at a target of another instance") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "plain");
  std::string Body;
  for (std::size_t Index = 0; Body.size() < Large; ++Index)
    Body += std::to_string(Index);
  std::atomic<int> Intact = 0;
  B.m_Target.m_Behaviour = [&](const std::string &Request) {
    Intact += Request.ends_with("\r\n\r\n" + Body) ? 1 : 0;
    return std::nullopt;
  };
  Rig.startServing();
  // Several at once: frames follow large ones on the same link.
  std::vector<std::shared_ptr<std::optional<HttpCallResult>>> Results;
  for (int Count = 0; Count < 3; ++Count) {
    Results.push_back(Rig.start(A, "/write/1", "POST", -1, "", Body));
    Results.push_back(Rig.start(A, "/read/1", "GET"));
  }
  REQUIRE(Rig.runUntil([&] {
    return std::all_of(Results.begin(), Results.end(),
                       [](const auto &Each) { return Each->has_value(); });
  }));
  for (const auto &Each : Results)
    CHECK((*Each)->m_Answer.m_Status == 200);
  CHECK(Intact == 3);
  CHECK(B.m_Router->reservedForBodies() == 0);
}

TEST_CASE("a body that finds no room at the target's instance is refused") {
  Rig Rig;
  Instance &A = Rig.add("a", "keyed");
  Instance &B = Rig.add("b", "plain");
  B.m_Settings.m_MemoryLimit = Large;
  B.restartRouter(Rig.m_Loop, Rig.m_Log);
  Rig.startServing();
  const int Arrivals = B.m_Target.m_Arrivals;
  const auto Refused =
      Rig.start(A, "/write/1", "POST", -1, "", std::string(Large, 'x'));
  const auto Behind = Rig.start(A, "/read/2", "GET");
  REQUIRE(Rig.runUntil([&] { return *Refused && *Behind; }));
  CHECK((*Refused)->m_Answer.m_Status == 503);
  CHECK_FALSE((*Refused)->m_Answer.m_Headers.get("Retry-After").empty());
  // The link goes on behind the dropped body.
  CHECK((*Behind)->m_Answer.m_Status == 200);
  CHECK(B.m_Target.m_Arrivals == Arrivals + 1);
}
