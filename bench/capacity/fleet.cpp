// Simulated network, clock and table of many coordinators in one process.
#include "bench/capacity/fleet.h"

#include "adapters/peer_tcp/codec.h"
#include "balsamwheel/detail/coordination/head_row.h"
#include "balsamwheel/detail/coordination/map_row.h"

#include <algorithm>
#include <ctime>

namespace balsamwheel::capacity {

namespace {

const ServiceName KeyedService("orders");

/// Overhead of a peer message: length prefix (4) and TCP and IP headers (40).
constexpr std::uint64_t PeerOverheadBytes = 4 + 40;
/// Overhead of an HTTP exchange with the table: headers of request and
/// response, and TCP and IP headers.
constexpr std::uint64_t HttpOverheadBytes = 400;
/// Overhead of each row, condition and write in such an exchange.
constexpr std::uint64_t RowOverheadBytes = 40;
constexpr std::uint32_t TargetSlots = 10;
/// Period of the check for unserved shards.
constexpr Duration ServedCheckPeriod = std::chrono::milliseconds(20);
/// Time between the starts of two nodes: they start one after the other, as the
/// instances of a deployment do.
constexpr Duration StartGap = std::chrono::milliseconds(50);

std::chrono::nanoseconds threadCpu() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return std::chrono::seconds(Now.tv_sec) +
         std::chrono::nanoseconds(Now.tv_nsec);
}

std::uint64_t bytesOf(const std::vector<Row> &Rows) {
  std::uint64_t Result = 0;
  for (const Row &Stored : Rows)
    Result +=
        Stored.m_Key.value().size() + Stored.m_Value.size() + RowOverheadBytes;
  return Result;
}

std::uint64_t bytesOf(const Transaction &Commit) {
  std::uint64_t Result = Commit.m_Conditions.size() * RowOverheadBytes;
  for (const RowWrite &Write : Commit.m_Writes)
    Result += Write.m_Key.value().size() +
              Write.m_Value.value_or(std::string()).size() + RowOverheadBytes;
  return Result;
}

} // namespace

Fleet::Fleet(FleetOptions Options) : m_Options(Options) {
  commitConfig(makeConfig(1));
  m_Nodes.resize(m_Options.m_Nodes);
  for (std::uint32_t Index = 0; Index < m_Options.m_Nodes; ++Index)
    schedule(StartGap * Index, [this, Index] { addNode(Index); });
}

Duration Fleet::startTime() const { return StartGap * m_Options.m_Nodes; }

std::uint32_t Fleet::domainOf(std::uint32_t Node) const {
  return Node % m_Options.m_Domains;
}

Config Fleet::makeConfig(std::uint64_t Version) const {
  Config Result;
  Result.m_Version = ConfigVersion(Version);
  Result.m_Manifest.m_Deployment = "fleet";
  for (std::uint32_t Domain = 0; Domain < m_Options.m_Domains; ++Domain)
    Result.m_Manifest.m_Domains.push_back(
        {DomainName("domain-" + std::to_string(Domain)),
         RegionName("region-" + std::to_string(Domain % 2))});
  Service Orders;
  Orders.m_Name = KeyedService;
  Orders.m_DividedByKey = true;
  Orders.m_Shards = m_Options.m_Shards;
  Orders.m_Classes.resize(1);
  Orders.m_Classes[0].m_Name = ClassName("place");
  Orders.m_Classes[0].m_Deadline = std::chrono::milliseconds(Version);
  Result.m_Manifest.m_Services = {Orders};
  return Result;
}

void Fleet::commitConfig(const Config &Next) {
  const auto Rows = m_Table.read(
      {.m_Keys = {ConfigHeadRowKey, HeadRowKey}, .m_Prefixes = {}});
  const Config Base = configFromRow(Rows[0]).value_or(Config{});
  Transaction Commit = makeConfigCommit(
      Rows[0], Base, Next, WriteId(m_Options.m_Seed + ++m_LastSequence));
  appendHeadUpdate(Commit, *parseHeadRow(Rows[1]),
                   {{ConfigHeadRowKey, Next.m_Version.value()}});
  m_Table.commit(Commit);
}

