// The behaviour of the target stand-in as a pure state machine: slots, an
// inner queue, a cold start, collapse under lasting overload, fences.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace balsamwheel::bench {

struct TargetModelOptions {
  std::uint32_t m_Slots = 10;
  /// Share of the slots that work right after a cold start.
  double m_ColdShare = 0.2;
  Duration m_WarmUp = std::chrono::seconds(10);
  /// A target that is not warm collapses after this long with more than
  /// m_CollapseFactor times the orders that it has working slots.
  Duration m_CollapseAfter = std::chrono::seconds(1);
  double m_CollapseFactor = 2.0;
  /// Time without any answer after a collapse.
  Duration m_RestartTime = std::chrono::seconds(2);
  /// Orders inside at which further ones are shed.
  std::uint32_t m_MaxOrders = 130;
  bool m_ChecksFences = false;
  bool m_StartsCold = false;
};

/// An order as it arrived.
struct TargetOrder {
  std::string m_RequestId;
  std::string m_Service;
  std::string m_Key;
  std::string m_Shard;
  Epoch m_Epoch;
  Duration m_ServiceTime{0};
  /// Time allowed since the arrival; 0 for no limit.
  Duration m_TimeLeft{0};
};

enum class TargetEnd : std::uint8_t {
  Done,
  /// Refused before it ran.
  Shed,
  /// Refused before it ran: the epoch is older than one seen.
  Fenced,
  /// Withdrawn before it ran.
  Withdrawn,
  /// Ended while it ran, by a cancellation, its deadline or a collapse.
  Aborted,
  /// Lost before it ran, in a collapse.
  Lost,
};

/// One order that began to run.
struct Execution {
  std::string m_RequestId;
  std::string m_Service;
  std::string m_Key;
  std::string m_Shard;
  Epoch m_Epoch;
  TimePoint m_Start;
  /// Unset while it runs.
  std::optional<TimePoint> m_End;
  bool m_Completed = false;
};

struct TargetEvent {
  std::uint64_t m_Ticket = 0;
  TargetEnd m_End = TargetEnd::Done;
  /// The order, when it ran.
  std::optional<Execution> m_Execution;
};

/// Not thread-safe. Invariant: the orders that run at any time are at most
/// the working slots at the time the last one began.
class TargetModel {
public:
  TargetModel(TargetModelOptions Options, TimePoint Now);

  /// Takes an order in; what follows is reported by advance().
  void arrive(std::uint64_t Ticket, TargetOrder Order, TimePoint Now);
  /// Ends an order early; false when there is none of that request.
  bool cancel(const std::string &RequestId, TimePoint Now);
  /// Records the epoch of a grant.
  void grant(const std::string &Service, const std::string &Shard,
             Epoch Current);
  /// Moves to \p Now. \returns what ended.
  std::vector<TargetEvent> advance(TimePoint Now);
  /// Orders that began since the last call.
  std::vector<std::pair<std::uint64_t, Execution>> takeStarted();

  void becomeCold(TimePoint Now);
  void restart(TimePoint Now);
  /// Service times are multiplied by this from now on.
  void setSlowFactor(double Factor) { m_SlowFactor = Factor; }

  /// When advance() has something to do; the far future when nothing runs.
  TimePoint nextWake(TimePoint Now) const;
  double load() const;
  /// Slots that work at this time.
  std::uint32_t workingSlots(TimePoint Now) const;
  bool restarting(TimePoint Now) const { return Now < m_DownUntil; }
  std::uint64_t collapses() const { return m_Collapses; }
  std::uint32_t peakOrders() const { return m_PeakOrders; }

private:
  struct Waiting {
    std::uint64_t m_Ticket;
    TargetOrder m_Order;
    TimePoint m_Deadline;
  };
  struct Running {
    Execution m_Execution;
    TimePoint m_EndsAt;
    TimePoint m_Deadline;
  };

  bool isFenced(const TargetOrder &Order);
  void startWaiting(TimePoint Now);
  void finishDue(TimePoint Now);
  void expireWaiting(TimePoint Now);
  void checkCollapse(TimePoint Now);
  void dropAllOrders(TimePoint Now);
  void reportEnd(std::uint64_t Ticket, TargetEnd EndKind);
  void endRunning(std::map<std::uint64_t, Running>::iterator Order,
                  TargetEnd EndKind, TimePoint Now);

  TargetModelOptions m_Options;
  std::map<std::uint64_t, Running> m_Running;
  std::deque<Waiting> m_Waiting;
  /// Highest epoch seen of each service and shard.
  std::map<std::pair<std::string, std::string>, Epoch> m_Epochs;
  std::vector<TargetEvent> m_Events;
  std::vector<std::pair<std::uint64_t, Execution>> m_Started;
  TimePoint m_ColdSince;
  TimePoint m_DownUntil;
  std::optional<TimePoint> m_OverloadedSince;
  double m_SlowFactor = 1;
  std::uint64_t m_Collapses = 0;
  std::uint32_t m_PeakOrders = 0;
};

} // namespace balsamwheel::bench
