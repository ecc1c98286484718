// The parts of the quotas by themselves: shares row, leases, buckets,
// questions. The model of all parts is in unit-quota-model.cpp.
#include "balsamwheel/detail/quota/member.h"

#include <doctest/doctest.h>

using namespace balsamwheel;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const InstanceName A("a");
const InstanceName B("b");
const InstanceName C("c");
const OrganisationName Org("org");
const QuotaProcess KeeperProcess(7);
const QuotaProcess LenderProcess(9);

std::map<OrganisationName, Quota> quota(double Rate, double Burst) {
  return {{Org, {.m_Rate = Rate, .m_Burst = Burst}}};
}

/// A row that gives the units to instances in equal parts.
SharesRow row(std::uint64_t Revision, const std::set<InstanceName> &Names,
              bool Settled = true) {
  SharesRow Result{.m_Revision = SharesRevision(Revision),
                   .m_Units = {},
                   .m_Settled = Settled,
                   .m_Earlier = {}};
  for (const InstanceName &Each : Names)
    Result.m_Units[Each] =
        QuotaUnits / static_cast<std::uint32_t>(Names.size());
  return Result;
}

/// A keeper that holds the units of one lender.
struct LentKeeper {
  explicit LentKeeper(std::uint32_t Units, double Rate = 100,
                      double Burst = 100)
      : m_Keeper(KeeperProcess, {}) {
    m_Keeper.configure(quota(Rate, Burst), Start);
    lend(Units, Start);
  }

  /// Lends for two seconds from \p Now.
  QuotaStamp lend(std::uint32_t Units, TimePoint Now) {
    m_Last.m_Lender = LenderProcess;
    m_Last.m_Sequence = nextSequence();
    const QuotaStamp Stamp = m_Keeper.onLend(A, m_Last, Now);
    m_Last = {.m_Lender = LenderProcess,
              .m_Sequence = nextSequence(),
              .m_Keeper = KeeperProcess,
              .m_Stamp = Stamp.m_Stamp,
              .m_Groups = AllQuotaGroups,
              .m_Units = Units};
    return m_Keeper.onLend(A, m_Last, Now);
  }

  QuotaSequence nextSequence() { return QuotaSequence(++m_Sequence); }

  QuotaAsk ask(std::uint32_t Count, TimePoint StampedAt,
               std::uint32_t Returned = 0) {
    return {.m_Asker = LenderProcess,
            .m_Sequence = nextSequence(),
            .m_Keeper = KeeperProcess,
            .m_Stamp = QuotaStampTime(StampedAt.time_since_epoch().count()),
            .m_Organisation = Org,
            .m_Count = Count,
            .m_Returned = Returned};
  }

  std::uint32_t granted(std::uint32_t Count, TimePoint Now) {
    const auto Reply = m_Keeper.onAsk(A, ask(Count, Now), Now);
    return Reply ? Reply->m_Granted : 0;
  }

  QuotaKeeper m_Keeper;
  QuotaLend m_Last;
  std::uint64_t m_Sequence = 0;
};

/// A lender whose only peer, B, keeps all groups, as A isn't chosen for some.
struct LenderOfB {
  LenderOfB() : m_Lender(A, LenderProcess, {}, Start) {
    m_Lender.setUnits(500, AllQuotaGroups);
  }

  /// \returns the frames that the lender sends at \p Now.
  std::vector<QuotaLender::Outgoing> update(TimePoint Now, bool UpB = true) {
    m_Lender.update(UpB ? std::vector{B} : std::vector<InstanceName>(), Now);
    return m_Lender.due(Now);
  }

  void answer(const QuotaLender::Outgoing &To, TimePoint Now,
              QuotaProcess Process = KeeperProcess) {
    m_Lender.onStamp(B,
                     {.m_Keeper = Process,
                      .m_Stamp = QuotaStampTime(Now.time_since_epoch().count()),
                      .m_Lender = LenderProcess,
                      .m_Confirmed = To.m_Frame.m_Sequence},
                     Now);
  }

  /// Answers each frame for \p Time.
  TimePoint run(TimePoint Now, Duration Time) {
    for (const TimePoint End = Now + Time; Now < End; Now += 100ms)
      for (const auto &Each : update(Now)) {
        m_LastGroups = Each.m_Frame.m_Groups;
        answer(Each, Now);
      }
    return Now;
  }

