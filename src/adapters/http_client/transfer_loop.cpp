// Runs libcurl's multi interface on one thread.
#include "adapters/http_client/transfer_loop.h"

#include "adapters/http_client/exchange.h"
#include "runtime/boot_clock.h"
#include "runtime/mailbox.h"

#include <curl/curl.h>
#include <pthread.h>

#include <atomic>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace balsamwheel::http_client {

namespace {

/// Longest wait for an event in milliseconds; libcurl's timers end it earlier.
constexpr int MaxSleepMs = 1000;

struct CurlWaker {
  CURLM *m_Multi;
  void wake() { curl_multi_wakeup(m_Multi); }
};

struct CancelTransfer {
  TransferId m_Id;
};

struct ResumeTransfer {
  Exchange *m_Exchange = nullptr;
};

struct SetMaxConnections {
  long m_Connections = 0;
};

using Command =
    std::variant<std::monostate, Transfer, CancelTransfer, SetMaxConnections>;

} // namespace

class TransferLoop::Impl {
public:
  explicit Impl(TransferLoopOptions Options)
      : m_Options(std::move(Options)), m_Multi(curl_multi_init()),
        m_Waker{m_Multi}, m_Commands(m_Options.m_QueueSize, m_Waker),
        m_Resumes(ResumeQueueSize, m_Waker) {
    applyMaxConnections(m_Options.m_MaxConnections);
    m_Thread = std::thread([this] { run(); });
    pthread_setname_np(m_Thread.native_handle(),
                       m_Options.m_Name.substr(0, 15).c_str());
  }

  ~Impl() {
    stop();
    m_Idle.clear();
    curl_multi_cleanup(m_Multi);
  }

  bool post(Command Value) { return m_Commands.tryPush(Value); }

  void postOrWait(Command Value) { m_Commands.push(std::move(Value)); }

  void stop() {
    m_Stop = true;
    curl_multi_wakeup(m_Multi);
    if (m_Thread.joinable())
      m_Thread.join();
  }

  bool submit(Transfer &Outgoing) {
    Command Value(std::move(Outgoing));
    if (!m_Stop && m_Commands.tryPush(Value))
      return true;
    Outgoing = std::move(std::get<Transfer>(Value));
    return false;
  }

private:
  static constexpr std::size_t ResumeQueueSize = 4096;

  void run() {
    while (!m_Stop) {
      processCommands();
      int Running = 0;
      curl_multi_perform(m_Multi, &Running);
      finishCompleted();
      // The callback of a finished transfer may have submitted the next one.
      if (!m_Commands.prepareToSleep())
        continue;
      if (m_Resumes.prepareToSleep())
        curl_multi_poll(m_Multi, nullptr, 0, MaxSleepMs, nullptr);
      m_Commands.finishSleep();
      m_Resumes.finishSleep();
    }
    abortAll();
  }

  void processCommands() {
    Command Value;
    while (m_Commands.tryPop(Value))
      std::visit([this](auto &Item) { execute(Item); }, Value);
    ResumeTransfer Paused;
    while (m_Resumes.tryPop(Paused))
      if (m_Running.contains(Paused.m_Exchange))
        Paused.m_Exchange->resume();
  }

  void execute(std::monostate) {}

  void execute(Transfer &Outgoing) {
    const TimePoint Now = runtime::bootNow();
    if (Now >= Outgoing.m_Deadline) {
      if (Outgoing.m_OnEnd)
        Outgoing.m_OnEnd({});
      return;
    }
    std::unique_ptr<Exchange> Owned = acquireExchange();
    Owned->begin(std::move(Outgoing), m_Options.m_MaxIdle.count(), Now);
    if (Owned->id() != TransferId())
      m_ById[Owned->id()] = Owned.get();
    curl_multi_add_handle(m_Multi, Owned->handle());
    Exchange *Key = Owned.get();
    m_Running.emplace(Key, std::move(Owned));
  }

  void execute(const CancelTransfer &Item) {
    const auto Found = m_ById.find(Item.m_Id);
    if (Found == m_ById.end())
      return;
    Found->second->markCancelled();
    finish(*Found->second, CURLE_ABORTED_BY_CALLBACK);
  }

  void execute(const SetMaxConnections &Item) {
    applyMaxConnections(Item.m_Connections);
  }

  void applyMaxConnections(long Connections) {
    curl_multi_setopt(m_Multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, Connections);
    curl_multi_setopt(m_Multi, CURLMOPT_MAXCONNECTS, Connections);
  }

  std::unique_ptr<Exchange> acquireExchange() {
    if (m_Idle.empty())
      return std::make_unique<Exchange>([this](Exchange &Paused) {
        m_Resumes.push(ResumeTransfer{&Paused});
      });
    std::unique_ptr<Exchange> Result = std::move(m_Idle.back());
    m_Idle.pop_back();
    return Result;
  }

  void finishCompleted() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      char *Owner = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Owner);
      const CURLcode Code = Message->data.result;
      finish(*reinterpret_cast<Exchange *>(Owner), Code);
    }
  }

  void finish(Exchange &Ended, CURLcode Code) {
    const auto Found = m_Running.find(&Ended);
    if (Found == m_Running.end())
      return;
    std::unique_ptr<Exchange> Owned = std::move(Found->second);
    m_Running.erase(Found);
    m_ById.erase(Owned->id());
    curl_multi_remove_handle(m_Multi, Owned->handle());
    Owned->end(Code, runtime::bootNow());
    m_Idle.push_back(std::move(Owned));
  }

  void abortAll() {
    while (!m_Running.empty())
      finish(*m_Running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    Command Value;
    while (m_Commands.tryPop(Value))
      if (auto *Outgoing = std::get_if<Transfer>(&Value);
          Outgoing && Outgoing->m_OnEnd)
        Outgoing->m_OnEnd({});
  }

  const TransferLoopOptions m_Options;
  CURLM *m_Multi;
  CurlWaker m_Waker;
  runtime::Mailbox<Command, CurlWaker> m_Commands;
  /// Separate from the commands, because callbacks of pipes also post to it
  /// from this thread, which must not wait for space in the command queue.
  runtime::Mailbox<ResumeTransfer, CurlWaker> m_Resumes;
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
  // The members below are accessed only by the thread.
  std::unordered_map<Exchange *, std::unique_ptr<Exchange>> m_Running;
  std::unordered_map<TransferId, Exchange *> m_ById;
  std::vector<std::unique_ptr<Exchange>> m_Idle;
};

TransferLoop::TransferLoop(TransferLoopOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

TransferLoop::~TransferLoop() = default;

void TransferLoop::submit(Transfer Outgoing) {
  if (m_Impl->submit(Outgoing))
    return;
  if (Outgoing.m_OnEnd)
    Outgoing.m_OnEnd({});
}

void TransferLoop::cancel(TransferId Id) {
  m_Impl->postOrWait(CancelTransfer{Id});
}

void TransferLoop::setMaxConnections(long Connections) {
  m_Impl->postOrWait(SetMaxConnections{Connections});
}

void TransferLoop::stop() { m_Impl->stop(); }

} // namespace balsamwheel::http_client
