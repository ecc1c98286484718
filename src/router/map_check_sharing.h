// Shares the checks of a key map among the daemons of a service: one check of
// the platform's table extends the authority of all owners that asked for it.
//
// Load pattern: hundreds of owners of one service, each of which has to know
// every few seconds that the map is still in force.
//
// An owner counts its authority from when it asked. The check starts after the
// question has arrived, so this is never later than the start of the check,
// however long the answer takes.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace balsamwheel {

struct MapCheckSharingOptions {
  /// Time for which questions are collected before a check is started.
  Duration m_CollectTime = std::chrono::milliseconds(250);
  /// Time after which a question without an answer counts as failed. With the
  /// interval between checks, it leaves the asker time for a check of its own.
  Duration m_AnswerTimeout = std::chrono::milliseconds(900);
  /// How long a peer that has failed to answer isn't asked again.
  Duration m_AvoidTime = std::chrono::seconds(4);
};

/// Chooses whom an owner asks. Not thread-safe.
class MapCheckAsker {
public:
  explicit MapCheckAsker(MapCheckSharingOptions Options) : m_Options(Options) {}

  /// Returns the daemon to ask; none if this one is to check the map itself.
  /// \param Checkers daemons that can reach the table, in the same order at all
  ///        daemons.
  std::optional<InstanceName> choose(const std::vector<InstanceName> &Checkers,
                                     const InstanceName &Self, TimePoint Now) {
    std::erase_if(m_Avoided,
                  [&](const auto &Each) { return Each.second <= Now; });
    for (const InstanceName &Each : Checkers) {
      if (Each == Self)
        return std::nullopt;
      if (!m_Avoided.contains(Each))
        return Each;
    }
    return std::nullopt;
  }

  void failed(const InstanceName &Checker, TimePoint Now) {
    m_Avoided[Checker] = Now + m_Options.m_AvoidTime;
  }

private:
  MapCheckSharingOptions m_Options;
  /// Until when a peer isn't asked.
  std::map<InstanceName, TimePoint> m_Avoided;
};

/// A question of a peer whether the map is in force.
struct MapCheckQuestion {
  std::uint64_t m_Link = 0;
  std::uint64_t m_Stream = 0;
  TimePoint m_ReceivedAt;
};

/// Collects the questions of peers. Not thread-safe.
class MapCheckCollector {
public:
  explicit MapCheckCollector(MapCheckSharingOptions Options)
      : m_Options(Options) {}

  void add(const MapCheckQuestion &Question) {
    m_Questions.push_back(Question);
  }
  /// When a check for the questions is to be started; none without questions.
  std::optional<TimePoint> due() const {
    if (m_Questions.empty())
      return std::nullopt;
    return m_Questions.front().m_ReceivedAt + m_Options.m_CollectTime;
  }
  /// Removes and returns the questions that a check answers which was started
  /// at \p StartedAt.
  std::vector<MapCheckQuestion> takeAnswered(TimePoint StartedAt) {
    const auto First =
        std::stable_partition(m_Questions.begin(), m_Questions.end(),
                              [&](const MapCheckQuestion &Each) {
                                return Each.m_ReceivedAt > StartedAt;
                              });
    std::vector<MapCheckQuestion> Result(First, m_Questions.end());
    m_Questions.erase(First, m_Questions.end());
    return Result;
  }

private:
  MapCheckSharingOptions m_Options;
  std::vector<MapCheckQuestion> m_Questions;
};

} // namespace balsamwheel
