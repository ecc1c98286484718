// Finds requests that crash the targets that run them, and has them refused.
//
// Load pattern: one request comes again and again, at any instance, and ends
// each target that begins to run it, among many requests that do no harm and
// happen to run there at the same time.
//
// A suspect is a request that was running when its target crashed. Evidence
// counts again only for a run that began after the last crash was known, so
// targets that end together are one crash, and a request that has completed
// anywhere is no suspect any more. Performs no I/O and reads no clock.
#pragma once

#include "balsamwheel/detail/core/ids.h"
#include "balsamwheel/detail/core/time.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamwheel {

/// Identifies requests with the same host, method, path and body.
using RequestDigest = StrongId<struct RequestDigestTag, std::uint64_t>;

/// Complexity: linear in the texts.
RequestDigest digestOf(std::string_view Host, std::string_view Method,
                       std::string_view Path, std::string_view Body);

struct CrashSuspectsOptions {
  /// A request is refused after this many crashes.
  std::uint32_t m_CrashesUntilRefused = 3;
  /// How long after its last crash a request is refused.
  Duration m_RefusalTime = std::chrono::minutes(10);
  /// How long after its last crash a request with fewer crashes is a suspect.
  Duration m_SuspicionTime = std::chrono::minutes(2);
  /// Maximum number of suspects; the one whose last crash is the oldest, of
  /// those that aren't refused if there are any, gives way to a new one.
  std::size_t m_MaxSuspects = 2048;
};

/// A run that ended with the crash of its target.
struct CrashedRun {
  RequestDigest m_Digest;
  TimePoint m_StartedAt;
  TimePoint m_CrashedAt;
};

struct CrashSuspect {
  RequestDigest m_Digest;
  std::uint32_t m_Crashes = 0;
  TimePoint m_LastCrash;
};

/// Invariant: holds at most m_MaxSuspects requests. Not thread-safe.
class CrashSuspects {
public:
  explicit CrashSuspects(CrashSuspectsOptions Options) : m_Options(Options) {}

  /// \returns the number of crashes counted for the request.
  std::uint32_t recordCrash(const CrashedRun &Run, TimePoint Now);
  /// Records what a peer knows about a suspect.
  void merge(const CrashSuspect &Suspect, TimePoint Now);
  /// The request has completed.
  /// \returns whether it was a suspect.
  bool recordCompletion(RequestDigest Digest);

  bool isSuspect(RequestDigest Digest, TimePoint Now) const;
  /// How much longer the request is refused; none if it isn't.
  std::optional<Duration> refusedFor(RequestDigest Digest, TimePoint Now) const;
  /// The requests that are refused.
  std::vector<CrashSuspect> refused(TimePoint Now) const;
  std::size_t size() const { return m_Suspects.size(); }

private:
  struct Entry {
    std::uint32_t m_Crashes = 0;
    TimePoint m_LastCrash;
  };
  struct HashDigest {
    std::size_t operator()(RequestDigest Digest) const {
      return Digest.value();
    }
  };

  bool isRefused(const Entry &Each) const {
    return Each.m_Crashes >= m_Options.m_CrashesUntilRefused;
  }
  TimePoint expiry(const Entry &Each) const {
    return Each.m_LastCrash + (isRefused(Each) ? m_Options.m_RefusalTime
                                               : m_Options.m_SuspicionTime);
  }
  /// Returns the entry of a request; adds it if there is none.
  Entry &entryOf(RequestDigest Digest, TimePoint Now);
  void makeRoom(TimePoint Now);

  CrashSuspectsOptions m_Options;
  std::unordered_map<RequestDigest, Entry, HashDigest> m_Suspects;
};

} // namespace balsamwheel
