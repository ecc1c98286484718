// Turns of organisations among the waiting requests of one priority: start-time
// fair queueing.
//
// Load pattern: one organisation sends many times its usual number of requests
// to a target that can't serve all of them. In the order of arrival or of
// objectives, each organisation would lose in proportion to the flood. Here
// each one keeps the turns that its usual number of requests calls for, and
// the flood waits for what is left.
//
// An organisation's weight is its usual number of requests per second, not a
// constant: with equal turns, an overloaded target would serve a large
// organisation far worse than the small ones.
#pragma once

#include "balsamwheel/detail/core/time.h"
#include "balsamwheel/detail/routing/organisation_directory.h"

#include <map>

namespace balsamwheel {

struct OrganisationTurnsOptions {
  /// Time constant over which the usual number of requests is measured.
  Duration m_UsualTime = std::chrono::seconds(60);
  /// Fraction by which a weight may rise per second. A flood of several seconds
  /// is no habit.
  double m_WeightRisePerSecond = 0.05;
  /// Time after the first request of any organisation in which weights may rise
  /// freely.
  Duration m_LearningTime = std::chrono::seconds(5);
  /// An organisation that has sent nothing for this time is forgotten.
  Duration m_Lifetime = std::chrono::minutes(2);
};

/// Performs no I/O and reads no clock; not thread-safe. Invariants: turns that
/// one organisation takes one after the other increase; the state is bounded by
/// the organisations that have sent requests within m_Lifetime. While there are
/// requests without an organisation only, nothing is kept and all turns are
/// equal.
class OrganisationTurns {
public:
  /// Place in the order of turns; the lowest start is first.
  struct Turn {
    double m_Start = 0;
    /// Distance to the organisation's next turn.
    double m_Cost = 0;
  };

  explicit OrganisationTurns(OrganisationTurnsOptions Options = {})
      : m_Options(Options) {}

  /// Counts a request that has arrived, whatever becomes of it.
  void arrived(const OrganisationName &Name, TimePoint Now);
  /// The turn after the organisation's latest one.
  /// Complexity: logarithmic in the number of organisations.
  Turn next(const OrganisationName &Name) const;
  /// Assigns a turn, as returned by next(), to a request of the organisation.
  void take(const OrganisationName &Name, const Turn &Taken);
  /// Takes the last turn back: a request of the organisation has left the queue
  /// without being sent. The caller moves the organisation's later turns.
  void giveBack(const OrganisationName &Name, const Turn &Given);
  /// A request with this turn was sent: organisations that begin to wait from
  /// now on start here.
  void sent(const Turn &Used);
  std::size_t size() const { return m_Flows.size(); }

private:
  struct Flow {
    /// Earliest start of the next turn.
    double m_Finish = 0;
    TimePoint m_Since;
    TimePoint m_LastArrival;
    /// Requests, weighted by age.
    double m_Recent = 0;
    /// Usual requests per second.
    double m_Weight = 0;
  };

  double measuredRate(const Flow &Subject, TimePoint Now) const;
  double meanWeight() const;
  void forgetOld(TimePoint Now);

  OrganisationTurnsOptions m_Options;
  std::map<OrganisationName, Flow> m_Flows;
  TimePoint m_Since;
  TimePoint m_NextSweep;
  /// Highest start of a turn that was used.
  double m_Present = 0;
};

} // namespace balsamwheel
