// Assignment of keys to owners, for one service that is divided by key.
#pragma once

#include "balsamwheel/detail/core/foreign_text.h"
#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/platform/table.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamwheel {

/// A key of a service that is divided by key: 0 to 65535.
using KeyIndex = std::uint16_t;

inline constexpr std::uint32_t KeyCount = 65536;

/// One run of a target process. A target that restarts is a new incarnation,
/// with the same id or another one.
struct TargetIncarnation {
  TargetId m_Id;
  /// Start time in milliseconds since the Unix epoch; orders the incarnations
  /// on one instance.
  std::int64_t m_StartTimeMs = 0;

  auto operator<=>(const TargetIncarnation &) const = default;
};

/// An owner of keys: the target, and the instance whose daemon serves it.
struct KeyOwner {
  InstanceName m_Instance;
  TargetIncarnation m_Target;

  auto operator<=>(const KeyOwner &) const = default;
};

enum class SpanState : std::uint8_t {
  /// No target holds the keys, and no former owner can still hold them.
  Free,
  Owned,
  /// The owner keeps serving until it has released the keys; then the next
  /// owner gets them with the handover token.
  Releasing,
  /// The owner is unreachable; its hold may still be valid.
  Revoked,
  /// The map was restored after the store had lost writes: the owner, or one
  /// that only the lost writes named, may hold the keys.
  Unconfirmed,
};

/// Adjacent keys with the same state and owner. Both ends belong to the span.
struct KeySpan {
  KeyIndex m_First = 0;
  KeyIndex m_Last = 0;
  SpanState m_State = SpanState::Free;
  /// The present owner, or the last one of keys that have none.
  KeyOwner m_Owner;
  /// Owner after the release; only for SpanState::Releasing.
  KeyOwner m_NextOwner;
  /// Fencing token of m_Owner; 0 when there was no owner yet.
  Epoch m_Fence;
  /// Handover token that the present owner got with the keys; empty when the
  /// previous owner was lost.
  HandoverToken m_HandoverToken;
  /// Version of the row that the revocation was committed to replace: tells two
  /// revocations of the same keys apart. 0 if not SpanState::Revoked.
  RowVersion m_RevokedFrom;

  std::uint32_t size() const { return std::uint32_t{m_Last} - m_First + 1; }
  bool operator==(const KeySpan &) const = default;
};

/// Value type. Invariants: the spans cover every key exactly once, in ascending
/// order; the fencing tokens returned by issueFence() increase strictly.
class KeyMap {
public:
  /// Creates a map in which all keys are free.
  KeyMap();

  const std::vector<KeySpan> &spans() const { return m_Spans; }
  const KeySpan &find(KeyIndex Key) const;

  /// Replaces the entries of the keys of \p Span, splitting existing spans at
  /// its ends. Complexity: linear in the number of spans.
  void assign(const KeySpan &Span);
  /// Merges adjacent spans that differ only in their keys.
  void normalize();
  /// Returns a new fencing token, greater than all before.
  Epoch issueFence() { return Epoch(++m_LastFence); }
  /// Lets issueFence() return only tokens above \p Fence.
  void raiseFences(Epoch Fence) {
    m_LastFence = std::max(m_LastFence, Fence.value());
  }

  /// Encodes the map as JSON, for a row of the platform's table.
  std::string toText() const;
  /// Decodes a map.
  ///
  /// \returns std::nullopt when \p Text is not a valid map.
  static std::optional<KeyMap> fromText(const std::string &Text);

  /// Encodes the spans that differ from \p Base, for peers that know it.
  std::string changesSince(const KeyMap &Base) const;
  /// Applies the result of changesSince() to the map that it was made from.
  ///
  /// \returns std::nullopt when \p Changes is not valid.
  std::optional<KeyMap> withChanges(const std::string &Changes) const;

  bool operator==(const KeyMap &) const = default;

private:
  std::vector<KeySpan> m_Spans;
  /// Highest fencing token issued.
  std::uint64_t m_LastFence = 0;
};

} // namespace balsamwheel
