// A simulated network between daemons that drops, duplicates, delays and
// reorders messages, cuts links, and silences connections until they are reset.
#pragma once

#include "fake_events.h"

#include <set>
#include <utility>

namespace balsamwheel::testing {

class FakeNetwork {
public:
  using Deliver = std::function<void(std::size_t Receiver, std::size_t Sender,
                                     PeerMessage)>;

  FakeNetwork(EventQueue &Queue, std::uint64_t Seed)
      : m_Queue(Queue), m_Random(Seed) {}

  unsigned m_LossPercent = 0;
  unsigned m_DuplicatePercent = 0;
  /// Percentage of messages that are delayed by up to m_LateDelay more.
  unsigned m_LatePercent = 0;
  Duration m_LateDelay = milliseconds(400);
  Deliver m_Deliver;

  /// Ends every fault except silent connections, which only a reset restores.
  void heal() {
    m_LossPercent = m_DuplicatePercent = m_LatePercent = 0;
    m_CutLinks.clear();
  }

  /// Discards all messages from one daemon to another, also those under way.
  void cut(std::size_t Sender, std::size_t Receiver) {
    m_CutLinks.insert({Sender, Receiver});
  }
  /// Discards everything that one end sends on the current connection.
  void silence(std::size_t Sender, std::size_t Receiver) {
    m_SilentLinks.insert({Sender, Receiver});
  }
  /// Replaces the connection between two daemons; ends silence() both ways.
  void reset(std::size_t Sender, std::size_t Receiver) {
    m_SilentLinks.erase({Sender, Receiver});
    m_SilentLinks.erase({Receiver, Sender});
  }
  bool anyCut() const { return !m_CutLinks.empty(); }
  bool anySilent() const { return !m_SilentLinks.empty(); }

  void send(std::size_t Sender, std::size_t Receiver,
            const PeerMessage &Message) {
    if (m_SilentLinks.contains({Sender, Receiver}) ||
        m_Random.chance(m_LossPercent))
      return;
    const int Copies = m_Random.chance(m_DuplicatePercent) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      m_Queue.after(delay(), [this, Sender, Receiver, Message] {
        if (!m_CutLinks.contains({Sender, Receiver}))
          m_Deliver(Receiver, Sender, Message);
      });
  }

private:
  Duration delay() {
    Duration Result = m_Random.between(microseconds(200), microseconds(1500));
    if (m_Random.chance(m_LatePercent))
      Result += m_Random.between(Duration(0), m_LateDelay);
    return Result;
  }

  EventQueue &m_Queue;
  RandomSource m_Random;
  std::set<std::pair<std::size_t, std::size_t>> m_CutLinks;
  std::set<std::pair<std::size_t, std::size_t>> m_SilentLinks;
};

} // namespace balsamwheel::testing
