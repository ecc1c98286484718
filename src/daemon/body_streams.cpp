// Credit-based transfer of body chunks, and the lifetime of pipes.
#include "daemon/body_streams.h"

#include "runtime/boot_clock.h"

#include <algorithm>
#include <atomic>

namespace balsamwheel::daemon {

using runtime::BodyPipe;
using runtime::BodyPipeOptions;
using runtime::BodyPipePtr;
using runtime::PipeState;

namespace {

/// Largest chunk, in bytes.
constexpr std::size_t ChunkSize = std::size_t{64} * 1024;
/// Bytes that a sender may have in transit for one stream.
constexpr std::uint64_t CreditWindow = runtime::DefaultPipeCapacity;
/// The receiver grants new credit after it has consumed this many bytes.
constexpr std::uint64_t CreditBatch = CreditWindow / 4;
/// A pipe that has no reader after this time fails.
constexpr Duration UnclaimedTimeout = std::chrono::seconds(30);

} // namespace

struct BodyStreams::Outgoing {
  std::mutex m_Mutex;
  BodyPipePtr m_Pipe;
  PeerAddress m_Receiver;
  std::shared_ptr<const Send> m_Send;
  /// Bytes that the receiver still accepts.
  std::uint64_t m_Credit = 0;
  std::atomic<bool> m_Ended{false};
};

struct BodyStreams::Incoming {
  std::mutex m_Mutex;
  PeerAddress m_Sender;
  std::uint64_t m_RemoteId = 0;
  std::shared_ptr<const Send> m_Send;
  /// Bytes consumed since credit was last granted.
  std::uint64_t m_ConsumedSinceCredit = 0;
  /// Body offset expected in the next chunk.
  std::uint64_t m_NextOffset = 0;

  void onConsumed(std::size_t Bytes) {
    std::uint64_t Batch = 0;
    {
      const std::scoped_lock Lock(m_Mutex);
      m_ConsumedSinceCredit += Bytes;
      if (m_ConsumedSinceCredit < CreditBatch)
        return;
      Batch = std::exchange(m_ConsumedSinceCredit, 0);
    }
    grantCredit(Batch);
  }

  void grantCredit(std::uint64_t Bytes) const {
    (*m_Send)(m_Sender, BodyMessage(BodyCredit{m_RemoteId, Bytes}));
  }

