// Counts the crashes at which requests were running.
#include "balsamwheel/detail/load/crash_suspects.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace balsamwheel {

RequestDigest digestOf(std::string_view Host, std::string_view Method,
                       std::string_view Path, std::string_view Body) {
  const auto Hash = [](std::string_view Text) {
    return XXH3_64bits(Text.data(), Text.size());
  };
  const std::array<std::uint64_t, 4> Parts{Hash(Host), Hash(Method), Hash(Path),
                                           Hash(Body)};
  return RequestDigest(XXH3_64bits(Parts.data(), sizeof(Parts)));
}

void CrashSuspects::makeRoom(TimePoint Now) {
  std::erase_if(m_Suspects,
                [&](const auto &Each) { return expiry(Each.second) <= Now; });
  if (m_Suspects.size() < m_Options.m_MaxSuspects)
    return;
  const auto Oldest = std::min_element(
      m_Suspects.begin(), m_Suspects.end(),
      [&](const auto &Left, const auto &Right) {
        return std::tuple(isRefused(Left.second), Left.second.m_LastCrash) <
               std::tuple(isRefused(Right.second), Right.second.m_LastCrash);
      });
  m_Suspects.erase(Oldest);
}

CrashSuspects::Entry &CrashSuspects::entryOf(RequestDigest Digest,
                                             TimePoint Now) {
  const auto Found = m_Suspects.find(Digest);
  if (Found != m_Suspects.end() && expiry(Found->second) > Now)
    return Found->second;
  if (Found != m_Suspects.end())
    m_Suspects.erase(Found);
  else
    makeRoom(Now);
  return m_Suspects[Digest];
}

std::uint32_t CrashSuspects::recordCrash(const CrashedRun &Run, TimePoint Now) {
  Entry &Known = entryOf(Run.m_Digest, Now);
  if (Known.m_Crashes == 0 || Run.m_StartedAt >= Known.m_LastCrash)
    ++Known.m_Crashes;
  Known.m_LastCrash = std::max(Known.m_LastCrash, Run.m_CrashedAt);
  return Known.m_Crashes;
}

void CrashSuspects::merge(const CrashSuspect &Suspect, TimePoint Now) {
  Entry &Known = entryOf(Suspect.m_Digest, Now);
  Known.m_Crashes = std::max(Known.m_Crashes, Suspect.m_Crashes);
  Known.m_LastCrash = std::max(Known.m_LastCrash, Suspect.m_LastCrash);
}

bool CrashSuspects::recordCompletion(RequestDigest Digest) {
  return m_Suspects.erase(Digest) > 0;
}

bool CrashSuspects::isSuspect(RequestDigest Digest, TimePoint Now) const {
  const auto Found = m_Suspects.find(Digest);
  return Found != m_Suspects.end() && expiry(Found->second) > Now;
}

std::optional<Duration> CrashSuspects::refusedFor(RequestDigest Digest,
                                                  TimePoint Now) const {
  const auto Found = m_Suspects.find(Digest);
  if (Found == m_Suspects.end() || !isRefused(Found->second) ||
      expiry(Found->second) <= Now)
    return std::nullopt;
  return expiry(Found->second) - Now;
}

std::vector<CrashSuspect> CrashSuspects::refused(TimePoint Now) const {
  std::vector<CrashSuspect> Result;
  for (const auto &[Digest, Each] : m_Suspects)
    if (isRefused(Each) && expiry(Each) > Now)
      Result.push_back({.m_Digest = Digest,
                        .m_Crashes = Each.m_Crashes,
                        .m_LastCrash = Each.m_LastCrash});
  return Result;
}

} // namespace balsamwheel
