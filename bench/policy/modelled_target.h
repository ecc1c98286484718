// A modelled target: slots, a cold start, and collapse when pushed too far.
#pragma once

#include "policy/event_loop.h"

#include <functional>
#include <unordered_map>

namespace balsamwheel::policy {

struct TargetModel {
  std::uint32_t m_Slots = 10;
  /// Share of the slots that a target bears when it starts.
  double m_ColdShare = 0.2;
  /// Time until a cold target bears all its slots.
  Duration m_Warming = std::chrono::seconds(10);
  /// Running orders over what it bears, that it stands for m_Patience.
  double m_BreakingPoint = 1.5;
  Duration m_Patience = std::chrono::milliseconds(250);
  /// Time during which a collapsed target refuses connections.
  Duration m_Downtime = std::chrono::seconds(1);
  bool m_StartsCold = false;
};

/// Orders share what the target bears: with more orders than that, each slows
/// down. Invariant: every started order is reported exactly once, unless it is
/// cancelled.
class ModelledTarget {
public:
  using Done = std::function<void(const OrderResult &)>;

  ModelledTarget(EventLoop &Loop, TargetModel Model);

  /// \param Work how long the order takes when it runs undisturbed.
  std::uint64_t start(Duration Work, Done Report);
  void cancel(std::uint64_t Order);
  /// Loses its warmth; with \p Fails it also fails its orders and is down for
  /// m_Downtime.
  void turnCold(bool Fails);
  /// Every order takes \p Factor times as long from now on.
  void setSlowness(double Factor);

  std::uint32_t collapses() const { return m_Collapses; }

private:
  struct Running {
    double m_WorkLeft = 0;
    TimePoint m_Start;
    Done m_Report;
  };

  double borne() const;
  double speed() const;
  void advance();
  void rescheduleNext();
  void complete(std::uint64_t Generation);
  void tick();
  void failAll();

  EventLoop &m_Loop;
  TargetModel m_Model;
  std::unordered_map<std::uint64_t, Running> m_Running;
  std::uint64_t m_NextOrder = 1;
  // Completions scheduled before the last change are void.
  std::uint64_t m_Generation = 0;
  TimePoint m_LastAdvance;
  TimePoint m_ColdSince;
  TimePoint m_DownUntil;
  TimePoint m_BearableAt;
  double m_Slowness = 1;
  std::uint32_t m_Collapses = 0;
};

} // namespace balsamwheel::policy
