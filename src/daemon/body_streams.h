// Streamed bodies: the pipes of this daemon and their transfer between daemons.
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

/// Assigns ids to pipes and transfers their bytes in chunks, limited by the
/// credit that the receiver grants. Thread-safe.
///
/// Invariants: a pipe has at most one reader, in this process or on one other
/// daemon; the bytes in transit for a stream never exceed the granted credit.
class BodyStreams {
public:
  using Send =
      std::function<void(const PeerAddress &Receiver, PeerMessage Message)>;

  /// \param FirstId id of the first pipe; should differ between runs.
  BodyStreams(Send SendMessage, std::uint64_t FirstId);
  ~BodyStreams();

  /// Creates a pipe that is written in this process.
  ///
  /// \param Prefix the bytes that are already known.
  /// \param Length length of the whole body in bytes, if known.
  runtime::BodyPipePtr create(std::string_view Prefix,
                              std::optional<std::uint64_t> Length);
  /// Creates a local pipe for a body that another daemon holds. The transfer
  /// starts when the pipe is claimed.
  ///
  /// \param RemoteId id of the pipe at \p Peer.
  /// \returns the id of the local pipe.
  std::uint64_t openRemote(const PeerAddress &Peer, std::uint64_t RemoteId,
                           std::string_view Prefix,
                           std::optional<std::uint64_t> Length);
  /// Claims a pipe for reading in this process.
  ///
  /// \returns null if the pipe is unknown or already has a reader.
  runtime::BodyPipePtr claim(std::uint64_t Id);
  void onMessage(const PeerAddress &Peer, BodyMessage Message);
  /// Fails the bodies in transit to or from \p Peer.
  void onPeerLost(const PeerAddress &Peer);
  /// Fails pipes that have stayed without a reader for too long and removes
  /// those that have ended.
  void expire(TimePoint Now);
  /// Fails and removes all pipes.
  void failAll();
  /// Returns the number of pipes.
  std::size_t size() const;

private:
  /// A body that this daemon sends to another.
  struct Outgoing;
  /// A body that another daemon sends to this one.
  struct Incoming;
  /// The peer and the stream id used in its messages.
  using RemoteStream = std::pair<PeerAddress, std::uint64_t>;
  struct RemoteStreamHash {
    std::size_t operator()(const RemoteStream &Remote) const noexcept {
      return std::hash<PeerAddress>()(Remote.first) * 31 + Remote.second;
    }
  };
  struct Entry {
    runtime::BodyPipePtr m_Pipe;
    TimePoint m_CreatedAt;
    /// Set if another daemon sends the body.
    std::shared_ptr<Incoming> m_Incoming;
  };

  void receive(const PeerAddress &Peer, BodyChunk Chunk);
  void receive(const PeerAddress &Peer, const BodyCredit &Credit);
  void receive(const PeerAddress &Peer, const BodyCancel &Cancel);
  /// Sends chunks until the credit is used up or no bytes are available.
  static void pump(const std::shared_ptr<Outgoing> &Stream);

  const std::shared_ptr<const Send> m_Send;
  mutable std::mutex m_Mutex;
  std::uint64_t m_NextId;
  /// By local id.
  std::unordered_map<std::uint64_t, Entry> m_Pipes;
  /// Local ids of the bodies that other daemons send.
  std::unordered_map<RemoteStream, std::uint64_t, RemoteStreamHash> m_LocalIds;
  std::unordered_map<RemoteStream, std::shared_ptr<Outgoing>, RemoteStreamHash>
      m_Outgoing;
};

} // namespace balsamwheel::daemon