  QuotaLender m_Lender;
  QuotaGroups m_LastGroups;
};

} // namespace

TEST_CASE("a shares row is read as it was written") {
  SharesRow Written = row(3, {A, B}, false);
  Written.m_Earlier = {{C, 12}};
  CHECK(SharesRow::fromText(Written.toText()) == Written);
}

TEST_CASE("a shares row with more units than there are is rejected") {
  // Guards against a row that would multiply all quotas.
  SharesRow Written = row(3, {A});
  Written.m_Units[B] = 1;
  CHECK(!SharesRow::fromText(Written.toText()));
  CHECK(!SharesRow::fromText("{}"));
  CHECK(!SharesRow::fromText("no json"));
}

TEST_CASE("the first row is written once the members have settled") {
  // Guards against a row for the first daemon alone, and its rewriting.
  QuotaShares Shares(A, {}, Start);
  CHECK(!Shares.next({A}, {}, Start));
  CHECK(!Shares.next({A, B, C}, {}, Start + 1s));
  const auto First = Shares.next({A, B, C}, {}, Start + 2500ms);
  REQUIRE(First);
  CHECK(First->m_Settled);
  CHECK(First->m_Units.at(A) == 333334);
  CHECK(First->m_Units.at(C) == 333333);
}

TEST_CASE("units aren't used before the table or the peers confirm the row") {
  // Guards against a restarted daemon that learns an old row from a peer.
  QuotaShares Shares(A, {}, Start);
  Shares.apply(row(1, {A, B, C}), Start);
  Shares.update(Start);
  CHECK(Shares.units(Start) == 0);
  CHECK(Shares.toReport() == SharesRevision());
  Shares.onTableChecked(Start, StoreEra());
  CHECK(Shares.units(Start) == 333333);
  CHECK(Shares.toReport() == SharesRevision(1));
}

TEST_CASE("an isolated daemon stops using its units") {
  // Guards against units that were given to others meanwhile.
  QuotaShares Shares(A, {}, Start);
  Shares.apply(row(1, {A, B, C}), Start);
  Shares.onTableChecked(Start, StoreEra());
  TimePoint Now = Start;
  const auto Pass = [&](Duration Time, bool Reached) {
    for (const TimePoint End = Now + Time; Now < End; Now += 1s) {
      if (Reached)
        Shares.onReport(B, SharesRevision(1), Now);
      Shares.update(Now);
    }
  };
  Pass(100s, true);
  CHECK(Shares.units(Now - 1s) > 0);
  Pass(49s, false);
  CHECK(Shares.units(Now - 1s) > 0);
  Pass(3s, false);
  CHECK(Shares.units(Now - 1s) == 0);
}

TEST_CASE("a decrease applies when it is seen, an increase once it is safe") {
  // Guards against the sum of the units while a row spreads.
  QuotaShares Shares(A, {}, Start);
  Shares.apply(row(1, {A, B}), Start);
  Shares.onTableChecked(Start, StoreEra());
  Shares.update(Start);
  SharesRow Moved = row(2, {A}, false);
  Moved.m_Earlier = row(1, {A, B}).m_Units;
  Shares.apply(Moved, Start);
  CHECK(Shares.units(Start) == QuotaUnits / 2);
  Shares.apply(row(3, {A}), Start);
  CHECK(Shares.units(Start) == QuotaUnits);
  Shares.apply(row(4, {A, B}, false), Start);
  CHECK(Shares.units(Start) == QuotaUnits / 2);
}

TEST_CASE("a row is settled when all have seen it or must have stopped") {
  QuotaShares Shares(A, {}, Start);
  SharesRow Moved = row(2, {A, B}, false);
  Moved.m_Earlier = row(1, {A, B, C}).m_Units;
  Shares.apply(Moved, Start);
  Shares.onTableChecked(Start, StoreEra());
  TimePoint Now = Start;
  const auto SettledAfter = [&](bool ReportOfC) {
    for (; Now < Start + 200s; Now += 1s) {
      Shares.onReport(B, SharesRevision(2), Now);
      if (ReportOfC)
        Shares.onReport(C, SharesRevision(2), Now);
      Shares.update(Now);
      if (const auto Next = Shares.next({A, B}, {}, Now)) {
        CHECK(Next->m_Settled);
        CHECK(Next->m_Units == Moved.m_Units);
        break;
      }
    }
    return Now - Start;
  };
  SUBCASE("all report it") { CHECK(SettledAfter(true) == 5s); }
  SUBCASE("one is silent") { CHECK(SettledAfter(false) == 65s); }
}

