// Checks a run for violations of the guarantees: compares the answers that
// callers received with the orders that targets ran.
#pragma once

#include "bench/core/load_plan.h"
#include "bench/core/target_model.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel::bench {

enum class ViolationKind : std::uint8_t {
  /// A non-idempotent request was run more than once.
  RanTwice,
  /// The answer said that the request was not run, but it was.
  FalseNotRun,
  /// The answer was Done, but no target completed the request.
  FalseDone,
  /// The body of the answer is truncated or belongs to another request.
  WrongBody,
  /// Two instances ran orders for one key at the same time.
  TwoOwners,
  /// An order with an older epoch started after one with a newer epoch.
  OldEpoch,
  /// An order started at an instance some seconds after the instance was taken
  /// out of service.
  LateWork,
  /// A graceful shutdown broke off a request or an order.
  Cut,
};

inline constexpr std::size_t ViolationKindCount = 8;

const char *toString(ViolationKind Value);

struct Violation {
  ViolationKind m_Kind;
  std::string m_Detail;
};

/// The orders that one instance ran.
struct InstanceExecutions {
  std::string m_Instance;
  std::string m_Domain;
  std::string m_Service;
  std::vector<Execution> m_Orders;
};

/// A period in which an instance must not start orders.
struct NoStartWindow {
  std::string m_Instance;
  TimePoint m_From;
  TimePoint m_To;
};

/// A daemon's graceful shutdown, from the signal to its exit.
struct ShutdownWindow {
  std::string m_Instance;
  /// Index of the daemon among the entrances of the load plan.
  std::uint32_t m_Entrance = 0;
  TimePoint m_From;
  TimePoint m_To;
};

/// Everything one run recorded.
struct Observations {
  std::vector<LoadStream> m_Streams;
  std::vector<RequestRecord> m_Requests;
  std::vector<InstanceExecutions> m_Instances;
  std::vector<NoStartWindow> m_NoStartWindows;
  std::vector<ShutdownWindow> m_Shutdowns;
};

/// Returns all violations of a run.
///
/// Complexity: that of sorting the orders, plus linear in the requests.
std::vector<Violation> findViolations(const Observations &Observed);

} // namespace balsamwheel::bench
