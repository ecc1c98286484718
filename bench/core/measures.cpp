// Latencies, unavailable time, imbalance, churn and amplification.
#include "bench/core/measures.h"

#include "balsamwheel/detail/core/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace balsamwheel::bench {

namespace {

/// Attempts that take longer than this count as unavailable time.
constexpr Duration SlowAttemptThreshold = std::chrono::milliseconds(500);

double toMillis(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Collects the requests of one stream.
struct ClassCollector {
  ClassMeasures m_Result;
  std::vector<double> m_LatenciesMs;

  void add(const RequestRecord &Request) {
    ++m_Result.m_Requests;
    m_Result.m_Attempts += Request.m_Attempts.size();
    ++m_Result.m_Answers.at(static_cast<std::size_t>(Request.final()));
    if (Request.final() == Answer::Done)
      m_LatenciesMs.push_back(toMillis(Request.latency()));
  }

  ClassMeasures finish() {
    m_Result.m_P50Ms = quantile(m_LatenciesMs, 0.50);
    m_Result.m_P99Ms = quantile(m_LatenciesMs, 0.99);
    return m_Result;
  }
};

std::map<std::string, ClassMeasures>
measureClasses(const Observations &Observed, TimePoint From, TimePoint To) {
  std::map<std::string, ClassCollector> Collectors;
  for (const RequestRecord &Request : Observed.m_Requests)
    if (Request.m_Intended >= From && Request.m_Intended < To)
      Collectors[Observed.m_Streams[Request.m_Stream].m_Name].add(Request);
  std::map<std::string, ClassMeasures> Result;
  for (auto &[Name, Collector] : Collectors)
    Result[Name] = Collector.finish();
  return Result;
}

using ShardKey = std::pair<std::string, std::uint32_t>;

/// A period in which a shard was unavailable, as seen by one caller.
struct Outage {
  TimePoint m_From;
  TimePoint m_To;
};

struct ShardAttempt {
  TimePoint m_Begin;
  TimePoint m_End;
  bool m_Served;
};

/// Returns the attempts for each shard, without those refused for overload.
std::map<ShardKey, std::vector<ShardAttempt>>
attemptsByShard(const Observations &Observed, const Manifest &Services) {
  std::map<ShardKey, std::vector<ShardAttempt>> Result;
  for (const RequestRecord &Request : Observed.m_Requests) {
    const LoadStream &Stream = Observed.m_Streams[Request.m_Stream];
    const Service *FoundService =
        Services.findService(ServiceName(Stream.m_Service));
    if (FoundService == nullptr || !FoundService->m_DividedByKey)
      continue;
    const ShardIndex Shard =
        shardOf(hashKey(Request.m_Key), FoundService->m_Shards);
    auto &List = Result[{Stream.m_Service, Shard.value()}];
    bool First = true;
    for (const Attempt &Each : Request.m_Attempts) {
      const TimePoint Begin = First ? Request.m_Intended : Each.m_Sent;
      if (Each.m_Reason != "overloaded")
        List.push_back({Begin, Each.m_End, Each.m_Answer == Answer::Done});
      First = false;
    }
  }
  return Result;
}

/// Returns the length of the union of all outages. An outage reaches from the
/// start of a failed attempt to the end of the next successful one, or over the
/// whole of a slow attempt.
double unavailableSeconds(std::vector<ShardAttempt> Attempts) {
  std::ranges::sort(Attempts, {}, &ShardAttempt::m_Begin);
  TimePoint NextServedEnd = TimePoint::max();
  std::vector<Outage> Outages;
  for (auto Each = Attempts.rbegin(); Each != Attempts.rend(); ++Each) {
    if (Each->m_Served) {
      NextServedEnd = Each->m_End;
      if (Each->m_End - Each->m_Begin > SlowAttemptThreshold)
        Outages.push_back({Each->m_Begin, Each->m_End});
      continue;
    }
    Outages.push_back({Each->m_Begin, NextServedEnd == TimePoint::max()
                                          ? Each->m_End
                                          : NextServedEnd});
  }
  std::ranges::sort(Outages, {}, &Outage::m_From);
  Duration Sum{0};
  TimePoint CoveredUntil{};
  for (const Outage &Each : Outages) {
    const TimePoint From = std::max(Each.m_From, CoveredUntil);
    if (Each.m_To <= From)
      continue;
    Sum += Each.m_To - From;
    CoveredUntil = Each.m_To;
  }
  return toSeconds(Sum);
}

Quantiles quantilesOf(const std::vector<double> &Values) {
  return {.m_P50 = quantile(Values, 0.50),
          .m_P99 = quantile(Values, 0.99),
          .m_Max = quantile(Values, 1.0)};
}

void measureUnavailable(const Observations &Observed, const Manifest &Services,
                        Measures &Result) {
  std::vector<double> Seconds;
  for (auto &[Shard, Attempts] : attemptsByShard(Observed, Services))
    Seconds.push_back(unavailableSeconds(std::move(Attempts)));
  Result.m_Shards = Seconds.size();
  Result.m_ShardsHit = static_cast<std::size_t>(
      std::ranges::count_if(Seconds, [](double Each) { return Each > 0; }));
  Result.m_UnavailableSeconds = quantilesOf(Seconds);
  std::erase_if(Seconds, [](double Each) { return Each <= 0; });
  Result.m_UnavailableSecondsOfHitShards = quantilesOf(Seconds);
}

void countByInstance(const Observations &Observed, const TimeWindow &Window,
                     Measures &Result) {
  for (const InstanceExecutions &Instance : Observed.m_Instances)
    Result.m_OrdersByInstance[Instance.m_Instance] = static_cast<std::uint64_t>(
        std::ranges::count_if(Instance.m_Orders, [&](const Execution &Order) {
          return Order.m_Start >= Window.m_From && Order.m_Start < Window.m_To;
        }));
}

double imbalanceOf(const Observations &Observed, const Measures &Result) {
  std::map<std::string, std::vector<double>> Counts;
  for (const InstanceExecutions &Instance : Observed.m_Instances)
    Counts[Instance.m_Service].push_back(
        static_cast<double>(Result.m_OrdersByInstance.at(Instance.m_Instance)));
  double Worst = 0;
  for (const auto &[Service, PerInstance] : Counts) {
    double Sum = 0;
    for (const double Count : PerInstance)
      Sum += Count;
    if (Sum > 0)
      Worst =
          std::max(Worst, std::ranges::max(PerInstance) *
                              static_cast<double>(PerInstance.size()) / Sum);
  }
  return Worst;
}

void measureChurn(const Observations &Observed, TimePoint From,
                  Measures &Result) {
  struct ServedOrder {
    TimePoint m_Time;
    const InstanceExecutions *m_Instance;
  };
  std::map<std::pair<std::string, std::string>, std::vector<ServedOrder>>
      Shards;
  for (const InstanceExecutions &Instance : Observed.m_Instances)
    for (const Execution &Order : Instance.m_Orders)
      if (!Order.m_Key.empty() && Order.m_Start >= From)
        Shards[{Order.m_Service, Order.m_Shard}].push_back(
            {Order.m_Start, &Instance});
  for (auto &[Shard, List] : Shards) {
    std::ranges::sort(List, {}, &ServedOrder::m_Time);
    for (std::size_t Index = 1; Index < List.size(); ++Index)
      if (List[Index].m_Instance != List[Index - 1].m_Instance)
        ++Result.m_OwnerChanges;
  }
  if (!Shards.empty())
    Result.m_ChurnShare = static_cast<double>(Result.m_OwnerChanges) /
                          static_cast<double>(Shards.size());
}

void countRefusals(const Observations &Observed, Measures &Result) {
  for (const RequestRecord &Request : Observed.m_Requests)
    for (const Attempt &Each : Request.m_Attempts)
      if (Each.m_Answer != Answer::Done)
        ++Result.m_Refusals[toString(Each.m_Answer) + std::string(" ") +
                            Each.m_Reason];
}

void measureTotals(const Observations &Observed, Measures &Result) {
  std::size_t Done = 0;
  std::set<std::string_view> Ids;
  for (const RequestRecord &Request : Observed.m_Requests) {
    Done += Request.final() == Answer::Done ? 1U : 0U;
    Ids.insert(Request.m_Id);
  }
  std::size_t Orders = 0;
  for (const InstanceExecutions &Instance : Observed.m_Instances)
    for (const Execution &Order : Instance.m_Orders)
      Orders += Ids.contains(Order.m_RequestId) ? 1U : 0U;
  if (Observed.m_Requests.empty())
    return;
  const auto Requests = static_cast<double>(Observed.m_Requests.size());
  Result.m_DoneShare = static_cast<double>(Done) / Requests;
  Result.m_Amplification = static_cast<double>(Orders) / Requests;
}

nlohmann::json toJson(const ClassMeasures &Value) {
  nlohmann::json Result = {{"requests", Value.m_Requests},
                           {"attempts", Value.m_Attempts},
                           {"p50_ms", Value.m_P50Ms},
                           {"p99_ms", Value.m_P99Ms}};
  for (std::size_t Index = 0; Index < AnswerCount; ++Index)
    Result[toString(static_cast<Answer>(Index))] = Value.m_Answers.at(Index);
  return Result;
}

nlohmann::json toJson(const std::map<std::string, ClassMeasures> &Classes) {
  nlohmann::json Result = nlohmann::json::object();
  for (const auto &[Name, Class] : Classes)
    Result[Name] = toJson(Class);
  return Result;
}

} // namespace

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Fraction * static_cast<double>(Values.size())));
  return Values[std::clamp<std::size_t>(Rank, 1, Values.size()) - 1];
}