TEST_CASE("an earlier copy of the store doesn't bring earlier shares back") {
  // Guards against units that two rows of the same revision give out.
  QuotaShares Shares(A, {}, Start);
  Shares.apply(row(5, {A, B}), Start);
  CHECK(!Shares.apply(row(4, {A}), Start));
  const auto Again = Shares.next({A, B}, StoreEra(1), Start);
  REQUIRE(Again);
  CHECK(Again->m_Revision > SharesRevision(1000));
  CHECK(Again->m_Units == row(5, {A, B}).m_Units);
  CHECK(!Again->m_Settled);
}

TEST_CASE("a bucket begins empty and is filled for the units held") {
  LentKeeper Lent(QuotaUnits / 2);
  CHECK(Lent.granted(10, Start) == 0);
  CHECK(Lent.granted(100, Start + 1s) == 50);
}

TEST_CASE("a lease ends by the keeper's clock even if nobody looks") {
  // Guards against a keeper that was suspended and fills for the whole time.
  LentKeeper Lent(QuotaUnits);
  Lent.lend(QuotaUnits, Start + 100ms);
  CHECK(Lent.m_Keeper.held(quotaGroupOf(Org), Start + 2s) == QuotaUnits);
  CHECK(Lent.m_Keeper.held(quotaGroupOf(Org), Start + 2100ms) == 0);
  Lent.lend(QuotaUnits, Start + 100s);
  CHECK(Lent.granted(100, Start + 100s) == 0);
}

TEST_CASE("late, doubled and foreign lend frames count nothing") {
  LentKeeper Lent(QuotaUnits);
  const QuotaGroup Group = quotaGroupOf(Org);
  const QuotaLend Old = Lent.m_Last;
  QuotaLend Withdrawn = Old;
  Withdrawn.m_Sequence = Lent.nextSequence();
  Withdrawn.m_Groups = QuotaGroups();
  CHECK(Lent.m_Keeper.onLend(A, Withdrawn, Start + 1ms).m_Confirmed ==
        Withdrawn.m_Sequence);
  CHECK(Lent.m_Keeper.held(Group, Start + 1ms) == 0);
  Lent.m_Keeper.onLend(A, Old, Start + 2ms);
  CHECK(Lent.m_Keeper.held(Group, Start + 2ms) == 0);
  QuotaLend Foreign = Old;
  Foreign.m_Sequence = Lent.nextSequence();
  Foreign.m_Keeper = QuotaProcess(8);
  Lent.m_Keeper.onLend(A, Foreign, Start + 2ms);
  CHECK(Lent.m_Keeper.held(Group, Start + 2ms) == 0);
}

TEST_CASE("a doubled question returns its tokens once") {
  LentKeeper Lent(QuotaUnits);
  REQUIRE(Lent.granted(50, Start + 1s) == 50);
  const double Before = Lent.m_Keeper.tokens(Org);
  const QuotaAsk Twice = Lent.ask(0, Start + 1s, 20);
  CHECK(Lent.m_Keeper.onAsk(A, Twice, Start + 1s));
  CHECK(!Lent.m_Keeper.onAsk(A, Twice, Start + 1s));
  CHECK(Lent.m_Keeper.tokens(Org) == doctest::Approx(Before + 20));
}

TEST_CASE("a lowered limit applies to the tokens that are there") {
  LentKeeper Lent(QuotaUnits);
  Lent.lend(QuotaUnits, Start + 1s);
  CHECK(Lent.m_Keeper.held(quotaGroupOf(Org), Start + 1s) == QuotaUnits);
  Lent.m_Keeper.configure(quota(1, 3), Start + 1s);
  CHECK(Lent.granted(100, Start + 1s) == 3);
}

