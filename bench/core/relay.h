// Relays in front of the daemons' peer ports, which can hold connections
// back: for good, or until a partition heals.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace balsamwheel::bench {

/// One thread for all relays. Bytes held back stay in the sockets' buffers, so
/// that a held connection looks like one whose packets are lost.
class RelayHub {
public:
  RelayHub();
  ~RelayHub();
  RelayHub(const RelayHub &) = delete;
  RelayHub &operator=(const RelayHub &) = delete;

  /// Relays connections to \p ListenPort on to \p ServerPort, both on
  /// 127.0.0.1. Call before start().
  void add(std::uint16_t ListenPort, std::uint16_t ServerPort);
  void start();

  /// Holds back all connections that are open now, for good. New ones work.
  void silenceOpenConnections();
  /// Holds back connections between these daemons and all others, named by
  /// the ports they listen on here.
  void isolate(std::set<std::uint16_t> ListenPorts);
  /// Ends the isolation; held connections go on.
  void heal();
  std::size_t openConnections() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::bench
