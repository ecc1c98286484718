// Ends callbacks together with the object that they refer to.
#pragma once

#include <memory>
#include <utility>

namespace balsamwheel {

/// Member of an object that gives callbacks to others: the event loop, the
/// table, an HTTP client. Not thread-safe.
///
/// Invariant: no function that bind() returned calls its argument after the
/// guard's destruction.
class CallbackGuard {
public:
  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard &) = delete;
  CallbackGuard &operator=(const CallbackGuard &) = delete;
  ~CallbackGuard() = default;

  /// Returns a function that passes its arguments on to \p Callback for as long
  /// as the guard exists, and otherwise does nothing.
  template <typename Function> auto bind(Function Callback) {
    // Many objects, such as connections, never give a callback away.
    if (!m_Alive)
      m_Alive = std::make_shared<char>();
    return [Alive = std::weak_ptr(m_Alive),
            Callback = std::move(Callback)](auto &&...Values) {
      if (!Alive.expired())
        Callback(std::forward<decltype(Values)>(Values)...);
    };
  }

private:
  /// Owned by the guard alone.
  std::shared_ptr<char> m_Alive;
};

} // namespace balsamwheel
