// A bounded pipe for the part of a long body that does not travel inline.
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

/// What a reader finds at the front of a pipe.
enum class PipeState : std::uint8_t {
  /// Bytes wait, or may still come.
  Open,
  /// Every byte was written and read.
  Ended,
  /// The rest will never come, or did not match its length or hash.
  Failed,
};

inline constexpr std::size_t DefaultPipeCapacity = std::size_t{256} * 1024;

struct BodyPipeOptions {
  /// Where the body is named by messages between daemons.
  std::uint64_t m_Id = 0;
  /// The part that travelled inline; counted and hashed, not kept.
  std::string_view m_Prefix;
  /// Length of the whole body, prefix included; none if unknown.
  std::optional<std::uint64_t> m_Length;
  /// Most bytes that wait in the pipe.
  std::size_t m_Capacity = DefaultPipeCapacity;
  /// Called without locks after bytes were read, with their number.
  std::function<void(std::size_t Bytes)> m_OnConsumed;
  /// Called without locks when the reader gave up.
  std::function<void()> m_OnAbandoned;
};

/// One writer, one reader, on any threads.
///
/// Invariants: bytes leave in the order they came; at most the capacity, or
/// one write, waits inside; Ended is reported only when the whole length was
/// written and a hash given to finish() matched.
class BodyPipe {
public:
  using Notify = std::function<void()>;

  explicit BodyPipe(const BodyPipeOptions &Options);
  ~BodyPipe();
  BodyPipe(const BodyPipe &) = delete;
  BodyPipe &operator=(const BodyPipe &) = delete;

  std::uint64_t id() const { return m_Id; }

  /// Appends all of \p Bytes, or nothing and returns false when it is full.
  /// A pipe that failed swallows everything.
  bool tryWrite(std::string_view Bytes);
  /// No more follows. The body fails when its length or hash is another.
  void finish(std::optional<std::uint64_t> ExpectedHash = std::nullopt);
  /// The writer gives up, or something between the ends broke.
  void fail();
  /// The reader gives up. Without effect when the body has ended.
  void abandon();

  /// Copies bytes out; 0 when none wait.
  std::size_t read(char *Target, std::size_t Size);
  /// Moves up to \p Limit bytes out.
  std::string take(std::size_t Limit);
  PipeState state() const;
  /// Bytes read so far, prefix included.
  std::uint64_t readOffset() const;
  /// The hash of the whole body; meaningful after finish().
  std::uint64_t hash() const;
  /// Claims the reading end; false when it was claimed before.
  bool claimReader();
  bool readerClaimed() const;

  /// Calls \p Callback once when there is something to read or no more will
  /// come; returns false, without keeping it, when that is so already.
  bool notifyReadable(Notify Callback);
  /// Likewise for room to write.
  bool notifyWritable(Notify Callback);

private:
  bool readableLocked() const;
  bool writableLocked() const;
  /// Runs callbacks without the lock.
  void notify(std::unique_lock<std::mutex> &Lock);

  const std::uint64_t m_Id;
  const std::size_t m_Capacity;
  const std::optional<std::uint64_t> m_Length;
  const std::function<void(std::size_t)> m_OnConsumed;
  const std::function<void()> m_OnAbandoned;

  mutable std::mutex m_Mutex;
  std::deque<std::string> m_Chunks;
  /// Bytes of the first chunk that were read.
  std::size_t m_FrontRead = 0;
  std::size_t m_Waiting = 0;
  std::uint64_t m_Written = 0;
  std::uint64_t m_Read = 0;
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
