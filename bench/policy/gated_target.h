// A modelled target behind the admission gate of its daemon.
#pragma once

#include "policy/modelled_target.h"

#include <functional>
#include <unordered_map>

namespace balsamwheel::policy {

enum class SendResult : std::uint8_t { Answered, Failed, Refused };

/// Queues, runs, refuses and cancels requests as a node does.
class GatedTarget {
public:
  using CompletionHandler = std::function<void(SendResult)>;

  GatedTarget(EventLoop &Loop, const AdmissionOptions &Gate,
              const ModelledTargetOptions &TargetOptions);

  /// Sends a request.
  ///
  /// \param ServiceTime its service time on a target that is neither overloaded
  /// nor slowed.
  /// \param OnCompletion called once, unless the request is cancelled.
  /// \returns a handle for cancel().
  RequestHandle send(Urgency Class, Duration ServiceTime, TimePoint Deadline,
                     CompletionHandler OnCompletion);
  /// Cancels a request that waits or runs; its completion handler is not
  /// called.
  void cancel(RequestHandle Handle);
  ModelledTarget &target() { return m_Target; }

private:
  struct Send {
    Urgency m_Class = Urgency::Interactive;
    Duration m_ServiceTime{0};
    CompletionHandler m_OnCompletion;
    // Id of the running request at the target; 0 while it waits in the queue.
    std::uint64_t m_TargetRequest = 0;
  };

  void start(RequestHandle Handle);
  void finish(RequestHandle Handle, const OrderResult &Result);
  void end(RequestHandle Handle, SendResult Result);
  void processQueue();
  void sweep();

  EventLoop &m_Loop;
  AdmissionGate m_Gate;
  ModelledTarget m_Target;
  std::unordered_map<RequestHandle, Send> m_Sends;
  std::uint64_t m_NextHandle = 1;
};

} // namespace balsamwheel::policy
