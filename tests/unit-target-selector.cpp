// Tests of the choice of a target by load, speed, failures and domain.
#include "balsamwheel/detail/load/target_selector.h"

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <vector>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{std::chrono::hours(1)};
const InstanceName A("a");
const InstanceName B("b");
const std::vector<TargetSelector::Candidate> Both{
    {.m_Target = A, .m_SameDomain = true}, {.m_Target = B}};

GateReport report(std::uint32_t Running, Duration Service) {
  return {.m_Running = Running, .m_Slots = 9, .m_Service = Service};
}

} // namespace

TEST_CASE("the target with the least expected completion time is chosen") {
  TargetSelector Selector({});
  Selector.report(A, report(9, 100ms));
  Selector.report(B, report(0, 150ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  Selector.report(B, report(0, 300ms));
  CHECK(Selector.choose(Both, false, 0, Start) == A);
}

TEST_CASE("requests sent since the last report count as load") {
  TargetSelector Selector({});
  Selector.report(A, report(0, 100ms));
  Selector.report(B, report(0, 100ms));
  for (int Count = 0; Count < 3; ++Count)
    Selector.sent(A);
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE("targets with closed or unknown gates are never chosen") {
  TargetSelector Selector({});
  CHECK_FALSE(Selector.choose(Both, false, 0, Start).has_value());
  Selector.report(A, {.m_Slots = 0, .m_Service = 1ms});
  CHECK_FALSE(Selector.choose(Both, false, 0, Start).has_value());
  Selector.report(B, report(9, 900ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  Selector.forget(B);
  CHECK_FALSE(Selector.choose(Both, false, 0, Start).has_value());
}

TEST_CASE("a target that fails requests is avoided until its failure rate "
          "decays") {
  TargetSelector Selector({});
  Selector.report(A, report(0, 50ms));
  Selector.report(B, report(0, 150ms));
  for (int Count = 0; Count < 6; ++Count)
    Selector.done(A, true, Start);
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  CHECK(Selector.choose(Both, false, 0, Start + 30s) == A);
}

TEST_CASE("requests with large answers prefer targets in the caller's domain") {
  TargetSelector Selector({});
  Selector.report(A, report(3, 100ms));
  Selector.report(B, report(0, 100ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  CHECK(Selector.choose(Both, true, 0, Start) == A);
}

TEST_CASE("the rate limit of a cold target counts in its completion time") {
  TargetSelector Selector({});
  Selector.report(A, {.m_Running = 0,
                      .m_Waiting = 4,
                      .m_Slots = 9,
                      .m_Service = 50ms,
                      .m_RateLimit = 8,
                      .m_SpareTokens = -4});
  Selector.report(B, report(9, 100ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE("a limited target is chosen while it has tokens to spare") {
  TargetSelector Selector({});
  GateReport Limited = report(0, 100ms);
  Limited.m_RateLimit = 2;
  Limited.m_SpareTokens = 2;
  Selector.report(A, Limited);
  Selector.report(B, report(3, 100ms));
  for (int Count = 0; Count < 2; ++Count) {
    CHECK(Selector.choose(Both, false, 0, Start) == A);
    Selector.sent(A);
  }
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE("entrances with the same old reports do not all choose one target") {
  TargetSelector Selector({});
  std::vector<TargetSelector::Candidate> Many;
  for (int Index = 0; Index < 26; ++Index) {
    Many.push_back({.m_Target = InstanceName("t" + std::to_string(Index))});
    // Service times differ by a factor of more than two.
    Selector.report(Many.back().m_Target,
                    report(0, std::chrono::milliseconds(200 + 10 * Index)));
  }
  std::map<InstanceName, int> Chosen;
  for (std::uint64_t Entrance = 0; Entrance < 2600; ++Entrance)
    ++Chosen[*Selector.choose(Many, false, Entrance, Start)];
  for (const auto &[Target, Count] : Chosen)
    CHECK(Count <= 3.2 * 100);
  CHECK(Chosen[InstanceName("t0")] > Chosen[InstanceName("t20")]);
}

TEST_CASE("a request stays in its domain while it can be in time there") {
  TargetSelector Selector({});
  Selector.report(A, report(6, 100ms));
  Selector.report(B, report(0, 100ms));
  for (std::uint64_t Random = 0; Random < 100; ++Random)
    CHECK(Selector.choose(Both, false, Random, Start, 500ms) == A);
  // Without any time left only the completion counts.
  CHECK(Selector.choose(Both, false, 0, Start) == B);
}

TEST_CASE(
    "requests leave a full domain in part, and only where there is room") {
  TargetSelector Selector({});
  const auto Stay = [&](std::uint32_t Load) {
    Selector.report(A, report(Load, 100ms));
    int Count = 0;
    for (std::uint64_t Random = 0; Random < 1000; ++Random)
      Count += Selector.choose(Both, false, Random, Start, 500ms) == A ? 1 : 0;
    return Count;
  };
  Selector.report(B, report(0, 100ms));
  CHECK(Stay(9) == 1000);
  CHECK(Stay(18) == doctest::Approx(500).epsilon(0.2));
  CHECK(Stay(36) == 0);
  Selector.report(B, report(50, 100ms));
  CHECK(Stay(36) == 1000);
}

TEST_CASE("requests that leave are spread in proportion to room") {
  TargetSelector Selector({});
  const InstanceName C("c");
  const std::vector<TargetSelector::Candidate> Three{
      {.m_Target = A, .m_SameDomain = true}, {.m_Target = B}, {.m_Target = C}};
  Selector.report(A, report(90, 100ms));
  Selector.report(B, report(0, 100ms));
  Selector.report(C, report(18, 100ms));
  int ToB = 0;
  for (std::uint64_t Random = 0; Random < 4000; ++Random)
    ToB += Selector.choose(Three, false, Random, Start, 500ms) == B ? 1 : 0;
  // Within 400 ms B can take 27 and C 9.
  CHECK(ToB == doctest::Approx(3000).epsilon(0.05));
}

TEST_CASE("a target that rejects requests gets less in proportion and gets its "
          "share back") {
  TargetSelector Selector({});
  const std::vector<TargetSelector::Candidate> Home{
      {.m_Target = A, .m_SameDomain = true},
      {.m_Target = B, .m_SameDomain = true}};
  Selector.report(A, report(0, 90ms));
  Selector.report(B, report(0, 100ms));
  const auto ToA = [&](TimePoint Now) {
    int Count = 0;
    for (std::uint64_t Random = 0; Random < 1000; ++Random)
      Count += Selector.choose(Home, false, Random, Now, 500ms) == A ? 1 : 0;
    return Count;
  };
  CHECK(ToA(Start) == 1000);
  for (int Count = 0; Count < 200; ++Count)
    Selector.done(A, Count % 2 ? AttemptEnd::Rejected : AttemptEnd::Accepted,
                  Start);
  CHECK(ToA(Start) == doctest::Approx(500).epsilon(0.15));
  // Rejections are no failures: the completion is expected as before.
  CHECK(*Selector.expectedCompletion(A, Start) == 90ms);
  for (int Count = 0; Count < 200; ++Count)
    Selector.done(A, AttemptEnd::Rejected, Start);
  CHECK(ToA(Start) == doctest::Approx(50).epsilon(0.5));
  // It is found out that the target accepts again...
  for (int Count = 0; Count < 30; ++Count)
    Selector.done(A, AttemptEnd::Accepted, Start);
  CHECK(ToA(Start) > 900);
  // ...also when nobody has sent anything.
  for (int Count = 0; Count < 200; ++Count)
    Selector.done(A, AttemptEnd::Rejected, Start);
  CHECK(ToA(Start + 6s) > 900);
}

TEST_CASE("a target that rejects 55 % of its share for 8 s gets about what it "
          "accepts, and its share again afterwards") {
  constexpr int Targets = 4;
  constexpr int PerSecond = 100;
  // Of a share of 25.
  constexpr double AcceptedPerSecond = 11;
  constexpr int Period = 8;
  TargetSelector Selector({});
  std::vector<TargetSelector::Candidate> All;
  for (int Index = 0; Index < Targets; ++Index) {
    All.push_back({.m_Target = InstanceName("t" + std::to_string(Index)),
                   .m_SameDomain = true});
    Selector.report(All.back().m_Target, report(0, 100ms));
  }
  const InstanceName &Full = All.front().m_Target;
  double Tokens = 0;
  int Rejected = 0;
  int Accepted = 0;
  int SentLater = 0;
  for (int Request = 0; Request < 2 * Period * PerSecond; ++Request) {
    const TimePoint Now = Start + Request * Duration(1s) / PerSecond;
    const int Second = Request / PerSecond;
    // Equal loads, so that the sample alone decides.
    for (const auto &Each : All)
      Selector.report(Each.m_Target, report(0, 100ms));
    Tokens = std::min(3.0, Tokens + AcceptedPerSecond / PerSecond);
    const auto Chosen = Selector.choose(All, false, Request, Now, 1s);
    if (Chosen == Full && Second < Period && Tokens < 1) {
      ++Rejected;
      Selector.done(*Chosen, AttemptEnd::Rejected, Now);
      continue;
    }
    if (Chosen == Full && Second < Period) {
      ++Accepted;
      Tokens -= 1;
    }
    SentLater += Chosen == Full && Second >= Period + 2 ? 1 : 0;
    Selector.done(*Chosen, AttemptEnd::Accepted, Now);
  }
  MESSAGE("of " << Period * PerSecond / Targets << " requests in 8 s "
                << Accepted << " accepted, " << Rejected << " rejected; "
                << SentLater << " of " << (Period - 2) * PerSecond / Targets
                << " sent from 2 s later on");
  // A share that doesn't fall would be rejected 112 times.
  CHECK(Rejected < 75);
  CHECK(Accepted > 0.85 * AcceptedPerSecond * Period);
  CHECK(SentLater > 0.85 * (Period - 2) * PerSecond / Targets);
}

namespace {

/// A service in three failure domains with 75 entrances, whose demand swings by
/// 55 % with a period of 15 s. The targets of the first domain are too few for
/// its demand.
class ThreeDomains {
public:
  struct Result {
    int m_Requests = 0;
    int m_AtHome = 0;
    int m_InTime = 0;
    /// In the domains that have enough targets.
    int m_RoomyRequests = 0;
    int m_RoomyAtHome = 0;
    /// Requests, and those that stayed, of the domain that has too few targets,
    /// by half seconds.
    std::map<std::int64_t, std::pair<int, int>> m_FullDomain;
    double homeRatio() const { return ratio(m_AtHome, m_Requests); }
    double roomyHomeRatio() const {
      return ratio(m_RoomyAtHome, m_RoomyRequests);
    }
    double inTimeRatio() const { return ratio(m_InTime, m_Requests); }
    /// Greatest change of the full domain's ratio within half a second.
    double greatestSwitch() const {
      double Greatest = 0;
      std::optional<double> Last;
      for (const auto &[Time, Counts] : m_FullDomain) {
        const double Ratio = ratio(Counts.second, Counts.first);
        Greatest = std::max(Greatest, std::abs(Ratio - Last.value_or(Ratio)));
        Last = Ratio;
      }
      return Greatest;
    }

  private:
    static double ratio(int Part, int All) {
      return static_cast<double>(Part) / All;
    }
  };

  explicit ThreeDomains(bool UseTimeLeft) : m_UseTimeLeft(UseTimeLeft) {
    for (int Domain = 0; Domain < 3; ++Domain)
      for (int Each = 0; Each < TargetsOf[Domain]; ++Each) {
        const InstanceName Name("t" + std::to_string(m_Targets.size()));
        // Speeds from 0.55 to 1.6.
        const double Speed =
            0.55 + 1.05 * Each / std::max(1, TargetsOf[Domain] - 1);
        m_Targets.push_back(
            {.m_Name = Name, .m_Domain = Domain, .m_Speed = Speed});
      }
    for (int Index = 0; Index < 75; ++Index) {
      Entrance &Added = m_Entrances.emplace_back();
      Added.m_Domain = Index % 3;
      for (const Target &Each : m_Targets)
        Added.m_Candidates.push_back(
            {.m_Target = Each.m_Name,
             .m_SameDomain = Each.m_Domain == Added.m_Domain});
      Added.m_Told.resize(m_Targets.size());
      at(secondsToDuration(uniform() / RatePerEntrance),
         [this, Index] { arrive(Index); });
    }
    for (std::size_t Index = 0; Index < m_Targets.size(); ++Index)
      at(secondsToDuration(uniform() * 0.694), [this, Index] { tell(Index); });
  }

  Result run(Duration Length) {
    while (!m_Events.empty() && m_Events.top().m_At < Length) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Do();
    }
    return m_Result;
  }

private:
  static constexpr std::array<int, 3> TargetsOf{5, 9, 10};
  static constexpr std::uint32_t Slots = 12;
  static constexpr std::size_t MaxWaiting = 24;
  static constexpr double RatePerEntrance = 16.5;
  static constexpr Duration Objective = 600ms;
  /// Reports and results before this time don't count.
  static constexpr Duration WarmUp = 3s;

  struct Event {
    Duration m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Order) < std::tie(m_At, m_Order);
    }
  };
  struct Request {
    std::size_t m_Entrance;
    Duration m_Arrived;
  };
  struct Target {
    InstanceName m_Name;
    int m_Domain = 0;
    double m_Speed = 1;
    std::uint32_t m_Running = 0;
    std::deque<Request> m_Waiting;
    GateReport report() const {
      return {.m_Running = m_Running,
              .m_Waiting = static_cast<std::uint32_t>(m_Waiting.size()),
              .m_Slots = Slots,
              .m_Service = secondsToDuration(BaseService / m_Speed)};
    }
  };
  struct Told {
    GateReport m_Report;
    Duration m_At{-1h};
  };
  struct Entrance {
    int m_Domain = 0;
    TargetSelector m_Selector{{}};
    std::vector<TargetSelector::Candidate> m_Candidates;
    std::vector<Told> m_Told;
  };

  static constexpr double BaseService = 0.15;

  static Duration secondsToDuration(double Seconds) {
    return Duration(static_cast<Duration::rep>(Seconds * 1e6));
  }
  double uniform() {
    return (static_cast<double>(m_Random()) + 1) / (pcg32::max() + 1.0);
  }
  void at(Duration In, std::function<void()> Do) {
    m_Events.push({m_Now + In, ++m_Order, std::move(Do)});
  }
  Duration delay(const Entrance &From, const Target &To) const {
    return From.m_Domain == To.m_Domain ? Duration(500us) : Duration(8ms);
  }
  TimePoint now() const { return Start + m_Now; }

  /// Reports as in ReportSchedule.
  void tell(std::size_t Index) {
    const Target &From = m_Targets[Index];
    const GateReport Report = From.report();
    for (std::size_t Each = 0; Each < m_Entrances.size(); ++Each) {
      Entrance &To = m_Entrances[Each];
      Told &Known = To.m_Told[Index];
      const auto Load = [](const GateReport &Gate) {
        return static_cast<double>(Gate.m_Running + Gate.m_Waiting);
      };
      const bool Much =
          std::abs(Load(Report) - Load(Known.m_Report)) > 0.25 * Slots;
      if (To.m_Domain != From.m_Domain && !Much && m_Now - Known.m_At < 1040ms)
        continue;
      Known = {.m_Report = Report, .m_At = m_Now};
      at(delay(To, From), [this, Each, Index, Report] {
        m_Entrances[Each].m_Selector.report(m_Targets[Index].m_Name, Report);
      });
    }
    at(694ms, [this, Index] { tell(Index); });
  }

  void arrive(int Index) {
    constexpr double Pi = 3.14159265358979;
    const double Seconds = static_cast<double>(m_Now.count()) / 1e6;
    const double Rate =
        RatePerEntrance * (1 + 0.55 * std::sin(2 * Pi * Seconds / 15));
    at(secondsToDuration(-std::log(uniform()) / Rate),
       [this, Index] { arrive(Index); });
    Entrance &Here = m_Entrances[Index];
    const auto Chosen =
        Here.m_Selector.choose(Here.m_Candidates, false, m_Random(), now(),
                               m_UseTimeLeft ? Objective : Duration::zero());
    if (!Chosen)
      return; // Before the first reports.
    Here.m_Selector.sent(*Chosen);
    const std::size_t To = std::stoul(Chosen->value().substr(1));
    const bool Home = m_Targets[To].m_Domain == Here.m_Domain;
    if (m_Now > WarmUp) {
      ++m_Result.m_Requests;
      m_Result.m_AtHome += Home ? 1 : 0;
      m_Result.m_RoomyRequests += Here.m_Domain != 0 ? 1 : 0;
      m_Result.m_RoomyAtHome += Here.m_Domain != 0 && Home ? 1 : 0;
      if (Here.m_Domain == 0) {
        auto &[All, AtHome] = m_Result.m_FullDomain[m_Now / 500ms];
        ++All;
        AtHome += Home ? 1 : 0;
      }
    }
    const Request Sent{.m_Entrance = static_cast<std::size_t>(Index),
                       .m_Arrived = m_Now};
    at(delay(Here, m_Targets[To]), [this, To, Sent] { reach(To, Sent); });
  }

  void reach(std::size_t To, const Request &Sent) {
    Target &There = m_Targets[To];
    if (There.m_Running < Slots)
      return run(To, Sent);
    if (There.m_Waiting.size() < MaxWaiting)
      There.m_Waiting.push_back(Sent);
  }

  void run(std::size_t To, const Request &Sent) {
    Target &There = m_Targets[To];
    ++There.m_Running;
    const double Service =
        BaseService / There.m_Speed * (0.5 - 0.5 * std::log(uniform()));
    at(secondsToDuration(Service), [this, To, Sent] { end(To, Sent); });
  }

  void end(std::size_t To, const Request &Sent) {
    Target &There = m_Targets[To];
    --There.m_Running;
    if (!There.m_Waiting.empty()) {
      const Request Next = There.m_Waiting.front();
      There.m_Waiting.pop_front();
      run(To, Next);
    }
    at(delay(m_Entrances[Sent.m_Entrance], There),
       [this, To, Sent, Report = There.report()] {
         TargetSelector &Selector = m_Entrances[Sent.m_Entrance].m_Selector;
         Selector.report(m_Targets[To].m_Name, Report);
         Selector.done(m_Targets[To].m_Name, AttemptEnd::Accepted, now());
         if (Sent.m_Arrived > WarmUp && m_Now - Sent.m_Arrived <= Objective)
           ++m_Result.m_InTime;
       });
  }

  bool m_UseTimeLeft;
  pcg32 m_Random{1};
  std::vector<Target> m_Targets;
  std::vector<Entrance> m_Entrances;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_Order = 0;
  Duration m_Now{0};
  Result m_Result;
};

} // namespace

TEST_CASE("requests stay in domains with room, and as many are in time") {
  const auto Former = ThreeDomains(false).run(33s);
  const auto Now = ThreeDomains(true).run(33s);
  MESSAGE("former rule: at home " << Former.homeRatio() << ", in domains with "
                                  << "room " << Former.roomyHomeRatio()
                                  << ", in time " << Former.inTimeRatio());
  MESSAGE("this rule: at home " << Now.homeRatio() << ", in domains with room "
                                << Now.roomyHomeRatio() << ", in time "
                                << Now.inTimeRatio() << ", greatest switch "
                                << Now.greatestSwitch());
  CHECK(Former.homeRatio() < 0.45);
  CHECK(Now.homeRatio() > 0.75);
  CHECK(Now.roomyHomeRatio() > 0.85);
  CHECK(Now.inTimeRatio() >= Former.inTimeRatio());
  // Not all entrances of the full domain switch at once.
  CHECK(Now.greatestSwitch() < 0.4);
}

TEST_CASE("a target that was slow while cold is tried again when it has been "
          "idle") {
  TargetSelector Selector({});
  const auto Choose = [&](Duration Idle) {
    Selector.report(A, report(3, 100ms));
    Selector.report(B, report(0, idleServiceTime(350ms, Idle)));
    return Selector.choose(Both, false, 0, Start);
  };
  CHECK(Choose(0s) == A);
  CHECK(Choose(1s) == A);
  CHECK(Choose(2s) == B);
  CHECK(idleServiceTime(400ms, 1h) == 100ms);
}

TEST_CASE("a target that has just started gets requests beside fast ones that "
          "aren't idle") {
  TargetSelector Selector({});
  Selector.report(A, report(3, 60ms));
  Selector.report(B, report(0, 0ms));
  CHECK(Selector.choose(Both, false, 0, Start) == B);
  for (int Count = 0; Count < 9; ++Count)
    Selector.sent(B);
  CHECK(Selector.choose(Both, false, 0, Start) == A);
}
