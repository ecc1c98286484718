// Exponentially distributed gaps between arrivals, Zipf-distributed keys.
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
    std::seed_seq SeedSequence{Plan.m_Seed, ++Index};
    StreamState State{.m_Stream = Stream,
                      .m_Random = std::mt19937_64(SeedSequence),
                      .m_KeyRanks = zipf(Stream.m_Keys, Stream.m_Zipf),
                      .m_Next = Start,
                      .m_KeyGeneration = 0};
    schedule(State, Start);
    m_StreamStates.push_back(std::move(State));
  }
}

void Arrivals::schedule(StreamState &State, TimePoint After) {
  if (State.m_Stream.m_Rate <= 0) {
    State.m_Next = TimePoint::max();
    return;
  }
  std::exponential_distribution<double> Gap(State.m_Stream.m_Rate);
  State.m_Next =
      After + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(Gap(State.m_Random)));
}

std::string Arrivals::drawKey(StreamState &State) {
  if (!State.m_Stream.m_Keyed)
    return "";
  const std::uint32_t Rank = State.m_KeyRanks(State.m_Random);
  return "key-" + std::to_string(State.m_KeyGeneration) + "-" +
         std::to_string(Rank);
}

std::size_t Arrivals::nextStream() const {
  const auto Earliest =
      std::ranges::min_element(m_StreamStates, {}, &StreamState::m_Next);
  return static_cast<std::size_t>(Earliest - m_StreamStates.begin());
}

std::optional<TimePoint> Arrivals::nextTime() const {
  if (m_StreamStates.empty())
    return std::nullopt;
  const TimePoint Time = m_StreamStates[nextStream()].m_Next;
  if (Time == TimePoint::max())
    return std::nullopt;
  return Time;
}

Arrival Arrivals::takeNext() {
  const std::size_t Index = nextStream();
  StreamState &State = m_StreamStates[Index];
  Arrival Result{.m_Stream = static_cast<std::uint32_t>(Index),
                 .m_Time = State.m_Next,
                 .m_Key = drawKey(State)};
  schedule(State, State.m_Next);
  return Result;
}

void Arrivals::setRate(std::size_t Stream, double Rate, TimePoint Now) {
  StreamState &State = m_StreamStates.at(Stream);
  State.m_Stream.m_Rate = Rate;
  schedule(State, Now);
}

void Arrivals::renameKeys(std::size_t Stream) {
  ++m_StreamStates.at(Stream).m_KeyGeneration;
}

} // namespace balsamwheel::bench
