// The checks for each kind of violation.
#include "bench/core/oracle.h"

#include "bench/core/clock.h"

#include <algorithm>
#include <unordered_map>

namespace balsamwheel::bench {

namespace {

/// An order and the instance that ran it.
struct PlacedExecution {
  const Execution *m_Order;
  const InstanceExecutions *m_Instance;
};

using ExecutionsById =
    std::unordered_map<std::string, std::vector<PlacedExecution>>;

ExecutionsById groupById(const Observations &Observed) {
  ExecutionsById Result;
  for (const InstanceExecutions &Instance : Observed.m_Instances)
    for (const Execution &Order : Instance.m_Orders)
      Result[Order.m_RequestId].push_back({&Order, &Instance});
  return Result;
}

std::string describe(const PlacedExecution &Placed) {
  const Execution &Order = *Placed.m_Order;
  return Placed.m_Instance->m_Instance + " epoch " +
         std::to_string(Order.m_Epoch.value()) + " start " +
         std::to_string(toMicros(Order.m_Start)) + " end " +
         (Order.m_End ? std::to_string(toMicros(*Order.m_End)) : "none");
}

std::string describe(const RequestRecord &Request) {
  std::string Result = Request.m_Id + " key " + Request.m_Key + ":";
  for (const Attempt &Each : Request.m_Attempts)
    Result += std::string(" ") + toString(Each.m_Answer) + "(" + Each.m_Reason +
              ")@" + std::to_string(toMicros(Each.m_Sent)) + "-" +
              std::to_string(toMicros(Each.m_End)) + "/" +
              std::to_string(Each.m_Entrance);
  return Result;
}

bool reportsNotRun(const Attempt &Each) {
  return Each.m_Answer == Answer::NotRun || Each.m_Answer == Answer::Wait;
}

/// Checks the answers to one request against the orders that ran for it.
class RequestCheck {
public:
  RequestCheck(const RequestRecord &Request, bool Idempotent,
               const std::vector<PlacedExecution> &Orders,
               std::vector<Violation> &Violations)
      : m_Request(Request), m_Idempotent(Idempotent), m_Orders(Orders),
        m_Violations(Violations) {}

  void run() {
    if (!m_Idempotent && m_Orders.size() > 1)
      report(ViolationKind::RanTwice);
    if (m_Idempotent)
      checkNotRunIdempotent();
    else
      checkNotRun();
    checkDone();
  }

private:
  void report(ViolationKind Kind) {
    std::string Detail = describe(m_Request);
    for (const PlacedExecution &Order : m_Orders)
      Detail += "; ran at " + describe(Order);
    m_Violations.push_back({Kind, std::move(Detail)});
  }

  /// For a non-idempotent request, "not run" covers all attempts so far: no
  /// order may start before the next attempt is sent.
  void checkNotRun() {
    for (std::size_t Index = 0; Index < m_Request.m_Attempts.size(); ++Index) {
      const Attempt &Each = m_Request.m_Attempts[Index];
      if (!reportsNotRun(Each))
        continue;
      const bool IsLast = Index + 1 == m_Request.m_Attempts.size();
      const TimePoint NextSend =
          IsLast ? TimePoint::max() : m_Request.m_Attempts[Index + 1].m_Sent;
      if (std::ranges::any_of(m_Orders,
                              [NextSend](const PlacedExecution &Order) {
                                return Order.m_Order->m_Start < NextSend;
                              }))
        return report(ViolationKind::FalseNotRun);
    }
  }

  /// An idempotent request may be sent again at any time, so each answer covers
  /// its own attempt only: no order may have run if all answers are "not run".
  void checkNotRunIdempotent() {
    const auto &Attempts = m_Request.m_Attempts;
    if (!Attempts.empty() && std::ranges::all_of(Attempts, reportsNotRun) &&
        !m_Orders.empty())
      report(ViolationKind::FalseNotRun);
  }

  void checkDone() {
    for (const Attempt &Each : m_Request.m_Attempts) {
      if (Each.m_Answer != Answer::Done)
        continue;
      if (!Each.m_BodyIntact)
        report(ViolationKind::WrongBody);
      if (std::ranges::none_of(m_Orders, [](const PlacedExecution &Order) {
            return Order.m_Order->m_Completed;
          }))
        report(ViolationKind::FalseDone);
    }
  }

