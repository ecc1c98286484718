// Sends one attempt of a request with libcurl and reads its answer.
#pragma once

#include "bench/core/load_plan.h"

#include <curl/curl.h>
#include <memory>

namespace balsamwheel::bench {

/// Reusable: call prepare(), run the handle to its end, then call finish().
class Call {
public:
  Call();
  ~Call();
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  /// Sets up the handle for the next attempt of a request.
  void prepare(RequestRecord &Record, const LoadStream &Stream,
               const std::string &Entrance, std::uint32_t EntranceIndex);
  /// Reads the answer of the finished handle.
  ///
  /// \param Direct whether the entrance is a target, whose answers with status
  /// 200 count as done.
  Attempt finish(CURLcode Result, bool Direct);

  CURL *handle() const { return m_Handle; }
  RequestRecord &record() const { return *m_Record; }
  /// "host:port" of the owner, from the answer; empty when it names none.
  const std::string &ownerHint() const { return m_OwnerHint; }
  /// Delay before the next attempt that the answer asks for; 0 without one.
  Duration retryAfter() const { return m_RetryAfter; }

private:
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self);
  void setRequestHeaders(const LoadStream &Stream);
  void readHeader(std::string_view Line);
  void readRefusal(Attempt &Result);

  CURL *m_Handle;
  curl_slist *m_Headers = nullptr;
  RequestRecord *m_Record = nullptr;
  std::uint32_t m_Entrance = 0;
  TimePoint m_Sent;
  std::string m_RequestBody;
  std::string m_Body;
  std::string m_Outcome;
  std::string m_OwnerHint;
  Duration m_RetryAfter{0};
};

} // namespace balsamwheel::bench
