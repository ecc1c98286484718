// A bounded pipe between two threads for the part of a long body that isn't
// sent inline with its message.
#pragma once

#include "balsamwheel/detail/wire/request.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace balsamwheel::runtime {

/// State of a pipe as its reader sees it.
enum class PipeState : std::uint8_t {
  /// Bytes are buffered or may still be written.
  Open,
  /// All bytes were written and read.
  Ended,
  /// The body was aborted, or doesn't match its length or hash.
  Failed,
};

/// Default capacity of a pipe in bytes.
inline constexpr std::size_t DefaultPipeCapacity = std::size_t{256} * 1024;

struct BodyPipeOptions {
  /// Identifies the body in messages between daemons.
  std::uint64_t m_Id = 0;
  /// The part that was sent inline; counted and hashed, but not stored.
  std::string_view m_Prefix;
  /// Length of the whole body in bytes, prefix included; none if unknown.
  std::optional<std::uint64_t> m_Length;
  /// Maximum number of buffered bytes; a single larger write is accepted by an
  /// empty pipe.
  std::size_t m_Capacity = DefaultPipeCapacity;
  /// Called after each read, without locks held, with the number of bytes.
  std::function<void(std::size_t Bytes)> m_OnConsumed;
  /// Called without locks held when the reader abandons the pipe.
  std::function<void()> m_OnAbandoned;
};

/// One writer and one reader, each on any thread.
///
/// Invariants: bytes are read in the order in which they were written; at most
/// the capacity, or one write, is buffered; Ended is reported only if the whole
/// length was written and a hash given to finish() matched.
class BodyPipe {
public:
  using Notify = std::function<void()>;

  explicit BodyPipe(const BodyPipeOptions &Options);
  ~BodyPipe();
  BodyPipe(const BodyPipe &) = delete;
  BodyPipe &operator=(const BodyPipe &) = delete;

  std::uint64_t id() const { return m_Id; }

  /// Appends all of \p Bytes, or nothing and returns false if the pipe is full.
  /// A failed or finished pipe discards \p Bytes and returns true.
  bool tryWrite(std::string_view Bytes);
  /// Reports that no more bytes follow. The pipe fails if the body's length or
  /// hash isn't the expected one.
  void finish(std::optional<std::uint64_t> ExpectedHash = std::nullopt);
  /// Fails the pipe and drops the buffered bytes: the writer aborts the body,
  /// or the connection between writer and reader was lost.
  void fail();
  /// Fails the pipe on behalf of the reader and calls m_OnAbandoned. Does
  /// nothing if the pipe has ended or failed.
  void abandon();

  /// Copies up to \p Size buffered bytes to \p Target.
  ///
  /// \returns the number of bytes copied.
  std::size_t read(char *Target, std::size_t Size);
  /// Returns up to \p Limit buffered bytes.
  std::string take(std::size_t Limit);
  PipeState state() const;
  /// Returns the number of bytes read so far, prefix included.
  std::uint64_t readOffset() const;
  /// Returns the XXH3 hash of the whole body; valid after finish().
  std::uint64_t hash() const;
  /// Reserves the reader's side; false if it was reserved before.
  bool claimReader();
  bool readerClaimed() const;

  /// Calls \p Callback once, when there are bytes to read or the pipe has
  /// finished or failed. Returns false, without storing it, if that is the case
  /// already.
  bool notifyReadable(Notify Callback);
  /// The same for the writer: when at most half of the capacity is in use or
  /// the pipe has failed.
  bool notifyWritable(Notify Callback);

private:
  bool readableLocked() const;
  bool writableLocked() const;
  /// Releases the lock, then runs the callbacks that are due.
  void unlockAndNotify(std::unique_lock<std::mutex> &Lock);

  const std::uint64_t m_Id;
  const std::size_t m_Capacity;
  const std::optional<std::uint64_t> m_Length;
  const std::function<void(std::size_t)> m_OnConsumed;
  const std::function<void()> m_OnAbandoned;

  mutable std::mutex m_Mutex;
  std::deque<std::string> m_Chunks;
  /// Bytes of the first chunk that have been read.
  std::size_t m_FrontOffset = 0;
  std::size_t m_BufferedBytes = 0;
  std::uint64_t m_WrittenBytes = 0;
  std::uint64_t m_ReadBytes = 0;
  std::uint64_t m_Hash = 0;
  bool m_Finished = false;
  bool m_Failed = false;
  bool m_ReaderClaimed = false;
  Notify m_OnReadable;
  Notify m_OnWritable;
  std::unique_ptr<XXH3_state_s, void (*)(XXH3_state_s *)> m_HashState;
};

using BodyPipePtr = std::shared_ptr<BodyPipe>;

/// Returns the XXH3 hash of a whole inline body.
std::uint64_t bodyHash(std::string_view Body);

} // namespace balsamwheel::runtime
