// Test rig: several nodes with skewed clocks on a simulated table, network and
// targets, with injected faults and an oracle that checks invariants.
#pragma once

#include "fake_network.h"
#include "fake_table.h"
#include "fake_target.h"
#include "node_oracle.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace balsamwheel::testing {

struct RigOptions {
  std::uint64_t m_Seed = 1;
  std::uint32_t m_GroupSize = 16;
  HandoverMode m_Handover = HandoverMode::SwitchThenResolve;
};

/// Actions that the random tests draw. Operands are reduced modulo the number
/// of daemons or keys.
enum class RigAction : std::uint8_t {
  Run,
  Request,
  Burst,
  Pause,
  Resume,
  Kill,
  Restart,
  CutPeer,
  CutTable,
  TableDown,
  TableSlow,
  TableAmbiguous,
  Silence,
  Loss,
  Duplicates,
  Late,
  FreezeTarget,
  ThawTarget,
  RestartTarget,
  LeaveTarget,
  DomainOut,
  DomainIn,
  Drain,
  Race,
  Shutdown,
  Heal,
  Settle,
  Count
};

class NodeRig {
public:
  explicit NodeRig(RigOptions Options);

  /// Performs one action. The effect depends only on the seed, the actions so
  /// far and the operands.
  void perform(RigAction Kind, std::uint64_t First, std::uint64_t Second);
  void run(Duration Time);
  /// Ends every fault, waits for recovery, and checks that every key is served.
  void settle();

  bool failed() const { return !m_Oracle.violations().empty(); }
  const NodeOracle &oracle() const { return m_Oracle; }
  std::size_t requests() const { return m_Attempts; }
  static std::string nameOf(RigAction Kind);

private:
  struct Daemon {
    std::unique_ptr<Node> m_Node;
    std::unique_ptr<FakeTarget> m_Target;
    std::string m_Domain;
    ServiceName m_Service;
    PeerAddress m_Peer;
    /// Local time = m_Offset + m_Rate * global time.
    double m_Rate = 1;
    Duration m_Offset{0};
    unsigned m_Run = 0;
    bool m_Alive = false;
    bool m_Paused = false;
    bool m_ShuttingDown = false;
    bool m_TargetAnnounced = false;
    std::optional<TimePoint> m_LeavingSince;
    std::vector<EventQueue::Action> m_Inbox;
    TimePoint m_NextTickAt = TimePoint::max();
    ConfigVersion m_Config;
    std::map<RequestHandle, CallerAttempt> m_OpenAttempts;
  };

  /// An order at a target, until its end or its deadline.
  struct ActiveOrder {
    std::size_t m_Daemon = 0;
    std::string m_Key;
    TimePoint m_Deadline;
  };

  /// A request, as its caller keeps it across attempts.
  struct Caller {
    RequestMeta m_Meta;
    /// Send times of the attempts that may have run.
    std::set<TimePoint> m_UnsettledSends;
  };

  TimePoint localTime(const Daemon &ThisDaemon) const;
  TimePoint globalTime(const Daemon &ThisDaemon, TimePoint Local) const;
  std::size_t indexOf(const PeerAddress &Peer) const;

  void startDaemon(std::size_t Index);
  void announceTarget(std::size_t Index);
  void killDaemon(std::size_t Index);
  void resumeDaemon(std::size_t Index);
  /// Passes an event to a node, now or when it is resumed.
  void callNode(std::size_t Index,
                std::function<void(Node &, TimePoint)> Event);
  void afterNodeCall(std::size_t Index);
  void scheduleTick(std::size_t Index);
  void applyEffect(std::size_t Index, Effect Requested);
  void send(std::size_t Sender, const PeerAddress &Receiver,
            PeerMessage Message);
  void startOrder(std::size_t Index, StartOrder Order);
  void reportOrder(std::size_t Index, unsigned Run, OrderId Order, OrderEnd End,
                   const HttpAnswer &Http, TimePoint Started);
  void answer(std::size_t Index, const AnswerCaller &Answer);

  void request(std::uint64_t First, std::uint64_t Second);
  void sendAttempt(const std::shared_ptr<Caller> &ThisCaller, std::size_t Index,
                   Duration TimeToDeadline);
  void scheduleRetry(const std::shared_ptr<Caller> &ThisCaller,
                     Duration TimeToDeadline);
  void changeConfig(const std::function<void(Config &)> &Change);
  void raceConfigs(std::uint64_t First);
  Config currentConfig() const;
  void heal();
  void markFault() { m_FaultFreeSince = TimePoint::max(); }
  bool isFaultFree() const { return m_FaultFreeSince <= m_Queue.now(); }

  void checkOwners();
  void checkVersions(std::size_t Index);
  void checkOrderAllowed(std::size_t Index, const StartOrder &Order);
  void checkServed();
  /// Writes the state of each node to the trace.
  void traceNodeStates();

  RigOptions m_Options;
  RandomSource m_Random;
  EventQueue m_Queue;
  NodeOracle m_Oracle;
  FakeTable m_Table;
  FakeNetwork m_Network;
  std::vector<Daemon> m_Daemons;
  std::vector<std::string> m_Keys;
  std::map<std::pair<std::size_t, std::uint64_t>, ActiveOrder> m_Orders;
  std::map<RequestHandle, std::shared_ptr<Caller>> m_Callers;
  std::map<std::string, TimePoint> m_DomainOutSince;
  TimePoint m_FaultFreeSince;
  std::uint64_t m_LastHandle = 0;
  std::size_t m_Attempts = 0;
  std::size_t m_LastId = 0;
  bool m_Ending = false;
};

} // namespace balsamwheel::testing
