// Tests of the turns that organisations take at a request gate, with a flood
// from one of them.
#include "gate_rig.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace balsamwheel;
using namespace balsamwheel::tests;

namespace {

constexpr std::uint64_t FnvOffset = 1469598103934665603ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

/// Hash of all decisions and the order of sending in a random history of
/// offers, ends, expiry, withdrawals and limits.
std::uint64_t historyHash(RequestGate Gate, std::uint64_t Seed,
                          std::uint32_t Priorities) {
  pcg32 Random(Seed);
  std::uint64_t Hash = FnvOffset;
  const auto Note = [&](std::uint64_t Value) {
    Hash = (Hash ^ Value) * FnvPrime;
  };
  Gate.open(3);
  for (const char *Route : {"a", "b"})
    Gate.finished(Route, 0, 120ms, true);
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Handle = 0;
  std::vector<std::uint64_t> Running;
  std::vector<std::uint32_t> PriorityOf{0};
  for (int Step = 0; Step < 20000; ++Step) {
    Now += Duration(Random(30'000));
    switch (Random(8)) {
    case 0:
    case 1:
    case 2: {
      GateRequest Next{.m_Handle = RequestHandle(++Handle)};
      Next.m_Route = Random(2) != 0 ? "a" : "b";
      Next.m_Priority = Random(Priorities);
      Next.m_Nested = Random(5) == 0;
      Next.m_Objective = Now + Duration(Random(900'000));
      Next.m_Deadline = Now + Duration(900'000 + Random(900'000));
      PriorityOf.push_back(Next.m_Priority);
      const GateDecision Decision = Gate.offer(Next, Now);
      Note(static_cast<std::uint64_t>(Decision.m_Verdict));
      Note(static_cast<std::uint64_t>(Decision.m_ExpectedWait.count()));
      CHECK_FALSE(Decision.m_Displaced);
      if (Decision.m_Verdict == GateVerdict::Send)
        Running.push_back(Handle);
      break;
    }
    case 3:
    case 4:
    case 5:
      if (!Running.empty()) {
        const auto Index = Random(static_cast<std::uint32_t>(Running.size()));
        const std::string Route = Random(2) != 0 ? "a" : "b";
        const Duration Took(20'000 + Random(200'000));
        Gate.finished(Route, PriorityOf[Running[Index]], Took, Random(5) != 0);
        Running.erase(Running.begin() + Index);
      }
      break;
    case 6:
      for (RequestHandle Each : Gate.expire(Now))
        Note(Each.value());
      break;
    default:
      if (Random(100) == 0) {
        const bool Limited = Random(2) != 0;
        const double Limit = 3 + Random(20);
        Gate.setNamedLimit(Limited ? std::optional(Limit) : std::nullopt, Now);
      }
      if (Random(4) == 0)
        Note(Gate.withdraw(RequestHandle(Handle)) ? 1 : 0);
    }
    while (auto Next = Gate.next(Now)) {
      Note(Next->value());
      Running.push_back(Next->value());
    }
  }
  Note(Gate.waiting());
  return Hash;
}

/// Eight organisations that send 5 requests per second each; the first one
/// sends \p Factor times as many from 20 s on.
std::vector<Stream> organisations(double Factor, bool Named) {
  std::vector<Stream> Result;
  for (int Index = 0; Index < 8; ++Index)
    Result.push_back(
        {.m_Rate = Index == 0 ? burst(5, Factor, 20, 1000) : steady(5),
         .m_Organisation =
             Named ? "o" + std::to_string(Index) : std::string()});
  return Result;
}

/// Fractions served of the first organisation and of the others, in the first
/// eight seconds of its flood, over several seeds. 9 slots and 200 ms per
/// request: 45 requests per second.
std::pair<double, double> servedInFlood(double Factor, bool Named) {
  StreamResult First;
  StreamResult Others;
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    GateSimulation Simulation({}, 9, organisations(Factor, Named), Seed);
    Simulation.run(20s);
    const auto Results = Simulation.run(8s);
    First += Results[0];
    for (std::size_t Index = 1; Index < Results.size(); ++Index)
      Others += Results[Index];
  }
  return {First.served(), Others.served()};
}

} // namespace

TEST_CASE("without organisations every verdict and the order are as recorded "
          "before there were turns") {
  // Recorded with the gate of commit ee1c980, which knew no trials and agreed
  // with that of commit fe281f8.
  const ServiceTimesOptions NoTrials{.m_TrialInterval = std::chrono::hours(1)};
  const RequestGateOptions ByPriority{.m_Service = NoTrials};
  const RequestGateOptions ByOrder{.m_Service = NoTrials,
                                   .m_RoomByPriority = false};
  CHECK(historyHash(RequestGate(ByPriority), 1, 1) == 0x94a90e7861fc9c39ULL);
  CHECK(historyHash(RequestGate(ByPriority), 2, 1) == 0x80a463eaef9b6198ULL);
  CHECK(historyHash(RequestGate(ByOrder), 1, 3) == 0xdd2da480fa76b74ULL);
  CHECK(historyHash(RequestGate(ByOrder), 2, 3) == 0x677620d76f42eea4ULL);
}

TEST_CASE("a flood from one organisation costs the others little") {
  const auto [FirstUsual, OthersUsual] = servedInFlood(1, true);
  const auto [FirstBefore, OthersBefore] = servedInFlood(10, false);
  const auto [FirstFlood, OthersFlood] = servedInFlood(10, true);
  MESSAGE("others: usual " << OthersUsual << ", flood without turns "
                           << OthersBefore << ", with turns " << OthersFlood
                           << "; flooding one " << FirstBefore << " and "
                           << FirstFlood);
  CHECK(OthersBefore < 0.65);
  CHECK(OthersFlood >= 0.93 * OthersUsual);
  // What is left: 45 - 35 of 50 requests per second.
  CHECK(FirstFlood >= 0.14);
}

TEST_CASE("a large organisation is served about as often as the small ones") {
  std::vector<Stream> Streams = organisations(1, true);
  for (Stream &Each : Streams)
    Each.m_Rate = steady(5);
  Streams[0].m_Rate = steady(30);
  GateSimulation Simulation({}, 9, Streams);
  Simulation.run(20s);
  const auto Results = Simulation.run(40s);
  int Offered = 0;
  int Served = 0;
  for (const StreamResult &Each : Results) {
    Offered += Each.m_Offered;
    Served += Each.m_OnTime + Each.m_Late;
  }
  const double All = static_cast<double>(Served) / Offered;
  for (const StreamResult &Each : Results)
    CHECK(Each.served() >= 0.8 * All);
}

TEST_CASE("an organisation takes its turns by the objectives of its requests") {
  RequestGate Gate({});
  Gate.open(1);
  const TimePoint Now{std::chrono::hours(1)};
  const auto Offer = [&](std::uint64_t Handle, const std::string &Name,
                         Duration Objective) {
    return Gate
        .offer({.m_Handle = RequestHandle(Handle),
                .m_Route = "r",
                .m_Organisation = OrganisationName(Name),
                .m_Objective = Now + Objective,
                .m_Deadline = Now + 20s},
               Now)
        .m_Verdict;
  };
  CHECK(Offer(1, "a", 10s) == GateVerdict::Send);
  CHECK(Offer(2, "a", 9s) == GateVerdict::Wait);
  CHECK(Offer(3, "a", 8s) == GateVerdict::Wait);
  CHECK(Offer(4, "b", 10s) == GateVerdict::Wait);
  CHECK(Offer(5, "a", 7s) == GateVerdict::Wait);
  std::vector<std::uint64_t> Order;
  for (int Count = 0; Count < 4; ++Count) {
    Gate.finished("r", 0, 10ms, true);
    Order.push_back(Gate.next(Now).value().value());
  }
  CHECK(Order == std::vector<std::uint64_t>{4, 5, 3, 2});
}

TEST_CASE("a full queue takes a request in place of one of an organisation "
          "with a later turn") {
  RequestGate Gate({.m_QueueLimitPerSlot = 3});
  Gate.open(1);
  const TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Handle = 0;
  const auto Offer = [&](const std::string &Name) {
    return Gate.offer({.m_Handle = RequestHandle(++Handle),
                       .m_Route = "r",
                       .m_Organisation = OrganisationName(Name),
                       .m_Objective = Now + 10s,
                       .m_Deadline = Now + 20s},
                      Now);
  };
  for (int Count = 0; Count < 4; ++Count)
    Offer("a");
  CHECK(Offer("a").m_Verdict == GateVerdict::Refuse);
  const GateDecision Decision = Offer("b");
  CHECK(Decision.m_Verdict == GateVerdict::Wait);
  CHECK(Decision.m_Displaced == RequestHandle(4));
  CHECK(Decision.m_RetryAfter > Duration::zero());
  CHECK(Gate.waiting() == 3);
}

TEST_CASE("organisations that have sent nothing for long are forgotten") {
  OrganisationTurns Turns;
  TimePoint Now{std::chrono::hours(1)};
  Turns.arrived(OrganisationName(), Now);
  CHECK(Turns.size() == 0);
  for (int Index = 0; Index < 10'000; ++Index) {
    Now += 100ms;
    Turns.arrived(OrganisationName("o" + std::to_string(Index)), Now);
  }
  CHECK(Turns.size() <= 1600);
}
