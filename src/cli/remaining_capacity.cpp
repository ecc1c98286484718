// Capacity check before targets are taken out of service.
#include "cli/remaining_capacity.h"

#include "cli/admin_client.h"

#include <algorithm>
#include <map>
#include <thread>

namespace balsamwheel::cli {

namespace {

/// Load samples read from each daemon and averaged.
constexpr int SampleCount = 4;
constexpr std::chrono::milliseconds SampleInterval{50};

struct ServiceLoad {
  /// Orders running or waiting.
  double m_Demand = 0;
  /// Slots of the targets that stay in service.
  double m_Remaining = 0;
  bool m_LosesTargets = false;
};

bool inService(const Member &Value, const Config &Known) {
  return !Value.m_Leaving &&
         !std::ranges::binary_search(Known.m_DomainsOut, Value.m_Domain) &&
         !std::ranges::binary_search(Known.m_Draining, Value.m_Instance);
}

/// Returns the orders running or waiting at a daemon; 0 if it doesn't answer.
double readDemand(AdminClient &Client, const Member &Value) {
  if (Value.m_AdminAddress.empty())
    return 0;
  const auto Status = Client.get(Value.m_AdminAddress, "/v1/status");
  if (!Status)
    return 0;
  return Status->value("running", 0.0) + Status->value("queued", 0.0);
}

} // namespace

bool isInsufficient(double Demand, double Remaining) {
  return Remaining <= 0 || Demand > UsableSlotShare * Remaining;
}

std::vector<Shortage> findShortages(const Config &Before, const Config &After,
                                    const std::vector<GroupMember> &Members) {
  std::map<ServiceName, ServiceLoad> Loads;
  AdminClient Client;
  for (int Sample = 0; Sample < SampleCount; ++Sample) {
    for (const GroupMember &Value : Members)
      if (!Value.m_Member.m_Service.value().empty())
        Loads[Value.m_Member.m_Service].m_Demand +=
            readDemand(Client, Value.m_Member) / SampleCount;
    std::this_thread::sleep_for(SampleInterval);
  }
  for (const GroupMember &Value : Members) {
    const Member &Target = Value.m_Member;
    if (Target.m_Service.value().empty() || !inService(Target, Before))
      continue;
    ServiceLoad &Load = Loads[Target.m_Service];
    if (inService(Target, After))
      Load.m_Remaining += Target.m_Slots;
    else
      Load.m_LosesTargets = true;
  }
  std::vector<Shortage> Result;
  for (const auto &[Name, Load] : Loads)
    if (Load.m_LosesTargets && isInsufficient(Load.m_Demand, Load.m_Remaining))
      Result.push_back({.m_Service = Name,
                        .m_Demand = Load.m_Demand,
                        .m_Remaining = Load.m_Remaining});
  return Result;
}

std::string describeShortages(const std::vector<Shortage> &Shortages) {
  std::string Result;
  for (const Shortage &Found : Shortages) {
    if (!Result.empty())
      Result += "\n";
    Result += "the rest of service '" + Found.m_Service.value() +
              "' may not bear its load: " + std::to_string(Found.m_Demand) +
              " orders open, " + std::to_string(Found.m_Remaining) +
              " slots remain";
  }
  return Result;
}

} // namespace balsamwheel::cli
