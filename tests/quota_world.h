// Several daemons' parts in the quotas, joined by a network and a table that
// fail as told: frames are lost, late, doubled and overtake each other, daemons
// are suspended and restarted, the store returns to an earlier copy.
#pragma once

#include "balsamwheel/detail/quota/member.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace balsamwheel::tests {

using namespace std::chrono_literals;

/// Greatest number of tokens above the rate in any window so far.
class WindowOracle {
public:
  explicit WindowOracle(Quota Limit) : m_Limit(Limit) {}

  void granted(std::uint32_t Count, TimePoint Now) {
    const double Seconds = static_cast<double>((Now - m_At).count()) / 1e6;
    m_Excess = std::max(0.0, m_Excess - m_Limit.m_Rate * Seconds) + Count;
    m_At = Now;
    m_Worst = std::max(m_Worst, m_Excess);
    m_Total += Count;
  }

  Quota m_Limit;
  double m_Excess = 0;
  /// To be compared with the burst.
  double m_Worst = 0;
  std::uint64_t m_Total = 0;
  TimePoint m_At;
};

struct QuotaWorldOptions {
  std::size_t m_Daemons = 4;
  Duration m_MinDelay = 1ms;
  Duration m_MaxDelay = 5ms;
  double m_Loss = 0;
  double m_Duplicates = 0;
  std::uint32_t m_Seed = 1;
};

class QuotaWorld {
public:
  struct Daemon {
    InstanceName m_Name;
    std::unique_ptr<QuotaMember> m_Member;
    TimePoint m_FrozenUntil;
    TimePoint m_DownUntil;
    bool m_TableReachable = true;
    StoreEra m_Era;
    std::uint64_t m_KnownVersion = 0;
    std::map<InstanceName, TimePoint> m_HeardAt;
    /// Requests per tick of each organisation.
    std::map<OrganisationName, double> m_Demand;
    std::map<OrganisationName, double> m_DemandLeft;
    /// Frames that arrived while it was suspended.
    std::vector<std::function<void()>> m_Backlog;
    std::uint64_t m_Ticks = 0;
    std::map<QuotaVerdict, int> m_Verdicts;
    std::map<QuotaTicket, OrganisationName> m_Open;
  };

  explicit QuotaWorld(QuotaWorldOptions Options)
      : m_Options(Options), m_Random(Options.m_Seed) {
    for (const auto &[Name, Limit] : m_Quotas)
      m_Oracles.emplace(Name, WindowOracle(Limit));
    m_Daemons.resize(Options.m_Daemons);
    for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index) {
      m_Daemons[Index].m_Name = InstanceName("d" + std::to_string(Index));
      start(m_Daemons[Index]);
    }
  }

  void start(Daemon &Started) {
    Started.m_Member = std::make_unique<QuotaMember>(
        Started.m_Name, QuotaProcess(m_Random() | 1U), QuotaMemberOptions(),
        m_Now);
    Started.m_Member->configure(m_Quotas, m_Now);
    Started.m_KnownVersion = 0;
    Started.m_Era = StoreEra();
    Started.m_HeardAt.clear();
    Started.m_Backlog.clear();
    Started.m_Open.clear();
  }

  void restart(std::size_t Index, Duration Down) {
    Daemon &Ended = m_Daemons.at(Index);
    Ended.m_Member.reset();
    Ended.m_Backlog.clear();
    Ended.m_FrozenUntil = TimePoint();
    Ended.m_DownUntil = m_Now + Down;
  }

  void freeze(std::size_t Index, Duration Time) {
    m_Daemons.at(Index).m_FrozenUntil = m_Now + Time;
  }

  /// The store loses the last \p Writes writes.
  void rollBack(std::size_t Writes) {
    m_History.resize(m_History.size() - std::min(Writes, m_History.size()));
    m_Era = StoreEra(m_Era.value() + 1);
  }

  void advance(Duration Time) {
    const TimePoint End = m_Now + Time;
    while (m_Now < End) {
      m_Now += 10ms;
      deliver();
      const auto Ticks = (m_Now - TimePoint()) / 10ms;
      for (std::size_t Index = 0; Index < m_Daemons.size(); ++Index)
        if ((Ticks + static_cast<std::int64_t>(3 * Index)) % 10 == 0)
          tick(m_Daemons[Index]);
    }
  }

  std::uint32_t heldByAll(QuotaGroup Group) {
    std::uint32_t Sum = 0;
    for (Daemon &Each : m_Daemons)
      if (Each.m_Member)
        Sum += Each.m_Member->keeper().held(Group, m_Now);
    return Sum;
  }

  int verdicts(QuotaVerdict Which) {
    int Sum = 0;
    for (Daemon &Each : m_Daemons)
      Sum += Each.m_Verdicts[Which];
    return Sum;
  }

  void clearVerdicts() {
    for (Daemon &Each : m_Daemons)
      Each.m_Verdicts.clear();
  }

  std::map<OrganisationName, Quota> m_Quotas{
      {OrganisationName("large"), {.m_Rate = 50, .m_Burst = 50}},
      {OrganisationName("small"), {.m_Rate = 5, .m_Burst = 2}},
      {OrganisationName("tiny"), {.m_Rate = 1, .m_Burst = 0}}};
  std::map<OrganisationName, WindowOracle> m_Oracles;
  std::vector<Daemon> m_Daemons;
  /// Pairs of daemons that don't reach each other.
  std::set<std::pair<std::size_t, std::size_t>> m_Cut;
  QuotaWorldOptions m_Options;
  TimePoint m_Now{1h};
  std::size_t m_Commits = 0;
  /// Share of the granted requests whose token is given back.
  double m_GiveBack = 0;

