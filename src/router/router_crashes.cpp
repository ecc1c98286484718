// Exchange of what the daemons know about requests that crash targets.
#include "router.h"

#include <algorithm>

namespace balsamwheel {

namespace {

std::unique_ptr<link_wire::SuspectT> suspectToWire(RequestDigest Digest) {
  auto Result = std::make_unique<link_wire::SuspectT>();
  Result->digest = Digest.value();
  return Result;
}

LinkFrame refusedRequests(const CrashSuspects &Suspects, TimePoint Now) {
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::RefusedRequests;
  for (const CrashSuspect &Each : Suspects.refused(Now)) {
    auto Suspect = suspectToWire(Each.m_Digest);
    Suspect->crashes = Each.m_Crashes;
    Suspect->crashed_before = (Now - Each.m_LastCrash).count();
    Frame.suspects.push_back(std::move(Suspect));
  }
  return Frame;
}

} // namespace

void Router::recordCrash(const std::vector<CrashedRun> &Runs,
                         const InstanceName &Instance) {
  const TimePoint Now = m_Loop.now();
  m_Log.write(LogClass::StateChange,
              LogLine("target_crashed")
                  .add("instance", Instance.value())
                  .add("requests", static_cast<std::int64_t>(Runs.size())));
  for (const CrashedRun &Each : Runs) {
    const std::uint32_t Crashes = m_Suspects.recordCrash(Each, Now);
    if (Crashes < 2)
      continue;
    m_Log.write(
        LogClass::StateChange,
        LogLine("request_crashes_targets")
            .add("digest", std::to_string(Each.m_Digest.value()))
            .add("crashes", std::int64_t{Crashes})
            .add("refused_for", m_Suspects.refusedFor(Each.m_Digest, Now)
                                    .value_or(Duration::zero())));
  }
}

void Router::onTargetCrashed(const std::vector<CrashedRun> &Runs) {
  recordCrash(Runs, m_Settings.m_Instance);
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::CrashedRuns;
  for (const CrashedRun &Each : Runs) {
    auto Suspect = suspectToWire(Each.m_Digest);
    Suspect->started_before = (m_Loop.now() - Each.m_StartedAt).count();
    Suspect->crashed_before = (m_Loop.now() - Each.m_CrashedAt).count();
    Frame.suspects.push_back(std::move(Suspect));
  }
  m_Mesh.broadcast(Frame);
  // A peer may have heard of the crashes in another order and counted fewer. It
  // would let the request run, and no further crash here would tell it.
  LinkFrame Refused = refusedRequests(m_Suspects, m_Loop.now());
  std::erase_if(Refused.suspects, [&](const auto &Each) {
    return std::none_of(Runs.begin(), Runs.end(), [&](const CrashedRun &Run) {
      return Run.m_Digest.value() == Each->digest;
    });
  });
  if (!Refused.suspects.empty())
    m_Mesh.broadcast(Refused);
}

void Router::onSuspectCompleted(RequestDigest Digest) {
  if (!m_Suspects.recordCompletion(Digest))
    return;
  LinkFrame Frame;
  Frame.kind = LinkFrameKind::SuspectCompleted;
  Frame.digest = Digest.value();
  m_Mesh.broadcast(Frame);
}

void Router::sendRefusedRequests(std::uint64_t Link) {
  const LinkFrame Frame = refusedRequests(m_Suspects, m_Loop.now());
  if (!Frame.suspects.empty())
    m_Mesh.answer(Link, Frame, {});
}

void Router::handleSuspects(const InstanceName &Peer, const LinkFrame &Frame) {
  const TimePoint Now = m_Loop.now();
  if (Frame.kind == LinkFrameKind::SuspectCompleted) {
    m_Suspects.recordCompletion(RequestDigest(Frame.digest));
    return;
  }
  std::vector<CrashedRun> Runs;
  for (const auto &Each : Frame.suspects) {
    const RequestDigest Digest(Each->digest);
    const TimePoint CrashedAt = Now - Duration(Each->crashed_before);
    if (Frame.kind == LinkFrameKind::RefusedRequests)
      m_Suspects.merge({.m_Digest = Digest,
                        .m_Crashes = Each->crashes,
                        .m_LastCrash = CrashedAt},
                       Now);
    else
      Runs.push_back({.m_Digest = Digest,
                      .m_StartedAt = Now - Duration(Each->started_before),
                      .m_CrashedAt = CrashedAt});
  }
  if (Frame.kind == LinkFrameKind::CrashedRuns)
    recordCrash(Runs, Peer);
}

} // namespace balsamwheel
