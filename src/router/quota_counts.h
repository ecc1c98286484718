// Counts the answers to requests for tokens by organisation, with a bounded
// number of labels.
#pragma once

#include "balsamwheel/detail/routing/organisation_directory.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>

namespace balsamwheel {

/// Invariant: at most MaxLabels organisations have counters of their own, those
/// with the most requests; all others are counted as "other". A counter that
/// an organisation gets again begins at 0.
class QuotaCounts {
public:
  static constexpr std::size_t MaxLabels = 20;

  explicit QuotaCounts(prometheus::Registry &Registry);
  /// Counts a request.
  /// \param Result "granted", "denied" or "unavailable".
  void count(const OrganisationName &Name, const char *Result);
  /// Chooses anew which organisations have counters of their own. Complexity: n
  /// log n in the organisations that have sent requests.
  void chooseLabels();

private:
  using Counters = std::map<std::string, prometheus::Counter *>;

  prometheus::Family<prometheus::Counter> &m_Family;
  std::map<OrganisationName, std::uint64_t> m_Requests;
  std::map<OrganisationName, Counters> m_Labelled;
};

} // namespace balsamwheel
