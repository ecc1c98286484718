// Compares what callers were told with what targets ran.
#pragma once

#include "bench/core/load_plan.h"
#include "bench/core/target_model.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel::bench {

enum class ViolationKind : std::uint8_t {
  /// A non-idempotent request ran more than once.
  RanTwice,
  /// The caller was told "not run", but it ran.
  FalseNotRun,
  /// The caller was told "done", but no target completed it.
  FalseDone,
  /// The body is cut or belongs to another request.
  WrongBody,
  /// Two instances ran orders for one key at the same time.
  TwoOwners,
  /// An order of an older epoch began after one of a newer epoch.
  OldEpoch,
  /// An order began at an instance some seconds after it was taken out.
  LateWork,
  /// A graceful shutdown cut a request.
  Cut,
};

inline constexpr std::size_t ViolationKindCount = 8;

const char *toString(ViolationKind Value);

struct Violation {
  ViolationKind m_Kind;
  std::string m_Detail;
};

/// What one instance ran.
struct InstanceExecutions {
  std::string m_Instance;
  std::string m_Domain;
  std::string m_Service;
  std::vector<Execution> m_Orders;
};

/// A time in which an instance must not begin orders, or must cut none.
struct NoStartWindow {
  std::string m_Instance;
  TimePoint m_From;
  TimePoint m_To;
};

/// A daemon's graceful shutdown, from the signal to its exit.
struct ShutdownWindow {
  std::string m_Instance;
  /// Index among the entrances of the load.
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

/// Checks a run. Complexity: linear in requests and orders, but for sorting.
std::vector<Violation> findViolations(const Observations &Observed);

} // namespace balsamwheel::bench
