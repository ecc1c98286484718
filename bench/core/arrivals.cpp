// Exponential gaps and Zipf keys.
#include "bench/core/arrivals.h"

#include <algorithm>
#include <cmath>

namespace balsamwheel::bench {

namespace {

std::discrete_distribution<std::uint32_t> zipf(std::uint32_t Count,
                                               double Exponent) {
  std::vector<double> Weights;
  for (std::uint32_t Rank = 1; Rank <= Count; ++Rank)
    Weights.push_back(std::pow(static_cast<double>(Rank), -Exponent));
  return {Weights.begin(), Weights.end()};
}

} // namespace

const char *toString(Answer Value) {
  switch (Value) {
  case Answer::Done:
    return "done";
  case Answer::NotRun:
    return "not_run";
  case Answer::Unknown:
    return "unknown";
  case Answer::Wait:
    return "wait";
  case Answer::NoConnection:
    return "no_connection";
  case Answer::Broken:
    return "broken";
  case Answer::Malformed:
    return "malformed";
  }
  return "malformed";
}

Arrivals::Arrivals(const LoadPlan &Plan, TimePoint Start) {
  std::uint64_t Index = 0;
  for (const LoadStream &Stream : Plan.m_Streams) {
    std::seed_seq Seeds{Plan.m_Seed, ++Index};
    Source Each{.m_Stream = Stream,
                .m_Random = std::mt19937_64(Seeds),
                .m_KeyRanks = zipf(Stream.m_Keys, Stream.m_Zipf),
                .m_Next = Start,
                .m_KeyGeneration = 0};
    schedule(Each, Start);
    m_Sources.push_back(std::move(Each));
  }
}

void Arrivals::schedule(Source &Each, TimePoint After) {
  if (Each.m_Stream.m_Rate <= 0) {
    Each.m_Next = TimePoint::max();
    return;
  }
  std::exponential_distribution<double> Gap(Each.m_Stream.m_Rate);
  Each.m_Next = After + std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(Gap(Each.m_Random)));
}

std::string Arrivals::drawKey(Source &Each) {
  if (!Each.m_Stream.m_Keyed)
    return "";
  const std::uint32_t Rank = Each.m_KeyRanks(Each.m_Random);
  return "key-" + std::to_string(Each.m_KeyGeneration) + "-" +
         std::to_string(Rank);
}

std::size_t Arrivals::nextSource() const {
  const auto Earliest =
      std::ranges::min_element(m_Sources, {}, &Source::m_Next);
  return static_cast<std::size_t>(Earliest - m_Sources.begin());
}

std::optional<TimePoint> Arrivals::nextTime() const {
  if (m_Sources.empty())
    return std::nullopt;
  const TimePoint Time = m_Sources[nextSource()].m_Next;
  if (Time == TimePoint::max())
    return std::nullopt;
  return Time;
}

Arrival Arrivals::take() {
  const std::size_t Index = nextSource();
  Source &Each = m_Sources[Index];
  Arrival Result{.m_Stream = static_cast<std::uint32_t>(Index),
                 .m_Time = Each.m_Next,
                 .m_Key = drawKey(Each)};
  schedule(Each, Each.m_Next);
  return Result;
}

void Arrivals::setRate(std::size_t Stream, double Rate, TimePoint Now) {
  Source &Each = m_Sources.at(Stream);
  Each.m_Stream.m_Rate = Rate;
  schedule(Each, Now);
}

void Arrivals::shiftKeys(std::size_t Stream) {
  ++m_Sources.at(Stream).m_KeyGeneration;
}

} // namespace balsamwheel::bench
