// Strong types for the identifiers used across balsamwheel.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace balsamwheel {

/// A value of type \p Rep without implicit conversions to other identifiers.
///
/// \tparam Tag distinguishes identifiers that share a representation.
/// \tparam Rep the stored type, an integer or a string.
template <typename Tag, typename Rep> class StrongId {
public:
  using value_type = Rep;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep Value) : m_Value(std::move(Value)) {}

  constexpr const Rep &value() const { return m_Value; }
  constexpr auto operator<=>(const StrongId &) const = default;

private:
  Rep m_Value{};
};

/// Name of a daemon, from its settings; stays the same across restarts.
using InstanceName = StrongId<struct InstanceNameTag, std::string>;
using DomainName = StrongId<struct DomainNameTag, std::string>;
using RegionName = StrongId<struct RegionNameTag, std::string>;
using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using ClassName = StrongId<struct ClassNameTag, std::string>;

/// "host:port" of a daemon's peer transport.
using PeerAddress = StrongId<struct PeerAddressTag, std::string>;

/// Identifies one run of one daemon. Random and never reused; 0 means none.
using SessionId = StrongId<struct SessionIdTag, std::uint64_t>;

/// Index of a shard within its service.
using ShardIndex = StrongId<struct ShardIndexTag, std::uint32_t>;

/// Fencing token of a shard's assignment to an owner. Increases with every new
/// assignment; 0 means never assigned.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;

/// Version of the configuration. Never decreases; 0 means none.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;

/// Hash of a key, see hashKey().
using KeyHash = StrongId<struct KeyHashTag, std::uint64_t>;

/// Identifies a request within one daemon process.
using RequestHandle = StrongId<struct RequestHandleTag, std::uint64_t>;

/// Identifies an order: one dispatch of a request to the local target.
using OrderId = StrongId<struct OrderIdTag, std::uint64_t>;

/// Matches a table reply with the read or commit that caused it.
using TableTicket = StrongId<struct TableTicketTag, std::uint64_t>;

/// Globally unique id of a request, chosen by the caller or by the entrance
/// (the daemon that receives the request from the caller). At most
/// MaxRequestIdLength printable characters.
using RequestId = StrongId<struct RequestIdTag, std::string>;

/// In bytes.
inline constexpr std::size_t MaxRequestIdLength = 64;

/// Identifies a shard of a service that is divided by key.
struct ShardRef {
  ServiceName m_Service;
  ShardIndex m_Shard;

  auto operator<=>(const ShardRef &) const = default;
};

} // namespace balsamwheel

template <typename Tag, typename Rep>
struct std::hash<balsamwheel::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const balsamwheel::StrongId<Tag, Rep> &Id) const noexcept {
    return std::hash<Rep>()(Id.value());
  }
};

template <> struct std::hash<balsamwheel::ShardRef> {
  std::size_t operator()(const balsamwheel::ShardRef &Ref) const noexcept {
    return std::hash<balsamwheel::ServiceName>()(Ref.m_Service) * 31 +
           Ref.m_Shard.value();
  }
};
