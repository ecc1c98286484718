// Map of key spans and its encoding as a table row.
#include "balsamwheel/detail/keyspace/key_map.h"

#include "core/json_fields.h"

#include <algorithm>
#include <map>

namespace balsamwheel {

namespace {

using nlohmann::json;

/// Index of an owner that isn't set.
constexpr int NoOwner = -1;

/// Numbers owners in the order in which they are first used, so that each is
/// written once.
class OwnerTable {
public:
  int indexOf(const KeyOwner &Owner) {
    if (Owner == KeyOwner())
      return NoOwner;
    const auto [Found, Added] =
        m_Indices.try_emplace(Owner, static_cast<int>(m_Indices.size()));
    if (Added)
      m_Encoded.push_back({Owner.m_Instance.value(),
                           Owner.m_Target.m_Id.value(),
                           Owner.m_Target.m_StartTimeMs});
    return Found->second;
  }
  json &encoded() { return m_Encoded; }

private:
  std::map<KeyOwner, int> m_Indices;
  json m_Encoded = json::array();
};

std::string encode(const std::vector<KeySpan> &Spans, std::uint64_t LastFence) {
  OwnerTable Owners;
  json Encoded = json::array();
  // Indices of revoked spans, and the versions that the revocations replaced.
  json Revocations = json::array();
  for (const KeySpan &Span : Spans) {
    if (Span.m_RevokedFrom != RowVersion())
      Revocations.push_back({Encoded.size(), Span.m_RevokedFrom.value()});
    Encoded.push_back(
        {Span.m_First, Span.m_Last, static_cast<int>(Span.m_State),
         Owners.indexOf(Span.m_Owner), Owners.indexOf(Span.m_NextOwner),
         Span.m_Fence.value(), Span.m_HandoverToken.value()});
  }
  json Result{{"last_fence", LastFence},
              {"owners", std::move(Owners.encoded())},
              {"spans", std::move(Encoded)}};
  if (!Revocations.empty())
    Result["revocations"] = std::move(Revocations);
  return Result.dump();
}

struct DecodedSpans {
  std::vector<KeySpan> m_Spans;
  std::uint64_t m_LastFence = 0;
};

/// Reads an identifier or token. One that this version doesn't allow counts as
/// none: the keys of an owner without an id are revoked like those of a lost
/// one, and the rest of the map stays in use.
template <typename Text> Text decodeText(const json &Value) {
  return Text::fromText(Value.get<std::string>()).value_or(Text());
}

KeySpan decodeSpan(const json &Row, const std::vector<KeyOwner> &Owners) {
  if (!Row.is_array() || Row.size() != 7 || !Row[6].is_string())
    throw JsonFieldError("a span of another form");
  const auto OwnerAt = [&](const json &Index) {
    const int Number =
        integerFrom<int>(Index, NoOwner, static_cast<int>(Owners.size()) - 1);
    return Number == NoOwner ? KeyOwner()
                             : Owners[static_cast<std::size_t>(Number)];
  };
  return {.m_First = integerFrom<KeyIndex>(Row[0]),
          .m_Last = integerFrom<KeyIndex>(Row[1]),
          .m_State = static_cast<SpanState>(integerFrom<int>(
              Row[2], 0, static_cast<int>(SpanState::Unconfirmed))),
          .m_Owner = OwnerAt(Row[3]),
          .m_NextOwner = OwnerAt(Row[4]),
          .m_Fence = Epoch(integerFrom<std::uint64_t>(Row[5])),
          .m_HandoverToken = decodeText<HandoverToken>(Row[6])};
}

/// Decodes what encode() returns; none if it isn't valid.
std::optional<DecodedSpans> decode(const std::string &Text) {
  try {
    const json Encoded = parseForeignJson(Text);
    std::vector<KeyOwner> Owners;
    for (const json &Each : arrayAt(Encoded, "owners")) {
      if (!Each.is_array() || Each.size() != 3 || !Each[0].is_string() ||
          !Each[1].is_string())
        return std::nullopt;
      Owners.push_back(
          {.m_Instance = InstanceName(Each[0].get<std::string>()),
           .m_Target = {.m_Id = decodeText<TargetId>(Each[1]),
                        .m_StartTimeMs = integerFrom<std::int64_t>(Each[2])}});
    }
    DecodedSpans Result{.m_LastFence = integerFrom<std::uint64_t>(
                            fieldAt(Encoded, "last_fence"))};
    for (const json &Each : arrayAt(Encoded, "spans"))
      Result.m_Spans.push_back(decodeSpan(Each, Owners));
    for (const json &Each : arrayAt(Encoded, "revocations")) {
      if (!Each.is_array() || Each.size() != 2 || Result.m_Spans.empty())
        return std::nullopt;
      const auto Index =
          integerFrom<std::size_t>(Each[0], 0, Result.m_Spans.size() - 1);
      Result.m_Spans[Index].m_RevokedFrom =
          RowVersion(integerFrom<std::uint64_t>(Each[1]));
    }
    return Result;
  } catch (const JsonFieldError &) {
    return std::nullopt;
  }
}

bool sameExceptKeys(const KeySpan &Left, const KeySpan &Right) {
  return Left.m_State == Right.m_State && Left.m_Owner == Right.m_Owner &&
         Left.m_NextOwner == Right.m_NextOwner &&
         Left.m_Fence == Right.m_Fence &&
         Left.m_HandoverToken == Right.m_HandoverToken &&
         Left.m_RevokedFrom == Right.m_RevokedFrom;
}

bool coversAllKeys(const std::vector<KeySpan> &Spans) {
  std::uint32_t Next = 0;
  for (const KeySpan &Span : Spans) {
    if (Span.m_First != Next || Span.m_Last < Span.m_First)
      return false;
    Next = std::uint32_t{Span.m_Last} + 1;
  }
  return Next == KeyCount;
}

} // namespace

KeyMap::KeyMap()
    : m_Spans{{.m_First = 0, .m_Last = static_cast<KeyIndex>(KeyCount - 1)}} {}

const KeySpan &KeyMap::find(KeyIndex Key) const {
  return *std::lower_bound(m_Spans.begin(), m_Spans.end(), Key,
                           [](const KeySpan &Span, KeyIndex Wanted) {
                             return Span.m_Last < Wanted;
                           });
}

void KeyMap::assign(const KeySpan &Span) {
  std::vector<KeySpan> Result;
  Result.reserve(m_Spans.size() + 2);
  bool Placed = false;
  for (const KeySpan &Old : m_Spans) {
    if (Old.m_Last < Span.m_First || Old.m_First > Span.m_Last) {
      Result.push_back(Old);
      continue;
    }
    if (Old.m_First < Span.m_First) {
      Result.push_back(Old);
      Result.back().m_Last = static_cast<KeyIndex>(Span.m_First - 1);
    }
    if (!Placed)
      Result.push_back(Span);
    Placed = true;
    if (Old.m_Last > Span.m_Last) {
      Result.push_back(Old);
      Result.back().m_First = static_cast<KeyIndex>(Span.m_Last + 1);
    }
  }
  m_Spans = std::move(Result);
}

void KeyMap::normalize() {
  std::vector<KeySpan> Result;
  for (const KeySpan &Span : m_Spans) {
    if (!Result.empty() && sameExceptKeys(Result.back(), Span))
      Result.back().m_Last = Span.m_Last;
    else
      Result.push_back(Span);
  }
  m_Spans = std::move(Result);
}

std::string KeyMap::toText() const { return encode(m_Spans, m_LastFence); }

std::optional<KeyMap> KeyMap::fromText(const std::string &Text) {
  auto Decoded = decode(Text);
  if (!Decoded || !coversAllKeys(Decoded->m_Spans))
    return std::nullopt;
  KeyMap Map;
  Map.m_Spans = std::move(Decoded->m_Spans);
  Map.m_LastFence = Decoded->m_LastFence;
  return Map;
}

std::string KeyMap::changesSince(const KeyMap &Base) const {
  std::vector<KeySpan> Changed;
  for (const KeySpan &Span : m_Spans)
    if (Base.find(Span.m_First) != Span)
      Changed.push_back(Span);
  return encode(Changed, m_LastFence);
}

std::optional<KeyMap> KeyMap::withChanges(const std::string &Changes) const {
  const auto Decoded = decode(Changes);
  if (!Decoded)
    return std::nullopt;
  KeyMap Map = *this;
  Map.m_LastFence = Decoded->m_LastFence;
  for (const KeySpan &Span : Decoded->m_Spans) {
    if (Span.m_Last < Span.m_First)
      return std::nullopt;
    Map.assign(Span);
  }
  return Map;
}

} // namespace balsamwheel