  const RequestRecord &m_Request;
  bool m_Idempotent;
  const std::vector<PlacedExecution> &m_Orders;
  std::vector<Violation> &m_Violations;
};

void checkRequests(const Observations &Observed, const ExecutionsById &ById,
                   std::vector<Violation> &Violations) {
  const std::vector<PlacedExecution> None;
  for (const RequestRecord &Request : Observed.m_Requests) {
    const auto Orders = ById.find(Request.m_Id);
    RequestCheck(Request, Observed.m_Streams[Request.m_Stream].m_Idempotent,
                 Orders == ById.end() ? None : Orders->second, Violations)
        .run();
  }
}

/// Checks the orders of one key, sorted by start.
void checkKey(const std::string &Key,
              const std::vector<PlacedExecution> &Orders,
              std::vector<Violation> &Violations) {
  const PlacedExecution *HighestEpoch = nullptr;
  std::map<const InstanceExecutions *, const PlacedExecution *> LastToEnd;
  for (const PlacedExecution &Order : Orders) {
    const std::string Detail = Key + ": " + describe(Order);
    if (HighestEpoch && Order.m_Order->m_Epoch < HighestEpoch->m_Order->m_Epoch)
      Violations.push_back({ViolationKind::OldEpoch,
                            Detail + " after " + describe(*HighestEpoch)});
    else
      HighestEpoch = &Order;
    for (const auto &[Instance, Last] : LastToEnd)
      if (Instance != Order.m_Instance && Last->m_Order->m_End &&
          *Last->m_Order->m_End > Order.m_Order->m_Start)
        Violations.push_back(
            {ViolationKind::TwoOwners, Detail + " during " + describe(*Last)});
    const PlacedExecution *&Last = LastToEnd[Order.m_Instance];
    if (Order.m_Order->m_End &&
        (!Last || *Last->m_Order->m_End < *Order.m_Order->m_End))
      Last = &Order;
    if (!Last)
      LastToEnd.erase(Order.m_Instance);
  }
}

void checkOwners(const Observations &Observed,
                 std::vector<Violation> &Violations) {
  std::unordered_map<std::string, std::vector<PlacedExecution>> ByKey;
  for (const InstanceExecutions &Instance : Observed.m_Instances)
    for (const Execution &Order : Instance.m_Orders)
      if (!Order.m_Key.empty())
        ByKey[Order.m_Service + "/" + Order.m_Key].push_back(
            {&Order, &Instance});
  for (auto &[Key, Orders] : ByKey) {
    std::ranges::stable_sort(Orders, {}, [](const PlacedExecution &Each) {
      return Each.m_Order->m_Start;
    });
    checkKey(Key, Orders, Violations);
  }
}

void checkNoStartWindows(const Observations &Observed,
                         std::vector<Violation> &Violations) {
  for (const NoStartWindow &Window : Observed.m_NoStartWindows)
    for (const InstanceExecutions &Instance : Observed.m_Instances) {
      if (Instance.m_Instance != Window.m_Instance)
        continue;
      for (const Execution &Order : Instance.m_Orders)
        if (Order.m_Start >= Window.m_From && Order.m_Start < Window.m_To)
          Violations.push_back(
              {ViolationKind::LateWork,
               Order.m_RequestId + " ran at " + describe({&Order, &Instance}) +
                   ", quiet from " + std::to_string(toMicros(Window.m_From))});
    }
}

void checkShutdown(const ShutdownWindow &Window, const Observations &Observed,
                   std::vector<Violation> &Violations) {
  const auto Inside = [&Window](TimePoint Time) {
    return Time >= Window.m_From && Time <= Window.m_To;
  };
  for (const RequestRecord &Request : Observed.m_Requests)
    for (const Attempt &Each : Request.m_Attempts)
      if (Each.m_Answer == Answer::Broken &&
          Each.m_Entrance == Window.m_Entrance && Inside(Each.m_End))
        Violations.push_back({ViolationKind::Cut, describe(Request)});
  for (const InstanceExecutions &Instance : Observed.m_Instances) {
    if (Instance.m_Instance != Window.m_Instance)
      continue;
    for (const Execution &Order : Instance.m_Orders)
      if (Order.m_End && !Order.m_Completed && Inside(*Order.m_End))
        Violations.push_back(
            {ViolationKind::Cut, describe({&Order, &Instance})});
  }
}

} // namespace

const char *toString(ViolationKind Value) {
  switch (Value) {
  case ViolationKind::RanTwice:
    return "ran_twice";
  case ViolationKind::FalseNotRun:
    return "false_not_run";
  case ViolationKind::FalseDone:
    return "false_done";
  case ViolationKind::WrongBody:
    return "wrong_body";
  case ViolationKind::TwoOwners:
    return "two_owners";
  case ViolationKind::OldEpoch:
    return "old_epoch";
  case ViolationKind::LateWork:
    return "late_work";
  case ViolationKind::Cut:
    return "cut";
  }
  return "unknown";
}

std::vector<Violation> findViolations(const Observations &Observed) {
  std::vector<Violation> Violations;
  checkRequests(Observed, groupById(Observed), Violations);
  checkOwners(Observed, Violations);
  checkNoStartWindows(Observed, Violations);
  for (const ShutdownWindow &Window : Observed.m_Shutdowns)
    checkShutdown(Window, Observed, Violations);
  return Violations;
}

} // namespace balsamwheel::bench
