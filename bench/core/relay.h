// TCP relays in front of the daemons' peer ports, to inject network faults:
// they can stop relaying a connection permanently, or until a partition heals.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace balsamwheel::bench {

/// Runs all relays on one thread. The bytes of a blocked connection stay in the
/// socket buffers, so that both ends see a connection whose packets are lost.
class RelayHub {
public:
  RelayHub();
  ~RelayHub();
  RelayHub(const RelayHub &) = delete;
  RelayHub &operator=(const RelayHub &) = delete;

  /// Relays connections from \p ListenPort to \p ServerPort, both on 127.0.0.1.
  /// Call before start().
  ///
  /// \throws std::runtime_error when it can't listen.
  void add(std::uint16_t ListenPort, std::uint16_t ServerPort);
  void start();

  /// Blocks all connections that are open now permanently. New ones are
  /// relayed.
  void silenceOpenConnections();
  /// Blocks the connections between these daemons and all others.
  ///
  /// \param ListenPorts relay ports of the daemons to isolate.
  void isolate(std::set<std::uint16_t> ListenPorts);
  /// Ends the isolation. Connections that it blocked are relayed again.
  void heal();
  std::size_t openConnections() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace balsamwheel::bench
