// Long bodies: the pipes of this daemon, and their way between daemons.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/wire/body.h"
#include "balsamwheel/detail/wire/peer.h"
#include "runtime/body_pipe.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace balsamwheel::daemon {

/// Names pipes, and moves their bytes in chunks as far as the receiver's
/// credit goes. Thread-safe.
///
/// Invariants: a pipe has one reader, in this process or on one other daemon;
/// bytes on their way for one stream never exceed the credit given.
class BodyStreams {
public:
  using Send = std::function<void(const PeerAddress &To, PeerMessage Message)>;

  /// \param FirstId the first pipe's id; distinct per run.
  BodyStreams(Send SendMessage, std::uint64_t FirstId);
  ~BodyStreams();

  /// Makes a pipe that is written in this process.
  runtime::BodyPipePtr create(std::string_view Prefix,
                              std::optional<std::uint64_t> Length);
  /// Gives a body that another daemon holds a local pipe.
  ///
  /// \returns the local name of the body.
  std::uint64_t openRemote(const PeerAddress &From, std::uint64_t RemoteId,
                           std::string_view Prefix,
                           std::optional<std::uint64_t> Length);
  /// Takes a pipe for reading in this process; null when it is unknown or
  /// has a reader.
  runtime::BodyPipePtr claim(std::uint64_t Id);
  void onMessage(const PeerAddress &From, BodyMessage Message);
  void onPeerLost(const PeerAddress &Peer);
  /// Fails pipes that nobody reads, and forgets those that ended.
  void expire(TimePoint Now);
  /// Fails every pipe.
  void failAll();
  std::size_t size() const;

private:
  /// A body that this daemon sends to another.
  struct Outgoing;
  /// A body that another daemon sends to this one.
  struct Incoming;
  using RemoteStream = std::pair<PeerAddress, std::uint64_t>;
  struct RemoteStreamHash {
    std::size_t operator()(const RemoteStream &Remote) const noexcept {
      return std::hash<PeerAddress>()(Remote.first) * 31 + Remote.second;
    }
  };
  struct Entry {
    runtime::BodyPipePtr m_Pipe;
    TimePoint m_CreatedAt;
    /// Set for a body of another daemon.
    std::shared_ptr<Incoming> m_Incoming;
  };

  void receive(const PeerAddress &From, BodyChunk Chunk);
  void receive(const PeerAddress &From, const BodyCredit &Credit);
  void receive(const PeerAddress &From, const BodyCancel &Cancel);
  static void pump(const std::shared_ptr<Outgoing> &Stream);

  const std::shared_ptr<const Send> m_Send;
  mutable std::mutex m_Mutex;
  std::uint64_t m_NextId;
  std::unordered_map<std::uint64_t, Entry> m_Pipes;
  std::unordered_map<RemoteStream, std::uint64_t, RemoteStreamHash> m_LocalIds;
  std::unordered_map<RemoteStream, std::shared_ptr<Outgoing>, RemoteStreamHash>
      m_Outgoing;
};

} // namespace balsamwheel::daemon
