// What became of requests that may run only once: their admission, questions
// about them, and how later attempts are cleared.
#include "balsamwheel/detail/node/executor.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

bool didNotRun(Outcome Value) {
  return Value == Outcome::NotRun || Value == Outcome::Wait;
}

} // namespace

bool Executor::admitId(Job &Value, std::uint64_t Query, TimePoint Now) {
  if (!enforced<Rule::AtMostOnceRecord>())
    return true;
  const RequestMeta &Meta = Value.m_Meta;
  const Ballot Asked{.m_Attempt = Meta.m_Attempt, .m_Query = Query};
  OutcomeRecord *Known = recordOf(Meta);
  if (Known == nullptr) {
    if (Meta.m_Attempt > 1 || Query != 0) {
      reply(Value.m_From, Value.m_Stream,
            {Outcome::Unknown, Reason::MemoryLost}, {}, Meta);
      return false;
    }
    OutcomeRecord &Record = m_Outcomes.insert(Meta.m_Service, Meta.m_Id, Now);
    Record.m_Ballot = Asked;
    Record.m_Epoch = Value.m_Expected;
    return true;
  }
  switch (Known->m_State) {
  case RecordState::Pending:
  case RecordState::Running:
    Known->m_Waiters.push_back({.m_From = Value.m_From,
                                .m_Stream = Value.m_Stream,
                                .m_Query = false,
                                .m_Asked = {}});
    return false;
  case RecordState::Done:
  case RecordState::Unknown:
    replyRecord(*Known, Value.m_From, Value.m_Stream, Meta);
    return false;
  case RecordState::Cleared:
    break;
  }
  if (!admitCleared(*Known, Value, Asked))
    return false;
  Known->m_State = RecordState::Pending;
  return true;
}

bool Executor::admitCleared(const OutcomeRecord &Record, const Job &Value,
                            const Ballot &Asked) {
  if (Asked < Record.m_Ballot) {
    // A later attempt superseded this one before it ran.
    reply(Value.m_From, Value.m_Stream, {Outcome::NotRun, Reason::Cancelled},
          {}, Value.m_Meta);
    return false;
  }
  if (Asked != Record.m_Ballot) {
    reply(Value.m_From, Value.m_Stream, {Outcome::Unknown, Reason::MemoryLost},
          {}, Value.m_Meta);
    return false;
  }
  if (Value.m_Expected != Record.m_Epoch) {
    reply(Value.m_From, Value.m_Stream, {Outcome::NotRun, Reason::NotOwner}, {},
          Value.m_Meta);
    return false;
  }
  return true;
}

void Executor::onQuery(const OutcomeQuery &Query, const PeerAddress &From,
                       TimePoint Now) {
  if (!m_Context.isSelf(From))
    m_Context.send(From, ForwardReceipt{.m_Stream = Query.m_Stream});
  if (!m_Context.isOwnSession(Query.m_To)) {
    reply(From, Query.m_Stream, {Outcome::Unknown, Reason::PeerLost}, {},
          Query.m_Meta);
    return;
  }
  if (Query.m_Forward != 0)
    answerFate(Query, From, Now);
  else
    clearRetry(Query, From, Now);
}

void Executor::answerFate(const OutcomeQuery &Query, const PeerAddress &From,
                          TimePoint Now) {
  const bool Unseen = m_Replays.accept(Query.m_Forward);
  OutcomeRecord *Known = recordOf(Query.m_Meta);
  if (Known != nullptr && Known->m_State != RecordState::Cleared) {
    replyRecord(*Known, From, Query.m_Stream, Query.m_Meta);
    return;
  }
  const bool Forgotten = m_Outcomes.forgottenUpTo() > Now - m_OutcomeMemory;
  if (!Unseen && Forgotten)
    reply(From, Query.m_Stream, {Outcome::Unknown, Reason::MemoryLost}, {},
          Query.m_Meta);
  else
    reply(From, Query.m_Stream, {Outcome::NotRun, Reason::PeerLost}, {},
          Query.m_Meta);
}