private:
  struct Flying {
    std::size_t m_To;
    std::function<void()> m_Deliver;
  };

  bool isActive(const Daemon &Which) const {
    return Which.m_Member && m_Now >= Which.m_FrozenUntil;
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(m_Random); }
  std::size_t indexOf(const Daemon &Which) const {
    return static_cast<std::size_t>(&Which - m_Daemons.data());
  }
  std::size_t indexOf(const InstanceName &Name) const {
    return std::stoul(Name.value().substr(1));
  }
  bool isCut(std::size_t One, std::size_t Other) const {
    return m_Cut.contains(std::minmax(One, Other));
  }

  void send(std::size_t From, std::size_t To, std::function<void()> Deliver) {
    if (isCut(From, To) || uniform() < m_Options.m_Loss)
      return;
    const int Copies = uniform() < m_Options.m_Duplicates ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      const auto Delay =
          m_Options.m_MinDelay +
          Duration(static_cast<Duration::rep>(
              uniform() *
              static_cast<double>(
                  (m_Options.m_MaxDelay - m_Options.m_MinDelay).count())));
      m_Flying.emplace(m_Now + Delay, Flying{.m_To = To, .m_Deliver = Deliver});
    }
  }

  void deliver() {
    while (!m_Flying.empty() && m_Flying.begin()->first <= m_Now) {
      const Flying Each = std::move(m_Flying.begin()->second);
      m_Flying.erase(m_Flying.begin());
      Daemon &To = m_Daemons[Each.m_To];
      if (!To.m_Member)
        continue;
      if (m_Now < To.m_FrozenUntil)
        To.m_Backlog.push_back(Each.m_Deliver);
      else
        Each.m_Deliver();
    }
  }

  void tick(Daemon &Each) {
    if (!Each.m_Member) {
      if (m_Now < Each.m_DownUntil)
        return;
      start(Each);
    }
    if (m_Now < Each.m_FrozenUntil)
      return;
    // What arrived during a suspension is read before the timers run.
    for (const auto &Late : std::exchange(Each.m_Backlog, {}))
      Late();
    followTable(Each);
    std::vector<InstanceName> Up;
    for (const auto &[Name, At] : Each.m_HeardAt)
      if (m_Now - At < 1500ms)
        Up.push_back(Name);
    Each.m_Member->update(Up, m_Now);
    writeRow(Each, {Up.begin(), Up.end()});
    if (++Each.m_Ticks % 4 == 0)
      report(Each);
    for (const auto &[Name, PerTick] : Each.m_Demand) {
      double &Left = Each.m_DemandLeft[Name];
      for (Left += PerTick; Left >= 1; Left -= 1)
        Each.m_Open[Each.m_Member->asker().add(Name, m_Now + 1500ms)] = Name;
    }
    work(Each);
  }

  void followTable(Daemon &Each) {
    if (!Each.m_TableReachable || uniform() < 0.5)
      return;
    Each.m_Era = m_Era;
    Each.m_KnownVersion = m_History.size();
    if (m_History.empty())
      return;
    const SharesRow &Row = m_History.back();
    Each.m_Member->shares().apply(Row, m_Now);
    if (Row == Each.m_Member->shares().row())
      Each.m_Member->shares().onTableChecked(m_Now, m_Era);
  }

  void writeRow(Daemon &Each, std::set<InstanceName> Members) {
    if (!Each.m_TableReachable)
      return;
    Members.insert(Each.m_Name);
    // Member rows outlast their daemons.
    if (Each.m_Member->shares().row().m_Revision.value() == 0)
      for (const Daemon &Other : m_Daemons)
        Members.insert(Other.m_Name);
    const auto Row = Each.m_Member->shares().next(Members, Each.m_Era, m_Now);
    if (!Row || Each.m_Era != m_Era || Each.m_KnownVersion != m_History.size())
      return;
    m_History.push_back(*Row);
    ++m_Commits;
    Each.m_KnownVersion = m_History.size();
    Each.m_Member->shares().apply(*Row, m_Now);
    Each.m_Member->shares().onTableChecked(m_Now, m_Era);
  }

  void report(Daemon &From) {
    const auto Known =
        std::make_shared<const SharesRow>(From.m_Member->shares().row());
    for (Daemon &To : m_Daemons)
      if (&To != &From)
        send(indexOf(From), indexOf(To),
             [this, To = &To, Name = From.m_Name, Known,
              Applied = From.m_Member->shares().toReport()] {
               To->m_HeardAt[Name] = m_Now;
               To->m_Member->shares().onReport(Name, Applied, m_Now);
               To->m_Member->shares().apply(*Known, m_Now);
             });
  }

  void decide(Daemon &Each, const std::vector<QuotaDecision> &Decisions) {
    for (const QuotaDecision &Decision : Decisions) {
      ++Each.m_Verdicts[Decision.m_Verdict];
      const OrganisationName Name = Each.m_Open.at(Decision.m_Ticket);
      Each.m_Open.erase(Decision.m_Ticket);
      if (Decision.m_Verdict != QuotaVerdict::Granted)
        continue;
      if (uniform() < m_GiveBack)
        Each.m_Member->asker().giveBack(Name, m_Now, m_Now);
      else if (m_GiveBack > 0)
        m_Oracles.at(Name).granted(1, m_Now);
    }
  }

  void count(const QuotaReply &Reply) {
    if (m_GiveBack == 0 && Reply.m_Granted > 0)
      m_Oracles.at(Reply.m_Organisation).granted(Reply.m_Granted, m_Now);
  }

  void work(Daemon &Each) {
    const QuotaMember::Work Work = Each.m_Member->work(m_Now);
    for (const auto &[Ask, Reply] : Work.m_Own)
      count(Reply);
    const std::size_t Self = indexOf(Each);
    for (const auto &Lend : Work.m_Lends)
      send(Self, indexOf(Lend.m_Keeper), [this, Self, Lend] {
        lend(Self, indexOf(Lend.m_Keeper), Lend.m_Frame);
      });
    for (const auto &Ask : Work.m_Asks)
      send(Self, indexOf(Ask.m_Keeper.m_Instance), [this, Self, Ask] {
        ask(Self, indexOf(Ask.m_Keeper.m_Instance), Ask.m_Frame);
      });
    decide(Each, Work.m_Decisions);
  }

  void lend(std::size_t From, std::size_t To, const QuotaLend &Frame) {
    const QuotaStamp Stamp =
        m_Daemons[To].m_Member->onLend(m_Daemons[From].m_Name, Frame, m_Now);
    send(To, From, [this, From, To, Stamp] {
      m_Daemons[From].m_Member->onStamp(m_Daemons[To].m_Name, Stamp, m_Now);
    });
  }

  void ask(std::size_t From, std::size_t To, const QuotaAsk &Frame) {
    const auto Reply =
        m_Daemons[To].m_Member->onAsk(m_Daemons[From].m_Name, Frame, m_Now);
    if (!Reply)
      return;
    count(*Reply);
    send(To, From, [this, From, To, Reply = *Reply] {
      decide(m_Daemons[From], m_Daemons[From].m_Member->onReply(
                                  m_Daemons[To].m_Name, Reply, m_Now));
    });
  }

  std::mt19937 m_Random;
  std::multimap<TimePoint, Flying> m_Flying;
  /// Rows written to the table; its length is the version of the last one.
  std::vector<SharesRow> m_History;
  StoreEra m_Era;
};

} // namespace balsamwheel::tests
