// Leases as seen by the holder, its witnesses and a member that expels it.
#include "balsamwheel/detail/coordination/expulsion.h"
#include "balsamwheel/detail/coordination/lease.h"
#include "balsamwheel/detail/coordination/witness.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

constexpr Duration Lease = milliseconds(1800);
constexpr Duration LeaseWait = milliseconds(1980);
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

ExpulsionTracker makeTracker(bool UseWitnesses) {
  return ExpulsionTracker({.m_LeaseWait = LeaseWait,
                           .m_PromiseLimit = hours(1),
                           .m_SuspectAfter = milliseconds(850),
                           .m_UseWitnesses = UseWitnesses});
}

} // namespace

TEST_CASE("a lease counts from the send time of its renewal") {
  LeaseHolder Holder(Lease, hours(1));
  const std::uint64_t First = Holder.startRenewal(Start);
  CHECK_FALSE(Holder.holds(Start));
  Holder.startRenewal(Start + milliseconds(600));
  CHECK(Holder.onCommitted(First));
  CHECK(Holder.end() == Start + Lease);
  CHECK_FALSE(Holder.holds(Start + Lease));
  CHECK_FALSE(Holder.onCommitted(First));
}

TEST_CASE("a commit of a renewal that was never started is ignored") {
  LeaseHolder Holder(Lease, hours(1));
  Holder.startRenewal(Start);
  CHECK_FALSE(Holder.onCommitted(2));
  CHECK_FALSE(Holder.holds(Start));
}

TEST_CASE("only a quorum of listed witnesses extends a lease") {
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

TEST_CASE("extensions end at the limit after the last commit") {
  LeaseHolder Holder(Lease, milliseconds(2000));
  Holder.onCommitted(Holder.startRenewal(Start));
  const std::uint64_t Next = Holder.startRenewal(Start + milliseconds(900));
  Holder.onGrant(Next, SessionId(1), Witnesses);
  Holder.onGrant(Next, SessionId(2), Witnesses);
  CHECK(Holder.end() == Start + milliseconds(2000));
}

TEST_CASE("a promise blocks extensions until a newer sequence is committed") {
  Witness Observer(LeaseWait);
  Observer.onAssigned(SessionId(9), Start);
  const TimePoint Later = Start + LeaseWait;
  CHECK(Observer.tryPromise(SessionId(9), 4, Later));
  CHECK_FALSE(Observer.tryGrant(SessionId(9), 4, Later));
  CHECK(Observer.tryGrant(SessionId(9), 5, Later));
}

TEST_CASE("a promise is given only when no grant is outstanding") {
  Witness Observer(LeaseWait);
  Observer.onAssigned(SessionId(9), Start);
  CHECK_FALSE(Observer.tryPromise(SessionId(9), 3, Start));
  const TimePoint Granted = Start + milliseconds(100);
  REQUIRE(Observer.tryGrant(SessionId(9), 4, Granted));
  CHECK_FALSE(
      Observer.tryPromise(SessionId(9), 4, Granted + milliseconds(1979)));
  CHECK_FALSE(Observer.tryGrant(SessionId(9), 4, Granted + milliseconds(1)));
  CHECK(Observer.tryPromise(SessionId(9), 4, Granted + LeaseWait));
}

TEST_CASE("only a listed witness of a session grants or promises") {
  Witness Observer(LeaseWait);
  CHECK_FALSE(Observer.tryGrant(SessionId(9), 1, Start));
  CHECK_FALSE(Observer.tryPromise(SessionId(9), 1, Start + LeaseWait));
}

TEST_CASE("an expulsion needs the lease wait and a quorum of promises") {
  ExpulsionTracker Tracker = makeTracker(true);
  const GroupMember Subject = makeSubject(7);
  Tracker.observe(SessionId(9), 7, Start);
  Tracker.onPromise(SessionId(9), 7, SessionId(1));
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait));
  Tracker.onPromise(SessionId(9), 6, SessionId(2));
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait));
  Tracker.onPromise(SessionId(9), 7, SessionId(2));
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait - milliseconds(1)));
  CHECK(Tracker.mayExpel(Subject, Start + LeaseWait));
}

