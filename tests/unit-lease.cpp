// Leases from both sides: holder, witness and taker.
#include "balsamwheel/detail/coordination/expulsion.h"
#include "balsamwheel/detail/coordination/lease.h"
#include "balsamwheel/detail/coordination/witness.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr Duration Lease = milliseconds(1800);
constexpr Duration Wait = milliseconds(1980);
constexpr TimePoint Start{std::chrono::seconds(50)};
const std::vector<SessionId> Witnesses{SessionId(1), SessionId(2),
                                       SessionId(3)};

GroupMember makeSubject(std::uint64_t Sequence) {
  GroupMember Result;
  Result.m_Member.m_Session = SessionId(9);
  Result.m_Sequence = Sequence;
  Result.m_Witnesses = Witnesses;
  return Result;
}

ExpulsionJudge makeJudge(bool UseWitnesses) {
  return ExpulsionJudge({.m_Wait = Wait,
                         .m_ExtensionLimit = hours(1),
                         .m_Suspect = milliseconds(850),
                         .m_UseWitnesses = UseWitnesses});
}

} // namespace

TEST_CASE("a lease counts from before the renewal was sent") {
  LeaseHolder Holder(Lease, hours(1));
  const std::uint64_t First = Holder.startRenewal(Start);
  CHECK_FALSE(Holder.holds(Start));
  Holder.startRenewal(Start + milliseconds(600));
  CHECK(Holder.onCommitted(First));
  CHECK(Holder.end() == Start + Lease);
  CHECK_FALSE(Holder.holds(Start + Lease));
  CHECK_FALSE(Holder.onCommitted(First));
}

TEST_CASE("a renewal that was never started counts for nothing") {
  LeaseHolder Holder(Lease, hours(1));
  Holder.startRenewal(Start);
  CHECK_FALSE(Holder.onCommitted(2));
  CHECK_FALSE(Holder.holds(Start));
}

TEST_CASE("only a quorum of named witnesses extends a lease") {
  LeaseHolder Holder(Lease, hours(1));
  Holder.onCommitted(Holder.startRenewal(Start));
  const std::uint64_t Next = Holder.startRenewal(Start + milliseconds(600));
  Holder.onGrant(Next, SessionId(1), Witnesses);
  Holder.onGrant(Next, SessionId(1), Witnesses);
  Holder.onGrant(Next, SessionId(8), Witnesses);
  CHECK(Holder.end() == Start + Lease);
  Holder.onGrant(Next, SessionId(3), Witnesses);
  CHECK(Holder.end() == Start + milliseconds(600) + Lease);
  CHECK(Holder.extended());
}

TEST_CASE("extension ends with its limit after the last commit") {
  LeaseHolder Holder(Lease, milliseconds(2000));
  Holder.onCommitted(Holder.startRenewal(Start));
  const std::uint64_t Next = Holder.startRenewal(Start + milliseconds(900));
  Holder.onGrant(Next, SessionId(1), Witnesses);
  Holder.onGrant(Next, SessionId(2), Witnesses);
  CHECK(Holder.end() == Start + milliseconds(2000));
}

TEST_CASE("a promise bars extension until a newer sequence is committed") {
  Witness Value(Wait);
  Value.onNamed(SessionId(9), Start);
  const TimePoint Later = Start + Wait;
  CHECK(Value.promise(SessionId(9), 4, Later));
  CHECK_FALSE(Value.grant(SessionId(9), 4, Later));
  CHECK(Value.grant(SessionId(9), 5, Later));
}

TEST_CASE("a promise is given only when no grant is outstanding") {
  Witness Value(Wait);
  Value.onNamed(SessionId(9), Start);
  CHECK_FALSE(Value.promise(SessionId(9), 3, Start));
  const TimePoint Granted = Start + milliseconds(100);
  REQUIRE(Value.grant(SessionId(9), 4, Granted));
  CHECK_FALSE(Value.promise(SessionId(9), 4, Granted + milliseconds(1979)));
  CHECK_FALSE(Value.grant(SessionId(9), 4, Granted + milliseconds(1)));
  CHECK(Value.promise(SessionId(9), 4, Granted + Wait));
}

TEST_CASE("who is no witness of a session neither grants nor promises") {
  Witness Value(Wait);
  CHECK_FALSE(Value.grant(SessionId(9), 1, Start));
  CHECK_FALSE(Value.promise(SessionId(9), 1, Start + Wait));
}

TEST_CASE("a taker waits for the lease and for a quorum of promises") {
  ExpulsionJudge Judge = makeJudge(true);
  const GroupMember Subject = makeSubject(7);
  Judge.observe(SessionId(9), 7, Start);
  Judge.onPromise(SessionId(9), 7, SessionId(1));
  CHECK_FALSE(Judge.mayExpel(Subject, Start + Wait));
  Judge.onPromise(SessionId(9), 6, SessionId(2));
  CHECK_FALSE(Judge.mayExpel(Subject, Start + Wait));
  Judge.onPromise(SessionId(9), 7, SessionId(2));
  CHECK_FALSE(Judge.mayExpel(Subject, Start + Wait - milliseconds(1)));
  CHECK(Judge.mayExpel(Subject, Start + Wait));
}

TEST_CASE("a newer sequence starts the wait and the promises anew") {
  ExpulsionJudge Judge = makeJudge(true);
  Judge.observe(SessionId(9), 7, Start);
  Judge.onPromise(SessionId(9), 7, SessionId(1));
  Judge.onPromise(SessionId(9), 7, SessionId(2));
  Judge.observe(SessionId(9), 8, Start + milliseconds(600));
  CHECK_FALSE(Judge.mayExpel(makeSubject(7), Start + Wait));
  CHECK_FALSE(Judge.mayExpel(makeSubject(8), Start + Wait * 2));
}

TEST_CASE("a replaced witness counts once its grants have run out") {
  ExpulsionJudge Judge = makeJudge(true);
  const GroupMember Subject = makeSubject(7);
  Judge.observe(Subject, Start);
  Judge.onPromise(SessionId(9), 7, SessionId(1));
  const TimePoint Replaced = Start + milliseconds(500);
  Judge.noteReplaced(SessionId(2), Replaced);
  Judge.noteReplaced(SessionId(2), Replaced + milliseconds(300));
  CHECK_FALSE(Judge.mayExpel(Subject, Start + Wait));
  CHECK(Judge.mayExpel(Subject, Replaced + Wait));
}

TEST_CASE("a vacant place counts once the former witness's grants ran out") {
  ExpulsionJudge Judge = makeJudge(true);
  GroupMember Subject = makeSubject(7);
  Judge.observe(Subject, Start);
  Judge.onPromise(SessionId(9), 7, SessionId(1));
  Subject.m_Witnesses.pop_back();
  const TimePoint Left = Start + milliseconds(1900);
  Judge.observe(Subject, Left);
  CHECK_FALSE(Judge.mayExpel(Subject, Start + Wait));
  CHECK(Judge.mayExpel(Subject, Left + Wait));
}

TEST_CASE("past the limit of extension no promise is needed") {
  ExpulsionJudge Judge = makeJudge(true);
  Judge.observe(makeSubject(7), Start);
  CHECK(Judge.mayExpel(makeSubject(7), Start + hours(1)));
}

TEST_CASE("without witnesses the lease wait alone decides") {
  ExpulsionJudge Judge = makeJudge(false);
  Judge.observe(SessionId(9), 7, Start);
  CHECK(Judge.mayExpel(makeSubject(7), Start + Wait));
}
