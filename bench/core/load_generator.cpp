// The thread that sends and receives, with libcurl's multi interface.
#include "bench/core/load_generator.h"

#include "bench/core/arrivals.h"
#include "bench/core/call.h"
#include "bench/core/clock.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>

namespace balsamwheel::bench {

namespace {

/// An entrance is avoided for this long after an attempt through it failed
/// without a complete answer.
constexpr Duration EntranceBackOff = std::chrono::seconds(1);
constexpr Duration MinRetryDelay = std::chrono::milliseconds(20);
constexpr long MaxIdleConnections = 4096;

} // namespace

class LoadGenerator::Impl {
public:
  explicit Impl(LoadPlan Plan)
      : m_Plan(std::move(Plan)), m_Random(m_Plan.m_Seed),
        m_BackOffUntil(m_Plan.m_Entrances.size()), m_Multi(curl_multi_init()) {
    curl_multi_setopt(m_Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(m_Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~Impl() {
    finish();
    m_IdleCalls.clear();
    curl_multi_cleanup(m_Multi);
  }

  void start() {
    m_Arrivals.emplace(m_Plan, now());
    m_Thread = std::thread([this] { run(); });
  }

  std::vector<RequestRecord> finish() {
    m_Stopping = true;
    if (m_Thread.joinable())
      m_Thread.join();
    return {std::make_move_iterator(m_Records.begin()),
            std::make_move_iterator(m_Records.end())};
  }

  void setRate(std::size_t Stream, double Rate) {
    const std::lock_guard Lock(m_Mutex);
    m_Arrivals->setRate(Stream, Rate, now());
  }

  void renameKeys(std::size_t Stream) {
    const std::lock_guard Lock(m_Mutex);
    m_Arrivals->renameKeys(Stream);
  }

  LoadTotals totals() const {
    return {.m_Sent = m_Sent, .m_Done = m_Done, .m_Failed = m_Failed};
  }

private:
  void run() {
    while (!m_Stopping || !m_OpenCalls.empty() || !m_Retries.empty()) {
      const TimePoint Now = now();
      if (!m_Stopping)
        sendDue(Now);
      sendRetries(Now);
      int Running = 0;
      curl_multi_perform(m_Multi, &Running);
      collectFinished();
      waitForActivity();
    }
  }

  void sendDue(TimePoint Now) {
    const std::lock_guard Lock(m_Mutex);
    for (auto Next = m_Arrivals->nextTime(); Next && *Next <= Now;
         Next = m_Arrivals->nextTime()) {
      const Arrival Arrived = m_Arrivals->takeNext();
      m_Records.push_back({.m_Id = "r" + std::to_string(m_Plan.m_Seed) + "-" +
                                   std::to_string(m_Records.size()),
                           .m_Stream = Arrived.m_Stream,
                           .m_Key = Arrived.m_Key,
                           .m_Intended = Arrived.m_Time,
                           .m_Attempts = {}});
      ++m_Sent;
      send(m_Records.back());
    }
  }

  void sendRetries(TimePoint Now) {
    while (!m_Retries.empty() && m_Retries.begin()->first <= Now) {
      RequestRecord *Record = m_Retries.begin()->second;
      m_Retries.erase(m_Retries.begin());
      send(*Record);
    }
  }

  void send(RequestRecord &Record) {
    std::unique_ptr<Call> Current = takeCall();
    const std::uint32_t Entrance = pickEntrance(Record);
    Current->prepare(Record, m_Plan.m_Streams[Record.m_Stream],
                     m_Plan.m_Entrances[Entrance], Entrance);
    curl_multi_add_handle(m_Multi, Current->handle());
    CURL *Handle = Current->handle();
    m_OpenCalls.emplace(Handle, std::move(Current));
  }

  std::unique_ptr<Call> takeCall() {
    if (m_IdleCalls.empty())
      return std::make_unique<Call>();
    std::unique_ptr<Call> Result = std::move(m_IdleCalls.back());
    m_IdleCalls.pop_back();
    return Result;
  }

  std::uint32_t pickEntrance(const RequestRecord &Record) {
    const auto Hint = m_OwnerHints.find(hintKey(Record));
    std::bernoulli_distribution FollowHint(m_Plan.m_HintShare);
    if (Record.m_Attempts.empty() && Hint != m_OwnerHints.end() &&
        FollowHint(m_Random))
      return Hint->second;
    std::uniform_int_distribution<std::uint32_t> AnyEntrance(
        0, static_cast<std::uint32_t>(m_Plan.m_Entrances.size()) - 1);
    const TimePoint Now = now();
    std::uint32_t Entrance = AnyEntrance(m_Random);
    for (std::size_t Try = 0; Try < m_BackOffUntil.size(); ++Try) {
      if (m_BackOffUntil[Entrance] <= Now)
        break;
      Entrance = AnyEntrance(m_Random);
    }
    return Entrance;
  }

  std::string hintKey(const RequestRecord &Record) const {
    return m_Plan.m_Streams[Record.m_Stream].m_Service + "/" + Record.m_Key;
  }

  void collectFinished() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      const CURLcode Result = Message->data.result;
      const auto Found = m_OpenCalls.find(Message->easy_handle);
      std::unique_ptr<Call> Finished = std::move(Found->second);
      m_OpenCalls.erase(Found);
      curl_multi_remove_handle(m_Multi, Finished->handle());
      complete(*Finished, Result);
      m_IdleCalls.push_back(std::move(Finished));
    }
  }

  void complete(Call &Finished, CURLcode Result) {
    RequestRecord &Record = Finished.record();
    Record.m_Attempts.push_back(Finished.finish(Result, m_Plan.m_Direct));
    const Attempt &LastAttempt = Record.m_Attempts.back();
    updateHints(Record, LastAttempt, Finished.ownerHint());
    if (LastAttempt.m_Answer == Answer::Done) {
      ++m_Done;
      return;
    }
    if (!scheduleRetry(Record, Finished.retryAfter()))
      ++m_Failed;
  }

  void updateHints(const RequestRecord &Record, const Attempt &LastAttempt,
                   const std::string &OwnerHint) {
    if (LastAttempt.m_Answer == Answer::NoConnection ||
        LastAttempt.m_Answer == Answer::Broken)
      m_BackOffUntil[LastAttempt.m_Entrance] =
          LastAttempt.m_End + EntranceBackOff;
    if (Record.m_Key.empty())
      return;
    if (LastAttempt.m_Answer != Answer::Done)
      m_OwnerHints.erase(hintKey(Record));
    const auto Owner = std::ranges::find(m_Plan.m_Entrances, OwnerHint);
    if (Owner != m_Plan.m_Entrances.end())
      m_OwnerHints[hintKey(Record)] =
          static_cast<std::uint32_t>(Owner - m_Plan.m_Entrances.begin());
  }

  bool scheduleRetry(RequestRecord &Record, Duration RetryAfter) {
    const TimePoint RetryAt = now() + std::max(RetryAfter, MinRetryDelay);
    if (Record.m_Attempts.size() >= m_Plan.m_MaxAttempts ||
        RetryAt > Record.m_Intended + m_Plan.m_GiveUpAfter ||
        exceedsUnknownRetries(Record))
      return false;
    m_Retries.emplace(RetryAt, &Record);
    return true;
  }

  bool exceedsUnknownRetries(const RequestRecord &Record) const {
    if (m_Plan.m_Streams[Record.m_Stream].m_Idempotent)
      return false;
    const auto Unknown = std::ranges::count(Record.m_Attempts, Answer::Unknown,
                                            &Attempt::m_Answer);
    return Unknown > m_Plan.m_UnknownRetries;
  }

  void waitForActivity() {
    Duration Remaining = std::chrono::milliseconds(20);
    const TimePoint Now = now();
    if (!m_Stopping) {
      const std::lock_guard Lock(m_Mutex);
      if (const auto Next = m_Arrivals->nextTime())
        Remaining = std::min(Remaining, *Next - Now);
    }
    if (!m_Retries.empty())
      Remaining = std::min(Remaining, m_Retries.begin()->first - Now);
    if (Remaining <= Duration::zero())
      return;
    const auto Milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(Remaining)
            .count();
    if (Milliseconds == 0 && m_Plan.m_BusyWait)
      return;
    curl_multi_poll(m_Multi, nullptr, 0,
                    std::max(static_cast<int>(Milliseconds), 1), nullptr);
  }

  LoadPlan m_Plan;
  std::mt19937_64 m_Random;
  /// Guards m_Arrivals.
  std::mutex m_Mutex;
  std::optional<Arrivals> m_Arrivals;
  /// A deque, because calls and retries hold pointers to its elements.
  std::deque<RequestRecord> m_Records;
  /// By the time at which to send.
  std::multimap<TimePoint, RequestRecord *> m_Retries;
  /// Index of the owner's entrance, by service and key.
  std::unordered_map<std::string, std::uint32_t> m_OwnerHints;
  /// By entrance.
  std::vector<TimePoint> m_BackOffUntil;
  CURLM *m_Multi;
  std::unordered_map<CURL *, std::unique_ptr<Call>> m_OpenCalls;
  std::vector<std::unique_ptr<Call>> m_IdleCalls;
  std::atomic<std::uint64_t> m_Sent = 0;
  std::atomic<std::uint64_t> m_Done = 0;
  std::atomic<std::uint64_t> m_Failed = 0;
  std::atomic<bool> m_Stopping = false;
  std::thread m_Thread;
};

LoadGenerator::LoadGenerator(LoadPlan Plan)
    : m_Impl(std::make_unique<Impl>(std::move(Plan))) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start() { m_Impl->start(); }

std::vector<RequestRecord> LoadGenerator::finish() { return m_Impl->finish(); }

void LoadGenerator::setRate(std::size_t Stream, double Rate) {
  m_Impl->setRate(Stream, Rate);
}

void LoadGenerator::renameKeys(std::size_t Stream) {
  m_Impl->renameKeys(Stream);
}

LoadTotals LoadGenerator::totals() const { return m_Impl->totals(); }

} // namespace balsamwheel::bench
