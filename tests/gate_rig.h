// Simulation of open-loop arrivals at a request gate whose target has random
// service times; deterministic.
#pragma once

#include "balsamwheel/detail/load/request_gate.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace balsamwheel::tests {

using namespace std::chrono_literals;

/// Requests of one kind.
struct Stream {
  /// Requests per second, by the seconds since the start.
  std::function<double(double)> m_Rate;
  std::string m_Organisation;
  std::string m_Route = "r";
  std::uint32_t m_Priority = 1;
  bool m_Nested = false;
  Duration m_Service = 200ms;
  Duration m_Objective = 600ms;
  Duration m_Timeout = 1800ms;
  /// How often a caller sends a request that is refused, each time when it was
  /// told to.
  int m_Tries = 1;
};

struct StreamResult {
  int m_Offered = 0;
  int m_OnTime = 0;
  int m_Late = 0;
  /// Refused at arrival, displaced or expired; each try counts.
  int m_Refused = 0;
  int m_Displaced = 0;
  int m_Expired = 0;
  int m_SecondTries = 0;
  int m_SecondTriesAdmitted = 0;

  StreamResult &operator+=(const StreamResult &Other) {
    m_Offered += Other.m_Offered;
    m_OnTime += Other.m_OnTime;
    m_Late += Other.m_Late;
    m_Refused += Other.m_Refused;
    m_Displaced += Other.m_Displaced;
    m_Expired += Other.m_Expired;
    m_SecondTries += Other.m_SecondTries;
    m_SecondTriesAdmitted += Other.m_SecondTriesAdmitted;
    return *this;
  }
  double served() const {
    return static_cast<double>(m_OnTime + m_Late) / std::max(m_Offered, 1);
  }
  double onTime() const {
    return static_cast<double>(m_OnTime) / std::max(m_Offered, 1);
  }
};

class GateSimulation {
public:
  GateSimulation(RequestGateOptions Options, std::uint32_t Slots,
                 std::vector<Stream> Streams, std::uint64_t Seed = 7)
      : m_Gate(Options), m_Streams(std::move(Streams)),
        m_Results(m_Streams.size()), m_Random(Seed),
        m_ExpireInterval(Options.m_ExpireInterval) {
    m_Gate.open(Slots);
  }

  /// Runs for a time; requests that arrive then are counted.
  /// \returns the results by stream.
  std::vector<StreamResult> run(Duration Time) {
    m_Results.assign(m_Streams.size(), {});
    for (const TimePoint End = m_Now + Time; m_Now < End; m_Now += Tick)
      step();
    return m_Results;
  }

  std::uint32_t running() const { return m_Gate.running(); }

private:
  struct Item {
    std::size_t m_Stream;
    int m_Try;
    TimePoint m_ArrivedAt;
    Duration m_Took;
  };
  static constexpr Duration Tick = 1ms;

  void step() {
    while (!m_Running.empty() && m_Running.begin()->first <= m_Now)
      finish();
    while (!m_Returns.empty() && m_Returns.begin()->first <= m_Now) {
      const Item Back = m_Returns.begin()->second;
      m_Returns.erase(m_Returns.begin());
      offer(Back);
    }
    std::uniform_real_distribution<double> Uniform(0, 1);
    const double Seconds = std::chrono::duration<double>(m_Now - Begin).count();
    const std::size_t First =
        m_Random(static_cast<std::uint32_t>(m_Streams.size()));
    for (std::size_t Count = 0; Count < m_Streams.size(); ++Count) {
      const std::size_t Index = (First + Count) % m_Streams.size();
      if (Uniform(m_Random) >= m_Streams[Index].m_Rate(Seconds) * 0.001)
        continue;
      ++m_Results[Index].m_Offered;
      offer({.m_Stream = Index,
             .m_Try = 1,
             .m_ArrivedAt = m_Now,
             .m_Took = Duration::zero()});
    }
    if (m_Now >= m_NextExpiry) {
      m_NextExpiry = m_Now + m_ExpireInterval;
      expire();
    }
    if (m_Wake && *m_Wake <= m_Now)
      sendNext();
  }