TEST_CASE("a newer sequence restarts the wait and discards promises") {
  ExpulsionTracker Tracker = makeTracker(true);
  Tracker.observe(SessionId(9), 7, Start);
  Tracker.onPromise(SessionId(9), 7, SessionId(1));
  Tracker.onPromise(SessionId(9), 7, SessionId(2));
  Tracker.observe(SessionId(9), 8, Start + milliseconds(600));
  CHECK_FALSE(Tracker.mayExpel(makeSubject(7), Start + LeaseWait));
  CHECK_FALSE(Tracker.mayExpel(makeSubject(8), Start + LeaseWait * 2));
}

TEST_CASE("a replaced witness counts once its grants have expired") {
  ExpulsionTracker Tracker = makeTracker(true);
  const GroupMember Subject = makeSubject(7);
  Tracker.observe(Subject, Start);
  Tracker.onPromise(SessionId(9), 7, SessionId(1));
  const TimePoint Replaced = Start + milliseconds(500);
  Tracker.markReplaced(SessionId(2), Replaced);
  Tracker.markReplaced(SessionId(2), Replaced + milliseconds(300));
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait));
  CHECK(Tracker.mayExpel(Subject, Replaced + LeaseWait));
}

TEST_CASE("a vacant place counts once the former witness's grants expired") {
  ExpulsionTracker Tracker = makeTracker(true);
  GroupMember Subject = makeSubject(7);
  Tracker.observe(Subject, Start);
  Tracker.onPromise(SessionId(9), 7, SessionId(1));
  Subject.m_Witnesses.pop_back();
  const TimePoint Left = Start + milliseconds(1900);
  Tracker.observe(Subject, Left);
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait));
  CHECK(Tracker.mayExpel(Subject, Left + LeaseWait));
}

TEST_CASE("past the limit on extensions no promise is needed") {
  ExpulsionTracker Tracker = makeTracker(true);
  Tracker.observe(makeSubject(7), Start);
  CHECK(Tracker.mayExpel(makeSubject(7), Start + hours(1)));
}

TEST_CASE("without witnesses the lease wait alone decides") {
  ExpulsionTracker Tracker = makeTracker(false);
  Tracker.observe(SessionId(9), 7, Start);
  CHECK(Tracker.mayExpel(makeSubject(7), Start + LeaseWait));
}

TEST_CASE(
    "a replaced session kept its shards until the witnesses assigned after "
    "its end had promised") {
  ExpulsionTracker Tracker = makeTracker(true);
  const GroupMember Subject = makeSubject(5);
  Tracker.observe(Subject, Start);
  const TimePoint Replaced = Start + milliseconds(700);
  Tracker.markReplaced(Subject.m_Member.m_Session, Replaced);
  CHECK_FALSE(
      Tracker.mayExpel(Subject, Replaced + LeaseWait - milliseconds(1)));
  CHECK(Tracker.mayExpel(Subject, Replaced + LeaseWait));
  GroupMember Renewed = makeSubject(6);
  Tracker.observe(Renewed, Replaced + LeaseWait);
  CHECK_FALSE(Tracker.mayExpel(Renewed, Replaced + LeaseWait));
}

TEST_CASE("a promise in place of the subject itself suffices") {
  ExpulsionTracker Tracker = makeTracker(true);
  const GroupMember Subject = makeSubject(7);
  Tracker.observe(Subject, Start);
  Tracker.onPromise(SessionId(9), 6, SessionId(9));
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait));
  Tracker.onPromise(SessionId(9), 7, SessionId(9));
  CHECK_FALSE(Tracker.mayExpel(Subject, Start + LeaseWait - milliseconds(1)));
  CHECK(Tracker.mayExpel(Subject, Start + LeaseWait));
}