  void cancel() const {
    (*m_Send)(m_Sender, BodyMessage(BodyCancel{m_RemoteId}));
  }
};

BodyStreams::BodyStreams(Send SendMessage, std::uint64_t FirstId)
    : m_Send(std::make_shared<const Send>(std::move(SendMessage))),
      m_NextId(std::max<std::uint64_t>(FirstId, 1)) {}

BodyStreams::~BodyStreams() { failAll(); }

BodyPipePtr BodyStreams::create(std::string_view Prefix,
                                std::optional<std::uint64_t> Length) {
  const std::scoped_lock Lock(m_Mutex);
  BodyPipeOptions Options;
  Options.m_Id = m_NextId++;
  Options.m_Prefix = Prefix;
  Options.m_Length = Length;
  auto Pipe = std::make_shared<BodyPipe>(Options);
  m_Pipes.emplace(Options.m_Id, Entry{Pipe, runtime::bootNow(), nullptr});
  return Pipe;
}

std::uint64_t BodyStreams::openRemote(const PeerAddress &Peer,
                                      std::uint64_t RemoteId,
                                      std::string_view Prefix,
                                      std::optional<std::uint64_t> Length) {
  auto Source = std::make_shared<Incoming>();
  Source->m_Sender = Peer;
  Source->m_RemoteId = RemoteId;
  Source->m_Send = m_Send;
  Source->m_NextOffset = Prefix.size();

  const std::scoped_lock Lock(m_Mutex);
  BodyPipeOptions Options;
  Options.m_Id = m_NextId++;
  Options.m_Prefix = Prefix;
  Options.m_Length = Length;
  Options.m_Capacity = CreditWindow + ChunkSize;
  Options.m_OnConsumed = [Source](std::size_t Bytes) {
    Source->onConsumed(Bytes);
  };
  Options.m_OnAbandoned = [Source] { Source->cancel(); };
  m_Pipes.emplace(Options.m_Id, Entry{std::make_shared<BodyPipe>(Options),
                                      runtime::bootNow(), Source});
  m_LocalIds[{Peer, RemoteId}] = Options.m_Id;
  return Options.m_Id;
}

BodyPipePtr BodyStreams::claim(std::uint64_t Id) {
  Entry Found;
  {
    const std::scoped_lock Lock(m_Mutex);
    const auto Stored = m_Pipes.find(Id);
    if (Stored == m_Pipes.end())
      return nullptr;
    Found = Stored->second;
  }
  if (!Found.m_Pipe->claimReader())
    return nullptr;
  if (Found.m_Incoming)
    Found.m_Incoming->grantCredit(CreditWindow);
  return Found.m_Pipe;
}

void BodyStreams::onMessage(const PeerAddress &Peer, BodyMessage Message) {
  std::visit([this, &Peer](auto &Item) { receive(Peer, std::move(Item)); },
             Message);
}

void BodyStreams::receive(const PeerAddress &Peer, BodyChunk Chunk) {
  Entry Found;
  {
    const std::scoped_lock Lock(m_Mutex);
    const auto Remote = m_LocalIds.find({Peer, Chunk.m_Stream});
    if (Remote == m_LocalIds.end())
      return;
    Found = m_Pipes.at(Remote->second);
    if (Chunk.m_Last)
      m_LocalIds.erase(Remote);
  }
  BodyPipe &Pipe = *Found.m_Pipe;
  std::uint64_t &NextOffset = Found.m_Incoming->m_NextOffset;
  if (Chunk.m_Failed || Chunk.m_Offset != NextOffset ||
      !Pipe.tryWrite(Chunk.m_Bytes)) {
    Pipe.fail();
    return;
  }
  NextOffset += Chunk.m_Bytes.size();
  if (Chunk.m_Last)
    Pipe.finish(Chunk.m_BodyHash);
}

void BodyStreams::receive(const PeerAddress &Peer, const BodyCredit &Credit) {
  std::shared_ptr<Outgoing> Stream;
  {
    const std::scoped_lock Lock(m_Mutex);
    const RemoteStream Remote{Peer, Credit.m_Stream};
    if (const auto Known = m_Outgoing.find(Remote); Known != m_Outgoing.end()) {
      Stream = Known->second;
    } else {
      const auto Stored = m_Pipes.find(Credit.m_Stream);
      Stream = std::make_shared<Outgoing>();
      Stream->m_Receiver = Peer;
      Stream->m_Send = m_Send;
      if (Stored != m_Pipes.end() && Stored->second.m_Pipe->claimReader())
        Stream->m_Pipe = Stored->second.m_Pipe;
      m_Outgoing.emplace(Remote, Stream);
    }
  }
  if (!Stream->m_Pipe) {
    BodyChunk Refusal;
    Refusal.m_Stream = Credit.m_Stream;
    Refusal.m_Last = true;
    Refusal.m_Failed = true;
    (*m_Send)(Peer, BodyMessage(std::move(Refusal)));
    return;
  }
  {
    const std::scoped_lock Lock(Stream->m_Mutex);
    Stream->m_Credit += Credit.m_Bytes;
  }
  pump(Stream);
}

void BodyStreams::receive(const PeerAddress &Peer, const BodyCancel &Cancel) {
  std::shared_ptr<Outgoing> Stream;
  {
    const std::scoped_lock Lock(m_Mutex);
    const auto Known = m_Outgoing.find({Peer, Cancel.m_Stream});
    if (Known == m_Outgoing.end())
      return;
    Stream = Known->second;
  }
  if (Stream->m_Pipe)
    Stream->m_Pipe->abandon();
}

void BodyStreams::pump(const std::shared_ptr<Outgoing> &Stream) {
  const std::scoped_lock Lock(Stream->m_Mutex);
  BodyPipe &Pipe = *Stream->m_Pipe;
  while (!Stream->m_Ended) {
    BodyChunk Chunk;
    Chunk.m_Stream = Pipe.id();
    Chunk.m_Offset = Pipe.readOffset();
    if (Stream->m_Credit > 0)
      Chunk.m_Bytes =
          Pipe.take(std::min<std::uint64_t>(Stream->m_Credit, ChunkSize));
    Stream->m_Credit -= Chunk.m_Bytes.size();
    const PipeState State = Pipe.state();
    Chunk.m_Failed = State == PipeState::Failed;
    Chunk.m_Last = State != PipeState::Open;
    Chunk.m_BodyHash = State == PipeState::Ended ? Pipe.hash() : 0;
    if (Chunk.m_Bytes.empty() && !Chunk.m_Last) {
      if (Stream->m_Credit == 0 ||
          Pipe.notifyReadable([Stream] { pump(Stream); }))
        return;
      continue;
    }
    Stream->m_Ended = Chunk.m_Last;
    (*Stream->m_Send)(Stream->m_Receiver, BodyMessage(std::move(Chunk)));
  }
}

void BodyStreams::onPeerLost(const PeerAddress &Peer) {
  std::vector<BodyPipePtr> Broken;
  {
    const std::scoped_lock Lock(m_Mutex);
    for (auto &[Id, Item] : m_Pipes)
      if (Item.m_Incoming && Item.m_Incoming->m_Sender == Peer &&
          Item.m_Pipe->readerClaimed())
        Broken.push_back(Item.m_Pipe);
    for (auto &[Remote, Stream] : m_Outgoing)
      if (Remote.first == Peer && Stream->m_Pipe)
        Broken.push_back(Stream->m_Pipe);
  }
  for (const BodyPipePtr &Pipe : Broken)
    if (Pipe->state() == PipeState::Open)
      Pipe->fail();
}

void BodyStreams::expire(TimePoint Now) {
  std::vector<BodyPipePtr> Unread;
  {
    const std::scoped_lock Lock(m_Mutex);
    for (auto &[Id, Item] : m_Pipes)
      if (!Item.m_Pipe->readerClaimed() &&
          Now - Item.m_CreatedAt > UnclaimedTimeout)
        Unread.push_back(Item.m_Pipe);
    std::erase_if(m_Pipes, [](const auto &Item) {
      return Item.second.m_Pipe->state() != PipeState::Open;
    });
    std::erase_if(m_LocalIds, [this](const auto &Item) {
      return !m_Pipes.contains(Item.second);
    });
    std::erase_if(m_Outgoing, [](const auto &Item) {
      const Outgoing &Stream = *Item.second;
      return Stream.m_Ended || !Stream.m_Pipe ||
             Stream.m_Pipe->state() == PipeState::Failed;
    });
  }
  for (const BodyPipePtr &Pipe : Unread)
    Pipe->fail();
}

void BodyStreams::failAll() {
  std::vector<BodyPipePtr> All;
  {
    const std::scoped_lock Lock(m_Mutex);
    for (auto &[Id, Item] : m_Pipes)
      All.push_back(Item.m_Pipe);
    m_Pipes.clear();
    m_LocalIds.clear();
    m_Outgoing.clear();
  }
  for (const BodyPipePtr &Pipe : All)
    Pipe->fail();
}

std::size_t BodyStreams::size() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Pipes.size();
}

} // namespace balsamwheel::daemon
