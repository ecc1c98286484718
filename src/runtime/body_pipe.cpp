// Buffering, counting and hashing of the bytes of a long body.
#include "runtime/body_pipe.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace balsamwheel::runtime {

BodyPipe::BodyPipe(const BodyPipeOptions &Options)
    : m_Id(Options.m_Id), m_Capacity(Options.m_Capacity),
      m_Length(Options.m_Length), m_OnConsumed(Options.m_OnConsumed),
      m_OnAbandoned(Options.m_OnAbandoned),
      m_WrittenBytes(Options.m_Prefix.size()),
      m_ReadBytes(Options.m_Prefix.size()),
      m_HashState(XXH3_createState(),
                  [](XXH3_state_s *State) { XXH3_freeState(State); }) {
  XXH3_64bits_reset(m_HashState.get());
  XXH3_64bits_update(m_HashState.get(), Options.m_Prefix.data(),
                     Options.m_Prefix.size());
}

BodyPipe::~BodyPipe() = default;

bool BodyPipe::readableLocked() const {
  return m_BufferedBytes > 0 || m_Finished || m_Failed;
}

bool BodyPipe::writableLocked() const {
  return m_Failed || m_BufferedBytes * 2 <= m_Capacity;
}

void BodyPipe::unlockAndNotify(std::unique_lock<std::mutex> &Lock) {
  Notify Readable;
  Notify Writable;
  if (m_OnReadable && readableLocked())
    Readable = std::exchange(m_OnReadable, nullptr);
  if (m_OnWritable && writableLocked())
    Writable = std::exchange(m_OnWritable, nullptr);
  Lock.unlock();
  if (Readable)
    Readable();
  if (Writable)
    Writable();
}

bool BodyPipe::tryWrite(std::string_view Bytes) {
  std::unique_lock Lock(m_Mutex);
  if (m_Failed || m_Finished || Bytes.empty())
    return true;
  if (m_BufferedBytes > 0 && m_BufferedBytes + Bytes.size() > m_Capacity)
    return false;
  XXH3_64bits_update(m_HashState.get(), Bytes.data(), Bytes.size());
  m_Chunks.emplace_back(Bytes);
  m_BufferedBytes += Bytes.size();
  m_WrittenBytes += Bytes.size();
  if (m_Length && m_WrittenBytes > *m_Length)
    m_Failed = true;
  unlockAndNotify(Lock);
  return true;
}

void BodyPipe::finish(std::optional<std::uint64_t> ExpectedHash) {
  std::unique_lock Lock(m_Mutex);
  if (m_Finished || m_Failed)
    return;
  m_Finished = true;
  m_Hash = XXH3_64bits_digest(m_HashState.get());
  if ((m_Length && m_WrittenBytes != *m_Length) ||
      (ExpectedHash && m_Hash != *ExpectedHash))
    m_Failed = true;
  unlockAndNotify(Lock);
}

void BodyPipe::fail() {
  std::unique_lock Lock(m_Mutex);
  m_Failed = true;
  m_Chunks.clear();
  m_FrontOffset = 0;
  m_BufferedBytes = 0;
  unlockAndNotify(Lock);
}

void BodyPipe::abandon() {
  if (state() != PipeState::Open)
    return;
  fail();
  if (m_OnAbandoned)
    m_OnAbandoned();
}

std::size_t BodyPipe::read(char *Target, std::size_t Size) {
  std::unique_lock Lock(m_Mutex);
  std::size_t Copied = 0;
  while (Copied < Size && !m_Chunks.empty()) {
    const std::string &Front = m_Chunks.front();
    const std::size_t Count =
        std::min(Size - Copied, Front.size() - m_FrontOffset);
    Front.copy(Target + Copied, Count, m_FrontOffset);
    Copied += Count;
    m_FrontOffset += Count;
    if (m_FrontOffset == Front.size()) {
      m_Chunks.pop_front();
      m_FrontOffset = 0;
    }
  }
  m_BufferedBytes -= Copied;
  m_ReadBytes += Copied;
  unlockAndNotify(Lock);
  if (m_OnConsumed && Copied > 0)
    m_OnConsumed(Copied);
  return Copied;
}

std::string BodyPipe::take(std::size_t Limit) {
  std::string Result;
  {
    const std::unique_lock Lock(m_Mutex);
    Result.resize(std::min(Limit, m_BufferedBytes));
  }
  Result.resize(read(Result.data(), Result.size()));
  return Result;
}

PipeState BodyPipe::state() const {
  const std::unique_lock Lock(m_Mutex);
  if (m_Failed)
    return PipeState::Failed;
  return m_Finished && m_BufferedBytes == 0 ? PipeState::Ended
                                            : PipeState::Open;
}

std::uint64_t BodyPipe::readOffset() const {
  const std::unique_lock Lock(m_Mutex);
  return m_ReadBytes;
}

std::uint64_t BodyPipe::hash() const {
  const std::unique_lock Lock(m_Mutex);
  return m_Hash;
}

bool BodyPipe::claimReader() {
  const std::unique_lock Lock(m_Mutex);
  return !std::exchange(m_ReaderClaimed, true);
}

bool BodyPipe::readerClaimed() const {
  const std::unique_lock Lock(m_Mutex);
  return m_ReaderClaimed;
}

bool BodyPipe::notifyReadable(Notify Callback) {
  const std::unique_lock Lock(m_Mutex);
  if (readableLocked())
    return false;
  m_OnReadable = std::move(Callback);
  return true;
}

bool BodyPipe::notifyWritable(Notify Callback) {
  const std::unique_lock Lock(m_Mutex);
  if (writableLocked())
    return false;
  m_OnWritable = std::move(Callback);
  return true;
}

std::uint64_t bodyHash(std::string_view Body) {
  return XXH3_64bits(Body.data(), Body.size());
}

} // namespace balsamwheel::runtime