void Fleet::addNode(std::uint32_t Index) {
  Node &Added = m_Nodes[Index];
  const std::uint32_t Domain = domainOf(Index);
  Added.m_Address = PeerAddress("10.0." + std::to_string(Index / 250) + "." +
                                std::to_string(Index % 250) + ":7000");
  m_ByAddress[Added.m_Address] = Index;
  CoordinatorOptions Options;
  Options.m_Instance = InstanceName("instance-" + std::to_string(Index));
  Options.m_Domain = DomainName("domain-" + std::to_string(Domain));
  Options.m_Region = RegionName("region-" + std::to_string(Domain % 2));
  Options.m_Peer = Added.m_Address;
  Options.m_CallerAddress = Added.m_Address.value();
  Added.m_Coordinator = std::make_unique<Coordinator>(
      std::move(Options), m_Options.m_Seed * 1'000'003 + Index);
  callCoordinator(Index, [&] {
    Added.m_Coordinator->start(m_Now);
    Added.m_Coordinator->onTargetReady(KeyedService, TargetSlots, m_Now);
  });
}

void Fleet::schedule(Duration Delay, std::function<void()> Run) {
  m_Events.push({m_Now + Delay, ++m_LastSequence, std::move(Run)});
}

template <typename Call>
void Fleet::callCoordinator(std::uint32_t Index, Call Run) {
  Node &Callee = m_Nodes[Index];
  if (!Callee.m_Alive || !Callee.m_Coordinator)
    return;
  const auto Begin = threadCpu();
  Run();
  Callee.m_Usage.m_Cpu += threadCpu() - Begin;
  handleEffects(Index);
}

void Fleet::handleEffects(std::uint32_t Index) {
  Node &Current = m_Nodes[Index];
  for (const Effect &Request : Current.m_Coordinator->takeEffects()) {
    if (const auto *Send = std::get_if<SendControl>(&Request))
      send(Index, *Send);
    else if (const auto *Read = std::get_if<ReadTable>(&Request))
      read(Index, *Read);
    else if (const auto *Commit = std::get_if<CommitTable>(&Request))
      commit(Index, *Commit);
  }
  const TimePoint Wake =
      std::max(Current.m_Coordinator->nextWake(), m_Now + Duration(1));
  if (Wake >= Current.m_NextTick || Wake == TimePoint::max())
    return;
  Current.m_NextTick = Wake;
  schedule(Wake - m_Now, [this, Index, Wake] {
    Node &Woken = m_Nodes[Index];
    if (Woken.m_NextTick != Wake)
      return;
    Woken.m_NextTick = TimePoint::max();
    callCoordinator(Index, [&] { Woken.m_Coordinator->onTick(m_Now); });
  });
}

void Fleet::send(std::uint32_t From, const SendControl &Message) {
  NodeUsage &Sender = m_Nodes[From].m_Usage;
  const auto Begin = threadCpu();
  auto Frame = peer_tcp::encode(PeerMessage(Message.m_Message));
  Sender.m_Cpu += threadCpu() - Begin;
  const std::uint64_t Bytes = Frame.size() + PeerOverheadBytes;
  Sender.m_PeerBytes += Bytes;
  ++Sender.m_PeerMessages;
  const auto To = m_ByAddress.find(Message.m_To);
  if (To == m_ByAddress.end())
    return;
  schedule(m_Options.m_PeerDelay,
           [this, From, Index = To->second, Frame = std::move(Frame), Bytes] {
             m_Nodes[Index].m_Usage.m_PeerBytes += Bytes;
             callCoordinator(Index, [&] {
               peer_tcp::WireMessage Decoded;
               if (peer_tcp::decode(Frame, Decoded))
                 return;
               m_Nodes[Index].m_Coordinator->onMessage(
                   std::get<ControlMessage>(std::get<PeerMessage>(Decoded)),
                   m_Nodes[From].m_Address, m_Now);
             });
           });
}