TEST_CASE("the refused come back at the rate of the quota") {
  // Guards against all of them coming back for the first token.
  LentKeeper Lent(QuotaUnits, 10, 10);
  const auto First = Lent.m_Keeper.onAsk(A, Lent.ask(3, Start), Start);
  const auto Second = Lent.m_Keeper.onAsk(A, Lent.ask(1, Start), Start);
  REQUIRE((First && Second));
  CHECK(First->m_Wait == 100ms);
  CHECK(First->m_Spacing == 100ms);
  CHECK(Second->m_Wait == 400ms);
}

TEST_CASE("an organisation that the keeper doesn't know isn't over its quota") {
  LentKeeper Lent(QuotaUnits);
  QuotaAsk Ask = Lent.ask(1, Start);
  Ask.m_Organisation = OrganisationName("new");
  const auto Reply = Lent.m_Keeper.onAsk(A, Ask, Start);
  REQUIRE(Reply);
  CHECK(Reply->m_Unavailable);
  CHECK(Reply->m_Wait > 0ms);
}

TEST_CASE("a new process lends nothing while its predecessor's leases run") {
  LenderOfB Rig;
  const TimePoint Now = Rig.run(Start, 2s);
  CHECK(Rig.m_LastGroups.empty());
  Rig.run(Now, 1s);
  CHECK(!Rig.m_LastGroups.empty());
}

TEST_CASE("lent units come back after the lease, a restart or a confirmation") {
  LenderOfB Rig;
  const TimePoint Now = Rig.run(Start, 6s);
  const QuotaGroups Lent = Rig.m_LastGroups;
  REQUIRE(!Lent.empty());
  const auto IsBack = [&](TimePoint At) {
    return Rig.m_Lender.ownGroups(At) == AllQuotaGroups;
  };
  SUBCASE("after the lease") {
    Rig.update(Now, false);
    CHECK(!IsBack(Now + 1s));
    CHECK(IsBack(Now + 2100ms));
  }
  SUBCASE("at once when the keeper has restarted") {
    for (TimePoint At = Now; At < Now + 1s; At += 100ms)
      for (const auto &Each : Rig.update(At))
        Rig.answer(Each, At, QuotaProcess(8));
    Rig.update(Now + 1s, false);
    CHECK(!IsBack(Now + 1s));
    CHECK(IsBack(Now + 3100ms));
  }
  SUBCASE("a late frame of the ended process changes nothing") {
    Rig.m_Lender.onStamp(B,
                         {.m_Keeper = QuotaProcess(6),
                          .m_Stamp = QuotaStampTime(1),
                          .m_Lender = LenderProcess,
                          .m_Confirmed = QuotaSequence(1)},
                         Now);
    Rig.update(Now, false);
    CHECK(!IsBack(Now));
  }
}

TEST_CASE("a keeper that stops in order is left at once") {
  LenderOfB Rig;
  const TimePoint Now = Rig.run(Start, 6s);
  REQUIRE(!Rig.m_LastGroups.empty());
  Rig.m_Lender.onStamp(B,
                       {.m_Keeper = KeeperProcess,
                        .m_Lender = LenderProcess,
                        .m_Confirmed = QuotaSequence(1000),
                        .m_Ended = true},
                       Now);
  Rig.update(Now);
  CHECK(Rig.m_Lender.ownGroups(Now) == AllQuotaGroups);
}

TEST_CASE("a connected keeper that doesn't answer is left") {
  // Guards against a frozen keeper whose connections stay open.
  LenderOfB Rig;
  TimePoint Now = Rig.run(Start, 6s);
  for (const TimePoint End = Now + 2s; Now < End; Now += 100ms)
    Rig.update(Now);
  for (std::uint32_t Index = 0; Index < QuotaGroupCount; ++Index)
    CHECK(Rig.m_Lender.chosen(QuotaGroup(Index)) == A);
}

namespace {

/// An asker whose keeper is B.
struct AskerOfB {
  AskerOfB() : m_Asker(LenderProcess, {}) {}

  std::vector<QuotaAsker::Outgoing> due(TimePoint Now,
                                        std::uint64_t Process = 7) {
    return m_Asker.due(
        [&](QuotaGroup) {
          return std::optional(
              QuotaKeeperRef{.m_Instance = B,
                             .m_Process = QuotaProcess(Process),
                             .m_Stamp = QuotaStampTime(1)});
        },
        Now);
  }

