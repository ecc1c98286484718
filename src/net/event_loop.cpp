// Event loop on ACE's epoll reactor. The timers are implemented here because
// ACE's timer queue uses the wall clock.
#include "event_loop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Log_Msg.h>
#include <ace/Reactor.h>

#include <algorithm>
#include <ctime>

namespace balsamwheel {

TimePoint bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

EventLoop::EventLoop(EventLoopOptions Options)
    : m_Options(Options),
      m_Reactor(std::make_unique<ACE_Reactor>(
          new ACE_Dev_Poll_Reactor(Options.m_MaxHandles), true)),
      m_Now(bootNow()) {
  // Turns off ACE's log: the reactor logs an error whenever a signal interrupts
  // its wait.
  ACE_LOG_MSG->priority_mask(0, ACE_Log_Msg::PROCESS);
}

EventLoop::~EventLoop() {
  m_Timers.clear();
  runPosted();
}

EventLoop::TimerId EventLoop::after(Duration Delay, Task Work) {
  const TimerId Id(++m_LastTimer);
  const TimePoint Due = m_Now + Delay;
  m_Timers.emplace(Due, std::pair(Id, std::move(Work)));
  m_Due.emplace(Id, Due);
  return Id;
}

void EventLoop::cancel(TimerId Timer) {
  auto DueTime = m_Due.find(Timer);
  if (DueTime == m_Due.end())
    return;
  auto [First, Last] = m_Timers.equal_range(DueTime->second);
  auto Found = std::find_if(First, Last, [&](const auto &Candidate) {
    return Candidate.second.first == Timer;
  });
  if (Found != Last)
    m_Timers.erase(Found);
  m_Due.erase(DueTime);
}

Duration EventLoop::untilNextTimer() const {
  if (m_Timers.empty())
    return m_Options.m_MaxSleep;
  return std::clamp(m_Timers.begin()->first - bootNow(), Duration::zero(),
                    m_Options.m_MaxSleep);
}

void EventLoop::runPosted() {
  while (!m_Posted.empty()) {
    std::vector<Task> Batch;
    Batch.swap(m_Posted);
    for (Task &Work : Batch)
      Work();
  }
}

void EventLoop::runTimers() {
  while (!m_Timers.empty() && m_Timers.begin()->first <= m_Now) {
    auto Entry = m_Timers.extract(m_Timers.begin());
    m_Due.erase(Entry.mapped().first);
    Entry.mapped().second();
    runPosted();
  }
}

void EventLoop::run(const Task &AfterWakeUp) {
  m_Reactor->owner(ACE_OS::thr_self());
  m_Stopped = false;
  while (!m_Stopped) {
    const Duration Timeout = untilNextTimer();
    ACE_Time_Value Wait(0);
    Wait.set(static_cast<time_t>(Timeout.count() / 1000000),
             static_cast<suseconds_t>(Timeout.count() % 1000000));
    m_Reactor->handle_events(&Wait);
    refreshNow();
    runPosted();
    runTimers();
    AfterWakeUp();
  }
}

} // namespace balsamwheel
