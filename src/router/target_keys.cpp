// Sends the grants and releases that the ledger decides on.
#include "target_keys.h"

#include <algorithm>

namespace balsamwheel {

namespace {

/// Of an answer to a grant or release, whose result is in its head.
constexpr std::size_t MaxAnswerBodyBytes = 65536;

HttpClientOptions clientOptions(const TargetKeysOptions &Options) {
  HttpClientOptions Result;
  Result.m_Limits.m_MaxBodyBytes = MaxAnswerBodyBytes;
  Result.m_MaxConnections = Options.m_Holds.m_MaxCalls;
  Result.m_TcpUserTimeout = Options.m_TcpUserTimeout;
  Result.m_ConnectTimeout = Options.m_Holds.m_GrantTimeout;
  // Longer than the interval between two renewals.
  Result.m_IdleTimeout = 2 * Options.m_Holds.m_RenewInterval;
  return Result;
}

const char *toString(HoldCallOutcome Outcome) {
  switch (Outcome) {
  case HoldCallOutcome::Applied:
    return "applied";
  case HoldCallOutcome::FenceTooLow:
    return "fence_too_low";
  case HoldCallOutcome::NotSent:
    return "not_sent";
  case HoldCallOutcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

TargetKeys::TargetKeys(EventLoop &Loop, EventLog &Log,
                       const ExchangeFormat &Format, const Endpoint &Target,
                       KeyOwner Self, TargetKeysOptions Options,
                       TimePoint EarlierGrantsEnd,
                       TargetKeysCallbacks Callbacks)
    : m_Loop(Loop), m_Log(Log), m_Format(Format), m_Self(std::move(Self)),
      m_Options(Options), m_Callbacks(std::move(Callbacks)),
      m_Ledger(HoldLedger(Options.m_Holds.m_Holds, m_Self)),
      m_EarlierGrantsEnd(EarlierGrantsEnd), m_Address(Target), m_Presence(Loop),
      m_Grants(Loop, Target, clientOptions(Options)),
      m_Releases(Loop, Target, clientOptions(Options)) {
  m_Presence.setTcpUserTimeout(Options.m_TcpUserTimeout);
  m_Presence.setEvents(
      {.m_OnOpen = [this] { update(); },
       .m_OnEnd =
           [this](StreamEndReason) {
             m_Log.write(LogClass::StateChange,
                         LogLine("target_connection_ended")
                             .add("target", m_Self.m_Target.m_Id.value()));
             // Grants that have begun wait for a connection,
             // which the next incarnation could accept.
             m_Grants.reset();
           }});
}

TargetKeys::~TargetKeys() { m_Loop.cancel(m_Timer); }

void TargetKeys::setMode(GrantMode Mode) {
  const bool ByCalls = std::holds_alternative<CallHoldLedger>(m_Ledger);
  if (ByCalls == (Mode == GrantMode::Call))
    return;
  m_EarlierGrantsEnd = std::max(m_EarlierGrantsEnd, heldUntil());
  m_Log.write(
      LogClass::StateChange,
      LogLine("grant_mode")
          .add("target", m_Self.m_Target.m_Id.value())
          .add("mode", ByCalls ? "heartbeat" : "call")
          .add("earlier_grants_left",
               std::max(m_EarlierGrantsEnd - m_Loop.now(), Duration::zero())));
  if (ByCalls) {
    m_Grants.reset();
    m_Releases.reset();
    m_Presence.close();
    m_Loop.cancel(m_Timer);
    m_Ledger.emplace<HoldLedger>(m_Options.m_Holds.m_Holds, m_Self);
    return;
  }
  m_Ledger.emplace<CallHoldLedger>(m_Options.m_Holds, m_Self,
                                   m_EarlierGrantsEnd);
  watchPresence();
  tick();
}

void TargetKeys::watchPresence() {
  if (!m_Presence.isOpen() && !m_Presence.isConnecting())
    m_Presence.connect(m_Address);
}

void TargetKeys::tick() {
  m_Timer = m_Loop.after(m_Options.m_CheckInterval, [this] { tick(); });
  update();
}

void TargetKeys::report(const HoldReport &Report) {
  if (HoldLedger *Ledger = std::get_if<HoldLedger>(&m_Ledger))
    Ledger->report(Report);
  else
    watchPresence();
}

std::optional<std::vector<GrantSpan>> TargetKeys::grants(const KeyMap &Map,
                                                         TimePoint Arrived) {
  HoldLedger *Ledger = std::get_if<HoldLedger>(&m_Ledger);
  return Ledger ? std::optional(Ledger->grant(Map, Arrived)) : std::nullopt;
}

void TargetKeys::update() {
  CallHoldLedger *Ledger = std::get_if<CallHoldLedger>(&m_Ledger);
  const KeyMap *Map = m_Callbacks.m_Map();
  if (!Ledger || !Map)
    return;
  while (true) {
    const TimePoint Now = m_Loop.refreshNow();
    const bool MayGrant = m_Presence.isOpen() && m_Callbacks.m_MayGrant(Now);
    const auto Started = Ledger->nextCall(*Map, MayGrant, Now);
    if (!Started)
      return;
    send(*Started);
  }
}

void TargetKeys::send(const CallHoldLedger::StartedCall &Started) {
  const bool Grant = Started.m_Call.m_Kind == HoldCallKind::Grant;
  HttpClient &Client = Grant ? m_Grants : m_Releases;
  HttpCall Call{.m_Request = m_Format.holdRequest(
                    Started.m_Call, m_Options.m_Holds.m_Holds.m_Hold),
                .m_Timeout = Grant ? m_Options.m_Holds.m_GrantTimeout
                                   : m_Options.m_ReleaseTimeout,
                .m_IdHeader = m_Format.idHeader(),
                .m_Id = "hold-" + std::to_string(Started.m_Id.value()),
                .m_IdOptional = true};
  Call.m_Request.m_Headers.set(Call.m_IdHeader, Call.m_Id);
  Client.call(std::move(Call), [this, Started](const HttpCallResult &Result) {
    callEnded(Started, Result);
  });
}

void TargetKeys::callEnded(const CallHoldLedger::StartedCall &Started,
                           const HttpCallResult &Result) {
  CallHoldLedger *Ledger = std::get_if<CallHoldLedger>(&m_Ledger);
  if (!Ledger) // The grant mode has changed.
    return;
  HoldCallAnswer Answer;
  if (Result.m_CallOutcome == HttpCallOutcome::Answered)
    Answer = m_Format.holdAnswer(Started.m_Call.m_Kind, Result.m_Answer);
  else if (Result.m_CallOutcome == HttpCallOutcome::NotSent)
    Answer.m_Outcome = HoldCallOutcome::NotSent;
  const GrantSpan &Span = Started.m_Call.m_Span;
  const bool Grant = Started.m_Call.m_Kind == HoldCallKind::Grant;
  if (!Grant || Answer.m_Outcome != HoldCallOutcome::Applied ||
      !holds(Span.m_First))
    m_Log.write(
        LogClass::StateChange,
        LogLine(Grant ? "grant_call" : "release_call")
            .add("target", m_Self.m_Target.m_Id.value())
            .add("first", std::int64_t{Span.m_First})
            .add("last", std::int64_t{Span.m_Last})
            .add("fence", static_cast<std::int64_t>(Span.m_Fence.value()))
            .add("outcome", toString(Answer.m_Outcome))
            .add("status", std::int64_t{Result.m_Answer.m_Status})
            .add("error", Result.m_Error)
            .add("token", Answer.m_HandoverToken.value()));
  Ledger->callEnded(Started.m_Id, Answer.m_Outcome, Answer.m_HandoverToken,
                    m_Loop.refreshNow());
  // A release may have become due while the grant was in progress.
  update();
  if (Grant && Answer.m_Outcome == HoldCallOutcome::Applied)
    m_Callbacks.m_OnGranted();
  else if (Answer.m_Outcome == HoldCallOutcome::Applied ||
           Answer.m_Outcome == HoldCallOutcome::FenceTooLow)
    m_Callbacks.m_OnReleased();
}

void TargetKeys::refuted(KeyIndex Key) {
  if (CallHoldLedger *Ledger = std::get_if<CallHoldLedger>(&m_Ledger))
    Ledger->refuted(Key, m_Loop.now());
}

bool TargetKeys::holds(KeyIndex Key) const {
  return std::visit(
      [&](const auto &Ledger) { return Ledger.holds(Key, m_Loop.now()); },
      m_Ledger);
}

std::vector<HeldSpan> TargetKeys::held() const {
  return std::visit(
      [&](const auto &Ledger) { return Ledger.held(m_Loop.now()); }, m_Ledger);
}

TimePoint TargetKeys::heldUntil() const {
  return std::max(
      m_EarlierGrantsEnd,
      std::visit([](const auto &Ledger) { return Ledger.heldUntil(); },
                 m_Ledger));
}

std::vector<ReleasedSpan>
TargetKeys::completedReleases(const KeyMap &Map) const {
  if (const CallHoldLedger *Ledger = std::get_if<CallHoldLedger>(&m_Ledger))
    return Ledger->completedReleases(Map, m_Loop.now());
  return std::get<HoldLedger>(m_Ledger).completedReleases(Map);
}

std::vector<HeldSpan> TargetKeys::refusedGrants() const {
  const CallHoldLedger *Ledger = std::get_if<CallHoldLedger>(&m_Ledger);
  return Ledger ? Ledger->refusedGrants() : std::vector<HeldSpan>();
}

} // namespace balsamwheel