void Fleet::read(std::uint32_t Index, const ReadTable &Request) {
  schedule(m_Options.m_TableDelay / 2, [this, Index, Request] {
    TableReply Reply;
    ++m_TableUsage.m_Reads;
    if (!m_TableDown)
      Reply = {TableStatus::Ok, m_Table.read(Request.m_Read)};
    m_TableUsage.m_RowsRead += Reply.m_Rows.size();
    m_Nodes[Index].m_Usage.m_TableBytes +=
        HttpOverheadBytes + bytesOf(Reply.m_Rows);
    reply(Index, Request.m_Ticket, std::move(Reply));
  });
}

void Fleet::commit(std::uint32_t Index, const CommitTable &Request) {
  schedule(m_Options.m_TableDelay / 2, [this, Index, Request] {
    TableReply Reply;
    ++m_TableUsage.m_Commits;
    if (!m_TableDown)
      Reply = m_Table.commit(Request.m_Transaction);
    if (Reply.m_Status == TableStatus::Conflict)
      ++m_TableUsage.m_Conflicts;
    else
      m_TableUsage.m_RowsWritten += Request.m_Transaction.m_Writes.size();
    m_Nodes[Index].m_Usage.m_TableBytes += HttpOverheadBytes +
                                           bytesOf(Request.m_Transaction) +
                                           bytesOf(Reply.m_Rows);
    reply(Index, Request.m_Ticket, std::move(Reply));
  });
}

void Fleet::reply(std::uint32_t Index, TableTicket Ticket, TableReply Reply) {
  schedule(m_Options.m_TableDelay / 2,
           [this, Index, Ticket, Reply = std::move(Reply)] {
             callCoordinator(Index, [&] {
               m_Nodes[Index].m_Coordinator->onTableReply(Ticket, Reply, m_Now);
             });
           });
}

void Fleet::run(Duration Length) {
  const TimePoint End = m_Now + Length;
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  m_Now = End;
}

Duration Fleet::runUntilServed(Duration Limit) {
  const TimePoint Begin = m_Now;
  while (m_Now - Begin < Limit && unserved() > 0)
    run(ServedCheckPeriod);
  return m_Now - Begin;
}

void Fleet::kill(const std::vector<std::uint32_t> &Nodes) {
  for (const std::uint32_t Index : Nodes)
    m_Nodes[Index].m_Alive = false;
}

std::size_t Fleet::unserved() const {
  std::unordered_map<SessionId, const Node *> BySession;
  for (const Node &Candidate : m_Nodes)
    if (Candidate.m_Alive && Candidate.m_Coordinator)
      BySession[Candidate.m_Coordinator->session()] = &Candidate;
  std::size_t Served = 0;
  for (const Row &Stored :
       m_Table.read({.m_Keys = {}, .m_Prefixes = {MapRowPrefix}})) {
    const auto Map = parseMapRow(Stored);
    if (!Map)
      continue;
    for (std::uint32_t Position = 0; Position < Map->m_Entries.size();
         ++Position) {
      const auto Owner = BySession.find(Map->m_Entries[Position].m_Owner);
      const KeyHash Key(Map->m_Part * ShardsPerRow + Position);
      if (Owner != BySession.end() &&
          Owner->second->m_Coordinator->permit(KeyedService, Key, m_Now)
              .m_Granted)
        ++Served;
    }
  }
  return m_Options.m_Shards - Served;
}

std::size_t Fleet::nodesBehind(ConfigVersion Version) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_Nodes, [&](const Node &Candidate) {
        return Candidate.m_Alive &&
               Candidate.m_Coordinator->status(m_Now).m_Config < Version;
      }));
}

bool Fleet::isLeader(std::uint32_t Node) const {
  return m_Nodes[Node].m_Coordinator->status(m_Now).m_Leader;
}

void Fleet::resetUsage() {
  m_TableUsage = {};
  for (Node &Each : m_Nodes)
    Each.m_Usage = {};
}

} // namespace balsamwheel::capacity