  std::vector<QuotaDecision> reply(const QuotaAsk &To, std::uint32_t Granted,
                                   TimePoint Now, bool Unavailable = false) {
    return m_Asker.onReply(B,
                           {.m_Keeper = To.m_Keeper,
                            .m_Asker = LenderProcess,
                            .m_Sequence = To.m_Sequence,
                            .m_Organisation = Org,
                            .m_Granted = Granted,
                            .m_Wait = 100ms,
                            .m_Spacing = 10ms,
                            .m_Unavailable = Unavailable},
                           Now);
  }

  QuotaAsker m_Asker;
};

} // namespace

TEST_CASE("requests that come during a question go into the next one") {
  AskerOfB Rig;
  Rig.m_Asker.add(Org, Start + 1s);
  const auto First = Rig.due(Start);
  REQUIRE(First.size() == 1);
  Rig.m_Asker.add(Org, Start + 1s);
  Rig.m_Asker.add(Org, Start + 1s);
  CHECK(Rig.due(Start).empty());
  CHECK(Rig.reply(First[0].m_Frame, 1, Start).size() == 1);
  const auto Second = Rig.due(Start);
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].m_Frame.m_Count == 2);
  const auto Decided = Rig.reply(Second[0].m_Frame, 1, Start);
  REQUIRE(Decided.size() == 2);
  CHECK(Decided[0].m_Verdict == QuotaVerdict::Granted);
  CHECK(Decided[1].m_Verdict == QuotaVerdict::Denied);
  CHECK(Decided[1].m_RetryAfter == 100ms);
  CHECK(Rig.m_Asker.idle());
}

TEST_CASE("the token of a cancelled request is returned") {
  AskerOfB Rig;
  const QuotaTicket Ticket = Rig.m_Asker.add(Org, Start + 1s);
  const auto Asked = Rig.due(Start);
  Rig.m_Asker.cancel(Ticket);
  CHECK(Rig.reply(Asked[0].m_Frame, 1, Start).empty());
  CHECK(Rig.due(Start + 50ms).empty());
  const auto Returned = Rig.due(Start + 100ms);
  REQUIRE(Returned.size() == 1);
  CHECK(Returned[0].m_Frame.m_Count == 0);
  CHECK(Returned[0].m_Frame.m_Returned == 1);
}

TEST_CASE("a lost question is asked again at the next keeper") {
  AskerOfB Rig;
  Rig.m_Asker.add(Org, Start + 1500ms);
  const auto First = Rig.due(Start);
  CHECK(Rig.due(Start + 500ms).empty());
  const auto Second = Rig.due(Start + 600ms, 8);
  REQUIRE(Second.size() == 1);
  // The answer to the first may still come.
  CHECK(Rig.reply(First[0].m_Frame, 1, Start + 700ms).empty());
  CHECK(Rig.reply(Second[0].m_Frame, 1, Start + 700ms).size() == 1);
}

TEST_CASE("a request that no keeper can tell of in time is refused as such") {
  AskerOfB Rig;
  Rig.m_Asker.add(Org, Start + 300ms);
  const auto First = Rig.due(Start);
  CHECK(Rig.reply(First[0].m_Frame, 0, Start, true).empty());
  CHECK(Rig.due(Start + 100ms).empty());
  CHECK(Rig.due(Start + 150ms).size() == 1);
  CHECK(Rig.m_Asker.expire(Start + 200ms).empty());
  const auto Decided = Rig.m_Asker.expire(Start + 300ms);
  REQUIRE(Decided.size() == 1);
  CHECK(Decided[0].m_Verdict == QuotaVerdict::Unavailable);
}

TEST_CASE("a reply that was on the way for long grants nothing") {
  // Guards against tokens of an earlier window, e.g. after a suspension.
  AskerOfB Rig;
  Rig.m_Asker.add(Org, Start + 10s);
  const auto First = Rig.due(Start);
  CHECK(Rig.reply(First[0].m_Frame, 1, Start + 1100ms).empty());
  CHECK(Rig.due(Start + 1100ms).size() == 1);
}