  void offer(Item Offered) {
    const Stream &Kind = m_Streams[Offered.m_Stream];
    const std::uint64_t Handle = ++m_LastHandle;
    std::uniform_real_distribution<double> Factor(0.6, 1.4);
    Offered.m_Took =
        std::chrono::duration_cast<Duration>(Kind.m_Service * Factor(m_Random));
    const GateDecision Decision =
        m_Gate.offer({.m_Handle = RequestHandle(Handle),
                      .m_Route = Kind.m_Route,
                      .m_Priority = Kind.m_Priority,
                      .m_Organisation = OrganisationName(Kind.m_Organisation),
                      .m_Nested = Kind.m_Nested,
                      .m_Objective = Offered.m_ArrivedAt + Kind.m_Objective,
                      .m_Deadline = Offered.m_ArrivedAt + Kind.m_Timeout},
                     m_Now);
    m_Items[Handle] = Offered;
    StreamResult &Result = m_Results[Offered.m_Stream];
    const bool Admitted = Decision.m_Verdict != GateVerdict::Refuse;
    if (Offered.m_Try == 2) {
      ++Result.m_SecondTries;
      Result.m_SecondTriesAdmitted += Admitted ? 1 : 0;
    }
    if (Decision.m_Displaced) {
      ++m_Results[m_Items.at(Decision.m_Displaced->value()).m_Stream]
            .m_Displaced;
      refused(Decision.m_Displaced->value(), Decision.m_RetryAfter);
    }
    if (Decision.m_Verdict == GateVerdict::Send)
      send(Handle);
    else if (!Admitted)
      refused(Handle, Decision.m_RetryAfter);
    sendNext();
  }

  void refused(std::uint64_t Handle, Duration RetryAfter) {
    Item Left = m_Items.extract(Handle).mapped();
    ++m_Results[Left.m_Stream].m_Refused;
    if (++Left.m_Try <= m_Streams[Left.m_Stream].m_Tries) {
      Left.m_ArrivedAt = m_Now + RetryAfter;
      m_Returns.emplace(Left.m_ArrivedAt, Left);
    }
  }

  void send(std::uint64_t Handle) {
    m_Running.emplace(m_Now + m_Items.at(Handle).m_Took, Handle);
  }

  void sendNext() {
    while (auto Next = m_Gate.next(m_Now))
      send(Next->value());
    m_Wake = m_Gate.nextWake(m_Now);
  }

  void expire() {
    for (RequestHandle Each : m_Gate.expire(m_Now)) {
      ++m_Results[m_Items.at(Each.value()).m_Stream].m_Expired;
      refused(Each.value(), 200ms);
    }
  }

  void finish() {
    const Item Ended = m_Items.extract(m_Running.begin()->second).mapped();
    m_Running.erase(m_Running.begin());
    const Stream &Kind = m_Streams[Ended.m_Stream];
    m_Gate.finished(Kind.m_Route, Kind.m_Priority, Ended.m_Took, true);
    StreamResult &Result = m_Results[Ended.m_Stream];
    ++(m_Now <= Ended.m_ArrivedAt + Kind.m_Objective ? Result.m_OnTime
                                                     : Result.m_Late);
    sendNext();
  }

  static constexpr TimePoint Begin{std::chrono::hours(1)};

  RequestGate m_Gate;
  std::vector<Stream> m_Streams;
  std::vector<StreamResult> m_Results;
  pcg32 m_Random;
  Duration m_ExpireInterval;
  TimePoint m_Now = Begin;
  TimePoint m_NextExpiry;
  std::optional<TimePoint> m_Wake;
  std::uint64_t m_LastHandle = 0;
  std::map<std::uint64_t, Item> m_Items;
  std::multimap<TimePoint, std::uint64_t> m_Running;
  std::multimap<TimePoint, Item> m_Returns;
};

inline std::function<double(double)> steady(double PerSecond) {
  return [PerSecond](double) { return PerSecond; };
}

/// \p PerSecond, and \p Factor times as many from \p From to \p To.
inline std::function<double(double)> burst(double PerSecond, double Factor,
                                           double From, double To) {
  return [=](double At) {
    return At >= From && At < To ? Factor * PerSecond : PerSecond;
  };
}

} // namespace balsamwheel::tests
