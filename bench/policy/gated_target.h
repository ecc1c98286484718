// A modelled target behind the gate of its daemon.
#pragma once

#include "policy/modelled_target.h"

#include <functional>
#include <unordered_map>

namespace balsamwheel::policy {

enum class SendEnd : std::uint8_t { Answered, Failed, Refused };

/// Queues, runs, refuses and cancels sends the way a node does.
class GatedTarget {
public:
  using Done = std::function<void(SendEnd)>;

  GatedTarget(EventLoop &Loop, const AdmissionOptions &Gate,
              const TargetModel &Model);

  /// \returns a handle for cancel().
  RequestHandle send(Urgency Class, Duration Work, TimePoint Deadline,
                     Done Report);
  /// Withdraws a send; it is not reported.
  void cancel(RequestHandle Handle);
  ModelledTarget &target() { return m_Target; }

private:
  struct Send {
    Urgency m_Class = Urgency::Interactive;
    Duration m_Work{0};
    Done m_Report;
    // 0 while it waits.
    std::uint64_t m_Order = 0;
  };

  void start(RequestHandle Handle);
  void finish(RequestHandle Handle, const OrderResult &Result);
  void end(RequestHandle Handle, SendEnd How);
  void drain();
  void sweep();

  EventLoop &m_Loop;
  AdmissionGate m_Gate;
  ModelledTarget m_Target;
  std::unordered_map<RequestHandle, Send> m_Sends;
  std::uint64_t m_NextHandle = 1;
};

} // namespace balsamwheel::policy
