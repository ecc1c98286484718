// Who owns which keys of one service that is divided by key.
#pragma once

#include "balsamwheel/detail/core/ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// A key of a service that is divided by key: 0 to 65535.
using KeyIndex = std::uint16_t;

inline constexpr std::uint32_t KeyCount = 65536;

/// One life of a target. A target that starts again is another incarnation,
/// under the same id or another.
struct TargetIncarnation {
  std::string m_Id;
  /// Milliseconds since the Unix epoch at its start; orders the incarnations
  /// that share an instance.
  std::int64_t m_BornMs = 0;

  auto operator<=>(const TargetIncarnation &) const = default;
};

/// An owner of keys: the target, and the instance whose daemon speaks to it.
struct KeyOwner {
  InstanceName m_Instance;
  TargetIncarnation m_Target;

  auto operator<=>(const KeyOwner &) const = default;
};

enum class SpanState : std::uint8_t {
  /// Nobody holds the keys and nobody can still hold them.
  Free,
  Owned,
  /// The owner keeps serving until its daemon takes the keys back, then the
  /// heir gets them with the owner's handover token.
  Releasing,
  /// The owner is out of reach; its hold may still run.
  Revoked,
};

/// Adjacent keys with the same fate. Both ends belong to the span.
struct KeySpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  SpanState m_State = SpanState::Free;
  /// The present owner, or the last one.
  KeyOwner m_Owner;
  /// Only for Releasing.
  KeyOwner m_Heir;
  /// Fencing token of the present or last owner; 0 when there was none.
  Epoch m_Fence;
  /// Token with which the present owner got the keys from the last one;
  /// empty when that one was lost.
  std::string m_Handover;

  std::uint32_t size() const { return std::uint32_t{m_Last} - m_First + 1; }
  bool operator==(const KeySpan &) const = default;
};

/// Value type. Invariants: the spans cover every key once, in order; fencing
/// tokens given out by nextFence() only grow.
class KeyMap {
public:
  /// All keys are free.
  KeyMap();

  const std::vector<KeySpan> &spans() const { return m_Spans; }
  const KeySpan &find(KeyIndex Key) const;

  /// Replaces what the map says of the keys of \p Span, splitting the spans
  /// at its ends. Complexity: linear in the number of spans.
  void assign(const KeySpan &Span);
  /// Joins neighbours that differ in nothing but their keys.
  void normalize();
  Epoch takeFence() { return Epoch(++m_LastFence); }

  /// Encodes the map as a row of the platform's table.
  std::string toText() const;
  /// \returns none when \p Text is no sound map.
  static std::optional<KeyMap> fromText(const std::string &Text);

  bool operator==(const KeyMap &) const = default;

private:
  std::vector<KeySpan> m_Spans;
  /// Highest fencing token given out.
  std::uint64_t m_LastFence = 0;
};

} // namespace balsamwheel