Measures measure(const Observations &Observed,
                 const std::vector<TimeWindow> &Windows,
                 const Config &CommittedConfig) {
  Measures Result;
  Result.m_Classes =
      measureClasses(Observed, TimePoint::min(), TimePoint::max());
  for (const TimeWindow &Window : Windows)
    Result.m_Windows[Window.m_Name] =
        measureClasses(Observed, Window.m_From, Window.m_To);
  measureUnavailable(Observed, CommittedConfig.m_Manifest, Result);
  if (!Windows.empty()) {
    countByInstance(Observed, Windows.front(), Result);
    Result.m_Imbalance = imbalanceOf(Observed, Result);
  }
  measureChurn(Observed,
               Windows.empty() ? TimePoint::min() : Windows.front().m_From,
               Result);
  measureTotals(Observed, Result);
  countRefusals(Observed, Result);
  return Result;
}

nlohmann::json toJson(const Measures &Value) {
  nlohmann::json Windows = nlohmann::json::object();
  for (const auto &[Name, Classes] : Value.m_Windows)
    Windows[Name] = toJson(Classes);
  return {{"classes", toJson(Value.m_Classes)},
          {"windows", std::move(Windows)},
          {"unavailable_s",
           {{"p50", Value.m_UnavailableSeconds.m_P50},
            {"p99", Value.m_UnavailableSeconds.m_P99},
            {"max", Value.m_UnavailableSeconds.m_Max},
            {"hit_p50", Value.m_UnavailableSecondsOfHitShards.m_P50},
            {"hit_p99", Value.m_UnavailableSecondsOfHitShards.m_P99},
            {"shards_hit", Value.m_ShardsHit},
            {"shards", Value.m_Shards}}},
          {"imbalance", Value.m_Imbalance},
          {"orders_by_instance", Value.m_OrdersByInstance},
          {"refusals", Value.m_Refusals},
          {"owner_changes", Value.m_OwnerChanges},
          {"churn_share", Value.m_ChurnShare},
          {"amplification", Value.m_Amplification},
          {"done_share", Value.m_DoneShare}};
}

} // namespace balsamwheel::bench
