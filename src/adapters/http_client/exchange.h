// One running transfer: its libcurl handle and the handle's callbacks.
#pragma once

#include "adapters/http_client/answer_head.h"
#include "adapters/http_client/transfer.h"

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace balsamwheel::http_client {

/// Owns a libcurl easy handle, which is reused for one transfer after another.
///
/// Invariant: at most one request is sent per begin(). When libcurl retries a
/// request by itself, the retry is aborted before its first byte.
class Exchange {
public:
  /// \param Resume makes the loop call resume() on its thread.
  explicit Exchange(std::function<void(Exchange &)> Resume);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Configures the handle. Call once per transfer, before adding it to the
  /// multi handle.
  void begin(Transfer Outgoing, long MaxIdleSeconds, TimePoint Now);
  /// Continues after a pause in either direction.
  void resume();
  /// Reports the end of the transfer and resets the exchange for the next one.
  void end(CURLcode Code, TimePoint Now);
  /// Marks the transfer as ended by cancel().
  void markCancelled() { m_Cancelled = true; }

  CURL *handle() const { return m_Easy; }
  TransferId id() const { return m_Transfer.m_Id; }

private:
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self);
  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self);
  static std::size_t onRead(char *Buffer, std::size_t Size, std::size_t Count,
                            void *Self);
  static int onBeforeRequest(void *Self, char *, char *, int, int);

  void setHeaders(TimePoint Now);
  void setBody();
  std::size_t acceptBody(std::string_view Bytes);
  bool beginStream();
  std::size_t writeStream(std::string_view Bytes);
  TransferEnd classify(CURLcode Code) const;
  void reset();

  CURL *m_Easy;
  std::function<void(Exchange &)> m_Resume;
  /// Lets pipe callbacks detect that the transfer has ended.
  std::shared_ptr<Exchange *> m_Alive;
  curl_slist *m_HeaderList = nullptr;
  Transfer m_Transfer;
  HttpAnswer m_Answer;
  AnswerHead m_Head;
  /// Carries the remainder of a long answer.
  runtime::BodyPipePtr m_Download;
  /// Bytes of the inline part of the body that were sent.
  std::size_t m_PrefixSent = 0;
  TimePoint m_StartTime;
  /// Number of times that libcurl was allowed to send the request: 0 or 1.
  unsigned m_SendCount = 0;
  bool m_Cancelled = false;
};

} // namespace balsamwheel::http_client
