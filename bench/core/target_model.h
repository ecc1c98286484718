// The behaviour of the target stand-in as a state machine without I/O: slots,
// an internal queue, cold starts, collapse under sustained overload, fences.
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
  /// Orders that run at the same time when the target is warm.
  std::uint32_t m_Slots = 10;
  /// Share of the slots that are usable right after a cold start.
  double m_ColdShare = 0.2;
  /// Time from a cold start until all slots are usable; their number grows
  /// linearly.
  Duration m_WarmUp = std::chrono::seconds(10);
  /// A target that is not warm collapses when, for this long, it holds more
  /// than m_CollapseFactor orders, running or waiting, per usable slot.
  Duration m_CollapseAfter = std::chrono::seconds(1);
  double m_CollapseFactor = 2.0;
  /// Time after a collapse in which every order is lost.
  Duration m_RestartTime = std::chrono::seconds(2);
  /// Number of orders, running and waiting, from which on further ones are
  /// shed.
  std::uint32_t m_MaxOrders = 130;
  /// Refuses orders whose epoch is older than the highest seen of their shard.
  bool m_ChecksFences = false;
  bool m_StartsCold = false;
};

/// An order as it arrives at the target.
struct TargetOrder {
  std::string m_RequestId;
  std::string m_Service;
  std::string m_Key;
  std::string m_Shard;
  Epoch m_Epoch;
  Duration m_ServiceTime{0};
  /// Time from the arrival to the deadline; 0 for no deadline.
  Duration m_TimeLeft{0};
};

enum class TargetEnd : std::uint8_t {
  Done,
  /// Refused before it ran, because the target holds too many orders.
  Shed,
  /// Refused before it ran, because its epoch is older than one seen.
  Fenced,
  /// Cancelled, or past its deadline, before it ran.
  Withdrawn,
  /// Ended while it ran, by a cancellation, its deadline, a collapse or a
  /// restart.
  Aborted,
  /// Lost before it ran, by a collapse or a restart.
  Lost,
};

/// One order that started to run.
struct Execution {
  std::string m_RequestId;
  std::string m_Service;
  std::string m_Key;
  std::string m_Shard;
  Epoch m_Epoch;
  TimePoint m_Start;
  /// None while it runs.
  std::optional<TimePoint> m_End;
  bool m_Completed = false;
};

/// The end of an order.
struct TargetEvent {
  std::uint64_t m_Ticket = 0;
  TargetEnd m_End = TargetEnd::Done;
  /// None when the order did not run.
  std::optional<Execution> m_Execution;
};

/// Not thread-safe. Invariant: the number of running orders never exceeds the
/// number of usable slots when the latest of them started.
class TargetModel {
public:
  TargetModel(TargetModelOptions Options, TimePoint Now);

  /// Accepts or refuses an order; advance() reports how it ended.
  ///
  /// \param Ticket number of the order, unique in this model.
  void arrive(std::uint64_t Ticket, TargetOrder Order, TimePoint Now);
  /// Cancels the order of a request, whether it runs or waits. \returns false
  /// when there is none.
  bool cancel(const std::string &RequestId, TimePoint Now);
  /// Records the epoch of a grant, for the fences.
  void grant(const std::string &Service, const std::string &Shard,
             Epoch Current);
  /// Advances the model to \p Now. \returns the orders that ended since the
  /// last call.
  std::vector<TargetEvent> advance(TimePoint Now);
  /// Returns the orders that started since the last call, with their tickets.
  std::vector<std::pair<std::uint64_t, Execution>> takeStarted();

  /// Starts a new warm-up; orders stay.
  void becomeCold(TimePoint Now);
  /// Drops all orders and epochs and starts a new warm-up.
  void restart(TimePoint Now);
  /// Sets the factor on the service times of orders that start from now on.
  void setSlowFactor(double Factor) { m_SlowFactor = Factor; }

  /// Returns the time of the next call of advance(); TimePoint::max() when
  /// nothing runs or waits.
  TimePoint nextWake(TimePoint Now) const;
  /// Returns running and waiting orders per slot.
  double load() const;
  /// Returns the slots that are usable at this time.
  std::uint32_t usableSlots(TimePoint Now) const;
  bool restarting(TimePoint Now) const { return Now < m_DownUntil; }
  std::uint64_t collapses() const { return m_Collapses; }
  /// Returns the largest number of orders, running and waiting, so far.
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
  /// Highest epoch seen, by service and shard.
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
