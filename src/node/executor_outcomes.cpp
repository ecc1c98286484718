// Implements the records of requests that may run only once: their admission,
// outcome queries, and the clearing of later attempts.
#include "balsamwheel/detail/node/executor.h"

#include "balsamwheel/detail/core/safety_rules.h"

#include <algorithm>
#include <utility>

namespace balsamwheel {

namespace {

bool didNotRun(Outcome Result) {
  return Result == Outcome::NotRun || Result == Outcome::Wait;
}

} // namespace

bool Executor::admitRequestId(Job &CurrentJob, std::uint64_t Query,
                              TimePoint Now) {
  if (!enforced<Rule::AtMostOnceRecord>())
    return true;
  const RequestMeta &Meta = CurrentJob.m_Meta;
  const AttemptRank Rank{.m_Attempt = Meta.m_Attempt, .m_ClearingQuery = Query};
  OutcomeRecord *Record = findRecord(Meta);
  if (Record == nullptr) {
    if (Meta.m_Attempt > 1 || Query != 0) {
      reply(CurrentJob.m_From, CurrentJob.m_Stream,
            {Outcome::Unknown, Reason::MemoryLost}, {}, Meta);
      return false;
    }
    OutcomeRecord &Inserted = m_Outcomes.insert(Meta.m_Service, Meta.m_Id, Now);
    Inserted.m_Rank = Rank;
    Inserted.m_Epoch = CurrentJob.m_ExpectedEpoch;
    return true;
  }
  switch (Record->m_State) {
  case RecordState::Pending:
  case RecordState::Running:
    Record->m_Waiters.push_back({.m_From = CurrentJob.m_From,
                                 .m_Stream = CurrentJob.m_Stream,
                                 .m_IsQuery = false,
                                 .m_Message = {}});
    return false;
  case RecordState::Done:
  case RecordState::Unknown:
    replyRecord(*Record, CurrentJob.m_From, CurrentJob.m_Stream, Meta);
    return false;
  case RecordState::Cleared:
    break;
  }
  if (!admitClearedAttempt(*Record, CurrentJob, Rank))
    return false;
  Record->m_State = RecordState::Pending;
  return true;
}

bool Executor::admitClearedAttempt(const OutcomeRecord &Record,
                                   const Job &CurrentJob,
                                   const AttemptRank &Rank) {
  if (Rank < Record.m_Rank) {
    // A later attempt superseded this one before this one ran.
    reply(CurrentJob.m_From, CurrentJob.m_Stream,
          {Outcome::NotRun, Reason::Cancelled}, {}, CurrentJob.m_Meta);
    return false;
  }
  if (Rank != Record.m_Rank) {
    reply(CurrentJob.m_From, CurrentJob.m_Stream,
          {Outcome::Unknown, Reason::MemoryLost}, {}, CurrentJob.m_Meta);
    return false;
  }
  if (CurrentJob.m_ExpectedEpoch != Record.m_Epoch) {
    reply(CurrentJob.m_From, CurrentJob.m_Stream,
          {Outcome::NotRun, Reason::NotOwner}, {}, CurrentJob.m_Meta);
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
  if (Query.m_ForwardStream != 0)
    answerForwardQuery(Query, From, Now);
  else
    clearRetry(Query, From, Now);
}

void Executor::answerForwardQuery(const OutcomeQuery &Query,
                                  const PeerAddress &From, TimePoint Now) {
  const bool IsNew = m_ReplayWindow.accept(Query.m_ForwardStream);
  OutcomeRecord *Record = findRecord(Query.m_Meta);
  if (Record != nullptr && Record->m_State != RecordState::Cleared) {
    replyRecord(*Record, From, Query.m_Stream, Query.m_Meta);
    return;
  }
  const bool MemoryIncomplete =
      m_Outcomes.evictedUpTo() > Now - m_OutcomeMemory;
  if (!IsNew && MemoryIncomplete)
    reply(From, Query.m_Stream, {Outcome::Unknown, Reason::MemoryLost}, {},
          Query.m_Meta);
  else
    reply(From, Query.m_Stream, {Outcome::NotRun, Reason::PeerLost}, {},
          Query.m_Meta);
}

void Executor::clearRetry(const OutcomeQuery &Query, const PeerAddress &From,
                          TimePoint Now) {
  const RequestMeta &Meta = Query.m_Meta;
  const AttemptRank Rank{.m_Attempt = Meta.m_Attempt,
                         .m_ClearingQuery = Query.m_Stream};
  OutcomeRecord *Record = findRecord(Meta);
  if (Record != nullptr && Record->m_State != RecordState::Cleared) {
    if (Record->m_State == RecordState::Pending ||
        Record->m_State == RecordState::Running)
      Record->m_Waiters.push_back({.m_From = From,
                                   .m_Stream = Query.m_Stream,
                                   .m_IsQuery = true,
                                   .m_Message = Query});
    else
      replyRecord(*Record, From, Query.m_Stream, Meta);
    return;
  }
  if (Record != nullptr && Rank < Record->m_Rank) {
    reply(From, Query.m_Stream, {Outcome::Unknown, Reason::Cancelled}, {},
          Meta);
    return;
  }
  Job Candidate;
  Candidate.m_Meta = Meta;
  Candidate.m_Key = hashKey(Meta.m_Key);
  Candidate.m_Shard = shardFor(Meta);
  const Permit Current = permitFor(Candidate, Now);
  if (Record == nullptr)
    Record = &m_Outcomes.insert(Meta.m_Service, Meta.m_Id, Now);
  if (Record->m_AskedSessionsDigest != 0 &&
      Record->m_AskedSessionsDigest != Query.m_AskedSessionsDigest)
    Record->m_AskedSetsDiffer = true;
  Record->m_AskedSessionsDigest = Query.m_AskedSessionsDigest;
  Record->m_State = RecordState::Cleared;
  Record->m_Rank = Rank;
  Record->m_Epoch = Current.m_Granted ? Current.m_Epoch : Epoch();
  m_Outcomes.markCompleted(Meta.m_Service, Meta.m_Id, Now);

  ForwardReply Reply;
  Reply.m_Stream = Query.m_Stream;
  Reply.m_Outcome = Outcome::NotRun;
  Reply.m_Reason = Current.m_Granted ? Reason::None : Current.m_Reason;
  Reply.m_RetryAfter = Current.m_RetryAfter;
  Reply.m_MemoryAge =
      Record->m_AskedSetsDiffer ? Duration(0) : memoryAge(Meta, Now);
  if (Candidate.m_Shard)
    Reply.m_FormerOwner =
        m_Context.coordinator().formerOwner(*Candidate.m_Shard);
  sendReply(From, std::move(Reply), Meta);
}

void Executor::replyRecord(const OutcomeRecord &Record,
                           const PeerAddress &Receiver, std::uint64_t Stream,
                           const RequestMeta &Meta) {
  switch (Record.m_State) {
  case RecordState::Pending:
  case RecordState::Running:
    findRecord(Meta)->m_Waiters.push_back({.m_From = Receiver,
                                           .m_Stream = Stream,
                                           .m_IsQuery = false,
                                           .m_Message = {}});
    return;
  case RecordState::Done:
    if (Record.m_HasAnswer)
      reply(Receiver, Stream, {Outcome::Done, Reason::None}, Record.m_Http,
            Meta);
    else
      reply(Receiver, Stream, {Outcome::Unknown, Reason::AlreadyRan}, {}, Meta);
    return;
  case RecordState::Unknown:
  case RecordState::Cleared:
    reply(Receiver, Stream, {Outcome::Unknown, Record.m_Reason}, {}, Meta);
    return;
  }
}

Duration Executor::memoryAge(const RequestMeta &Meta, TimePoint Now) const {
  TimePoint Since = m_Outcomes.evictedUpTo();
  if (const std::optional<ShardRef> Shard = shardFor(Meta)) {
    // Other daemons may have owned the shard before the current assignment, so
    // older records of this daemon prove nothing.
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

OutcomeRecord *Executor::findRecord(const RequestMeta &Meta) {
  return m_Outcomes.find(Meta.m_Service, Meta.m_Id);
}

void Executor::completeRecord(const Job &CurrentJob,
                              const RequestResult &Result,
                              const HttpAnswer &Http, TimePoint Now) {
  const RequestMeta &Meta = CurrentJob.m_Meta;
  OutcomeRecord *Record = findRecord(Meta);
  if (Record == nullptr)
    return;
  const std::vector<OutcomeWaiter> Waiters = std::move(Record->m_Waiters);
  Record->m_Waiters.clear();
  if (Result.m_Outcome == Outcome::Done) {
    Record->m_State = RecordState::Done;
    Record->m_HasAnswer =
        Http.m_BodyStream == 0 && !CurrentJob.m_AnswerHeadSent;
    if (Record->m_HasAnswer)
      Record->m_Http = Http;
  } else if (!didNotRun(Result.m_Outcome)) {
    Record->m_State = RecordState::Unknown;
    Record->m_Reason = Result.m_Reason;
  } else {
    Record->m_State = RecordState::Cleared;
  }
  if (Record->m_State == RecordState::Cleared &&
      Record->m_Rank == AttemptRank())
    m_Outcomes.erase(Meta.m_Service, Meta.m_Id);
  else
    m_Outcomes.markCompleted(Meta.m_Service, Meta.m_Id, Now);

  for (const OutcomeWaiter &Waiter : Waiters) {
    if (Waiter.m_IsQuery && didNotRun(Result.m_Outcome))
      clearRetry(Waiter.m_Message, Waiter.m_From, Now);
    else if (const OutcomeRecord *Current = findRecord(Meta);
             Current != nullptr && Current->m_State != RecordState::Cleared)
      replyRecord(*Current, Waiter.m_From, Waiter.m_Stream, Meta);
    else
      reply(Waiter.m_From, Waiter.m_Stream, Result, {}, Meta);
  }
}

} // namespace balsamwheel