void Executor::clearRetry(const OutcomeQuery &Query, const PeerAddress &From,
                          TimePoint Now) {
  const RequestMeta &Meta = Query.m_Meta;
  const Ballot Asked{.m_Attempt = Meta.m_Attempt, .m_Query = Query.m_Stream};
  OutcomeRecord *Known = recordOf(Meta);
  if (Known != nullptr && Known->m_State != RecordState::Cleared) {
    if (Known->m_State == RecordState::Pending ||
        Known->m_State == RecordState::Running)
      Known->m_Waiters.push_back({.m_From = From,
                                  .m_Stream = Query.m_Stream,
                                  .m_Query = true,
                                  .m_Asked = Query});
    else
      replyRecord(*Known, From, Query.m_Stream, Meta);
    return;
  }
  if (Known != nullptr && Asked < Known->m_Ballot) {
    reply(From, Query.m_Stream, {Outcome::Unknown, Reason::Cancelled}, {},
          Meta);
    return;
  }
  Job Probe;
  Probe.m_Meta = Meta;
  Probe.m_Key = hashKey(Meta.m_Key);
  Probe.m_Shard = shardFor(Meta);
  const Permit Current = permitFor(Probe, Now);
  if (Known == nullptr)
    Known = &m_Outcomes.insert(Meta.m_Service, Meta.m_Id, Now);
  if (Known->m_Asked != 0 && Known->m_Asked != Query.m_Asked)
    Known->m_AskedDiffer = true;
  Known->m_Asked = Query.m_Asked;
  Known->m_State = RecordState::Cleared;
  Known->m_Ballot = Asked;
  Known->m_Epoch = Current.m_Granted ? Current.m_Epoch : Epoch();
  m_Outcomes.settled(Meta.m_Service, Meta.m_Id, Now);

  ForwardReply Reply;
  Reply.m_Stream = Query.m_Stream;
  Reply.m_Outcome = Outcome::NotRun;
  Reply.m_Reason = Current.m_Granted ? Reason::None : Current.m_Reason;
  Reply.m_RetryAfter = Current.m_RetryAfter;
  Reply.m_MemoryAge = Known->m_AskedDiffer ? Duration(0) : memoryAge(Meta, Now);
  if (Probe.m_Shard)
    Reply.m_Former = m_Context.coordinator().formerOwner(*Probe.m_Shard);
  sendReply(From, std::move(Reply), Meta);
}

void Executor::replyRecord(const OutcomeRecord &Record, const PeerAddress &To,
                           std::uint64_t Stream, const RequestMeta &Meta) {
  switch (Record.m_State) {
  case RecordState::Pending:
  case RecordState::Running:
    recordOf(Meta)->m_Waiters.push_back(
        {.m_From = To, .m_Stream = Stream, .m_Query = false, .m_Asked = {}});
    return;
  case RecordState::Done:
    if (Record.m_HasAnswer)
      reply(To, Stream, {Outcome::Done, Reason::None}, Record.m_Http, Meta);
    else
      reply(To, Stream, {Outcome::Unknown, Reason::AlreadyRan}, {}, Meta);
    return;
  case RecordState::Unknown:
  case RecordState::Cleared:
    reply(To, Stream, {Outcome::Unknown, Record.m_Reason}, {}, Meta);
    return;
  }
}

Duration Executor::memoryAge(const RequestMeta &Meta, TimePoint Now) const {
  TimePoint Since = m_Outcomes.forgottenUpTo();
  if (const std::optional<ShardRef> Shard = shardFor(Meta)) {
    // A former owner may have lost the shard in between, so only the memory of
    // the present assignment counts.
    const std::optional<TimePoint> Owned =
        m_Context.coordinator().activeSince(*Shard);
    if (!Owned)
      return Duration(0);
    Since = std::max(Since, *Owned);
  }
  if (Since == TimePoint::min())
    return UnlimitedMemory;
  return Now - Since;
}

OutcomeRecord *Executor::recordOf(const RequestMeta &Meta) {
  return m_Outcomes.find(Meta.m_Service, Meta.m_Id);
}

void Executor::settleRecord(const Job &Value, const Verdict &Result,
                            const HttpAnswer &Http, TimePoint Now) {
  const RequestMeta &Meta = Value.m_Meta;
  OutcomeRecord *Record = recordOf(Meta);
  if (Record == nullptr)
    return;
  const std::vector<OutcomeWaiter> Waiters = std::move(Record->m_Waiters);
  Record->m_Waiters.clear();
  if (Result.m_Outcome == Outcome::Done) {
    Record->m_State = RecordState::Done;
    Record->m_HasAnswer = Http.m_BodyStream == 0 && !Value.m_Answering;
    if (Record->m_HasAnswer)
      Record->m_Http = Http;
  } else if (!didNotRun(Result.m_Outcome)) {
    Record->m_State = RecordState::Unknown;
    Record->m_Reason = Result.m_Reason;
  } else {
    Record->m_State = RecordState::Cleared;
  }
  if (Record->m_State == RecordState::Cleared && Record->m_Ballot == Ballot())
    m_Outcomes.erase(Meta.m_Service, Meta.m_Id);
  else
    m_Outcomes.settled(Meta.m_Service, Meta.m_Id, Now);

  for (const OutcomeWaiter &Waiter : Waiters) {
    if (Waiter.m_Query && didNotRun(Result.m_Outcome))
      clearRetry(Waiter.m_Asked, Waiter.m_From, Now);
    else if (const OutcomeRecord *Current = recordOf(Meta);
             Current != nullptr && Current->m_State != RecordState::Cleared)
      replyRecord(*Current, Waiter.m_From, Waiter.m_Stream, Meta);
    else
      reply(Waiter.m_From, Waiter.m_Stream, Result, {}, Meta);
  }
}

} // namespace balsamwheel
