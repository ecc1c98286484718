// Finds the heavy hitters of a stream in bounded memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamwheel {

/// Space-Saving sketch: keeps the weights of the heaviest items.
///
/// Invariants: at most Capacity items are held; the estimate of an item is at
/// least its true weight and exceeds it by at most its error, which is at most
/// the total weight divided by the capacity. Hence every item heavier than that
/// quotient is held. Not thread-safe.
///
/// \tparam Item hashable and ordered.
template <typename Item> class HeavyHitters {
public:
  struct Counter {
    Item m_Item{};
    double m_Weight = 0;
    /// Maximum part of m_Weight that may belong to other items.
    double m_Error = 0;
  };

  /// \param Capacity maximum number of items held; 0 counts as 1.
  explicit HeavyHitters(std::size_t Capacity)
      : m_Capacity(Capacity > 0 ? Capacity : 1) {}

  /// Adds \p Weight to an item, which replaces the lightest one if it isn't
  /// held and the sketch is full. Complexity: logarithmic in the capacity.
  void record(const Item &Value, double Weight) {
    m_Total += Weight;
    const auto Found = m_Counts.find(Value);
    if (Found != m_Counts.end())
      return set(Value, Found->second.m_Weight + Weight, Found->second.m_Error);
    double Inherited = 0;
    if (m_Counts.size() >= m_Capacity) {
      Inherited = m_ByWeight.begin()->first;
      m_Counts.erase(m_ByWeight.begin()->second);
      m_ByWeight.erase(m_ByWeight.begin());
    }
    set(Value, Inherited + Weight, Inherited);
  }

  /// Returns up to \p Count items in descending order of weight.
  std::vector<Counter> top(std::size_t Count) const {
    std::vector<Counter> Result;
    for (auto Next = m_ByWeight.rbegin();
         Next != m_ByWeight.rend() && Result.size() < Count; ++Next)
      Result.push_back(
          {Next->second, Next->first, m_Counts.at(Next->second).m_Error});
    return Result;
  }

  /// Multiplies all weights. Complexity: linear in the capacity.
  void scale(double Factor) {
    m_Total *= Factor;
    m_ByWeight.clear();
    for (auto &[Held, Count] : m_Counts) {
      Count.m_Weight *= Factor;
      Count.m_Error *= Factor;
      m_ByWeight.emplace(Count.m_Weight, Held);
    }
  }

  double totalWeight() const { return m_Total; }
  std::size_t size() const { return m_Counts.size(); }

private:
  struct Count {
    double m_Weight = 0;
    double m_Error = 0;
  };

  void set(const Item &Held, double Weight, double Error) {
    const auto [Position, Added] = m_Counts.try_emplace(Held);
    if (!Added)
      m_ByWeight.erase({Position->second.m_Weight, Held});
    Position->second = {Weight, Error};
    m_ByWeight.emplace(Weight, Held);
  }

  std::size_t m_Capacity;
  double m_Total = 0;
  std::unordered_map<Item, Count> m_Counts;
  // The same items as in m_Counts, in ascending order of weight.
  std::set<std::pair<double, Item>> m_ByWeight;
};

} // namespace balsamwheel
