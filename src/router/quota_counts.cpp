// Choice of the organisations that have counters of their own.
#include "quota_counts.h"

#include <algorithm>
#include <set>
#include <vector>

namespace balsamwheel {

QuotaCounts::QuotaCounts(prometheus::Registry &Registry)
    : m_Family(prometheus::BuildCounter()
                   .Name("balsamwheel_quota_requests_total")
                   .Help("Requests for a token, by organisation and result; "
                         "those with few requests are \"other\"")
                   .Register(Registry)) {}

void QuotaCounts::count(const OrganisationName &Name, const char *Result) {
  ++m_Requests[Name];
  if (!m_Labelled.contains(Name) && m_Labelled.size() < MaxLabels)
    m_Labelled[Name];
  const auto Own = m_Labelled.find(Name);
  if (Own == m_Labelled.end()) {
    m_Family.Add({{"organisation", "other"}, {"result", Result}}).Increment();
    return;
  }
  prometheus::Counter *&Counter = Own->second[Result];
  if (!Counter)
    Counter =
        &m_Family.Add({{"organisation", Name.value()}, {"result", Result}});
  Counter->Increment();
}

void QuotaCounts::chooseLabels() {
  if (m_Requests.size() <= MaxLabels)
    return;
  std::vector<std::pair<std::uint64_t, OrganisationName>> Ordered;
  Ordered.reserve(m_Requests.size());
  for (const auto &[Name, Requests] : m_Requests)
    Ordered.emplace_back(Requests, Name);
  std::sort(Ordered.rbegin(), Ordered.rend());
  Ordered.resize(MaxLabels);
  std::set<OrganisationName> Top;
  for (const auto &[Requests, Name] : Ordered)
    Top.insert(Name);
  std::erase_if(m_Labelled, [&](const auto &Each) {
    if (Top.contains(Each.first))
      return false;
    for (const auto &[Result, Counter] : Each.second)
      m_Family.Remove(Counter);
    return true;
  });
  for (const OrganisationName &Name : Top)
    m_Labelled[Name];
}

} // namespace balsamwheel
