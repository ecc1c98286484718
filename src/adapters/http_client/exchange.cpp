// Configures a libcurl handle and passes headers and bodies through it.
#include "adapters/http_client/exchange.h"

#include "runtime/boot_clock.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace balsamwheel::http_client {

namespace {

std::optional<std::uint64_t> contentLength(CURL *Easy) {
  curl_off_t Length = -1;
  curl_easy_getinfo(Easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &Length);
  if (Length < 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(Length);
}

} // namespace

Exchange::Exchange(std::function<void(Exchange &)> Resume)
    : m_Easy(curl_easy_init()), m_Resume(std::move(Resume)) {
  curl_easy_setopt(m_Easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(m_Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(m_Easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(m_Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_Easy, CURLOPT_BUFFERSIZE, 64L * 1024L);
  curl_easy_setopt(m_Easy, CURLOPT_HEADERFUNCTION, &Exchange::onHeader);
  curl_easy_setopt(m_Easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_Easy, CURLOPT_WRITEFUNCTION, &Exchange::onBody);
  curl_easy_setopt(m_Easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_Easy, CURLOPT_READFUNCTION, &Exchange::onRead);
  curl_easy_setopt(m_Easy, CURLOPT_READDATA, this);
  curl_easy_setopt(m_Easy, CURLOPT_PREREQFUNCTION, &Exchange::onBeforeRequest);
  curl_easy_setopt(m_Easy, CURLOPT_PREREQDATA, this);
}

Exchange::~Exchange() {
  reset();
  curl_easy_cleanup(m_Easy);
}

void Exchange::begin(Transfer Outgoing, long MaxIdleSeconds, TimePoint Now) {
  m_Transfer = std::move(Outgoing);
  m_StartTime = Now;
  m_Alive = std::make_shared<Exchange *>(this);
  const auto Left =
      std::chrono::ceil<std::chrono::milliseconds>(m_Transfer.m_Deadline - Now);
  curl_easy_setopt(m_Easy, CURLOPT_URL, m_Transfer.m_Url.c_str());
  curl_easy_setopt(m_Easy, CURLOPT_TIMEOUT_MS,
                   std::max(1L, static_cast<long>(Left.count())));
  curl_easy_setopt(m_Easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
  setBody();
  setHeaders(Now);
}

void Exchange::setBody() {
  curl_easy_setopt(m_Easy, CURLOPT_HTTPGET, 1L);
  if (m_Transfer.m_Upload) {
    curl_easy_setopt(m_Easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(m_Easy, CURLOPT_INFILESIZE_LARGE,
                     static_cast<curl_off_t>(m_Transfer.m_BodyLength));
  } else if (!m_Transfer.m_Body.empty() || m_Transfer.m_Method == "POST" ||
             m_Transfer.m_Method == "PUT") {
    curl_easy_setopt(m_Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(m_Easy, CURLOPT_POSTFIELDS, m_Transfer.m_Body.data());
    curl_easy_setopt(m_Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_Transfer.m_Body.size()));
  } else if (m_Transfer.m_Method == "HEAD") {
    curl_easy_setopt(m_Easy, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(m_Easy, CURLOPT_CUSTOMREQUEST, m_Transfer.m_Method.c_str());
}

void Exchange::setHeaders(TimePoint Now) {
  curl_slist *List = nullptr;
  for (const std::string &Line : m_Transfer.m_Headers)
    List = curl_slist_append(List, Line.c_str());
  // Suppress the headers that libcurl adds by default.
  for (const char *Name : {"Accept:", "Expect:", "Content-Type:"}) {
    const std::size_t Size = std::strlen(Name);
    const bool Given =
        std::any_of(m_Transfer.m_Headers.begin(), m_Transfer.m_Headers.end(),
                    [Name, Size](const std::string &Line) {
                      return strncasecmp(Line.c_str(), Name, Size) == 0;
                    });
    if (!Given)
      List = curl_slist_append(List, Name);
  }
  if (!m_Transfer.m_DeadlineHeader.empty()) {
    const auto Left = std::chrono::floor<std::chrono::milliseconds>(
        m_Transfer.m_Deadline - Now);
    const std::string Line =
        m_Transfer.m_DeadlineHeader + ": " + std::to_string(Left.count());
    List = curl_slist_append(List, Line.c_str());
  }
  m_HeaderList = List;
  curl_easy_setopt(m_Easy, CURLOPT_HTTPHEADER, m_HeaderList);
}

void Exchange::resume() { curl_easy_pause(m_Easy, CURLPAUSE_CONT); }

int Exchange::onBeforeRequest(void *Self, char *, char *, int, int) {
  Exchange &This = *static_cast<Exchange *>(Self);
  // libcurl calls this again when it retries the request on a new connection.
  if (This.m_SendCount > 0)
    return CURL_PREREQFUNC_ABORT;
  const TimePoint Now = runtime::bootNow();
  if (Now >= This.m_Transfer.m_Deadline ||
      Now - This.m_StartTime > This.m_Transfer.m_MaxSendDelay)
    return CURL_PREREQFUNC_ABORT;
  This.m_SendCount = 1;
  return CURL_PREREQFUNC_OK;
}

std::size_t Exchange::onHeader(char *Data, std::size_t Size, std::size_t Count,
                               void *Self) {
  auto &This = *static_cast<Exchange *>(Self);
  // 0 makes libcurl fail the transfer and close the connection.
  return This.m_Head.addLine({Data, Size * Count}) ? Size * Count : 0;
}

std::size_t Exchange::onBody(char *Data, std::size_t Size, std::size_t Count,
                             void *Self) {
  return static_cast<Exchange *>(Self)->acceptBody({Data, Size * Count});
}

std::size_t Exchange::acceptBody(std::string_view Bytes) {
  if (m_Download)
    return writeStream(Bytes);
  const std::size_t Total = m_Answer.m_Body.size() + Bytes.size();
  if (!m_Transfer.m_MakePipe && Total > m_Transfer.m_MaxBodyBytes)
    return 0;
  if (!m_Transfer.m_MakePipe || Total <= InlineBodyLimit) {
    if (m_Answer.m_Body.empty())
      m_Answer.m_Body.reserve(
          std::min(contentLength(m_Easy).value_or(0), InlineBodyLimit));
    m_Answer.m_Body.append(Bytes);
    return Bytes.size();
  }
  return beginStream() ? writeStream(Bytes) : 0;
}

bool Exchange::beginStream() {
  const std::optional<std::uint64_t> Length = contentLength(m_Easy);
  m_Download = m_Transfer.m_MakePipe(m_Answer.m_Body, Length);
  if (!m_Download)
    return false;
  long Status = 0;
  curl_easy_getinfo(m_Easy, CURLINFO_RESPONSE_CODE, &Status);
  m_Answer.m_Status = static_cast<std::uint16_t>(Status);
  m_Answer.m_Headers = m_Head.takeFields();
  m_Answer.m_BodyLength = Length.value_or(0);
  m_Answer.m_BodyStream = m_Download->id();
  m_Transfer.m_OnAnswerHead(std::exchange(m_Answer, {}));
  return true;
}

std::size_t Exchange::writeStream(std::string_view Bytes) {
  while (!m_Download->tryWrite(Bytes)) {
    const bool Waiting = m_Download->notifyWritable(
        [Resume = m_Resume, Alive = std::weak_ptr(m_Alive)] {
          if (const auto Self = Alive.lock())
            Resume(**Self);
        });
    if (Waiting)
      return CURL_WRITEFUNC_PAUSE;
  }
  // The transfer ends if the reader has abandoned the pipe.
  return m_Download->state() == runtime::PipeState::Failed ? 0 : Bytes.size();
}

std::size_t Exchange::onRead(char *Buffer, std::size_t Size, std::size_t Count,
                             void *Self) {
  Exchange &This = *static_cast<Exchange *>(Self);
  const std::size_t Capacity = Size * Count;
  const std::string &Prefix = This.m_Transfer.m_Body;
  if (This.m_PrefixSent < Prefix.size()) {
    const std::size_t Part =
        std::min(Capacity, Prefix.size() - This.m_PrefixSent);
    Prefix.copy(Buffer, Part, This.m_PrefixSent);
    This.m_PrefixSent += Part;
    return Part;
  }
  runtime::BodyPipe &Source = *This.m_Transfer.m_Upload;
  for (;;) {
    const std::size_t Part = Source.read(Buffer, Capacity);
    if (Part > 0)
      return Part;
    if (Source.state() == runtime::PipeState::Ended)
      return 0;
    if (Source.state() == runtime::PipeState::Failed)
      return CURL_READFUNC_ABORT;
    const bool Waiting = Source.notifyReadable(
        [Resume = This.m_Resume, Alive = std::weak_ptr(This.m_Alive)] {
          if (const auto Self = Alive.lock())
            Resume(**Self);
        });
    if (Waiting)
      return CURL_READFUNC_PAUSE;
  }
}

TransferEnd Exchange::classify(CURLcode Code) const {
  if (Code == CURLE_OK)
    return TransferEnd::Answered;
  if (m_SendCount == 0)
    return TransferEnd::NotSent;
  if (m_Cancelled)
    return TransferEnd::Cancelled;
  return Code == CURLE_OPERATION_TIMEDOUT ? TransferEnd::TimedOut
                                          : TransferEnd::Broken;
}

void Exchange::end(CURLcode Code, TimePoint Now) {
  TransferResult Result;
  Result.m_End = classify(Code);
  Result.m_Latency = Now - m_StartTime;
  if (m_Download) {
    if (Result.m_End == TransferEnd::Answered)
      m_Download->finish();
    else
      m_Download->fail();
  }
  if (Result.m_End == TransferEnd::Answered) {
    long Status = 0;
    curl_easy_getinfo(m_Easy, CURLINFO_RESPONSE_CODE, &Status);
    Result.m_Answer = std::move(m_Answer);
    Result.m_Answer.m_Headers = m_Head.takeFields();
    Result.m_Answer.m_Status = static_cast<std::uint16_t>(Status);
    Result.m_Answer.m_BodyLength = Result.m_Answer.m_Body.size();
    Result.m_Answer.m_BodyHash = runtime::bodyHash(Result.m_Answer.m_Body);
  }
  if (m_Transfer.m_Upload && Result.m_End != TransferEnd::Answered)
    m_Transfer.m_Upload->fail();
  auto Report = std::move(m_Transfer.m_OnEnd);
  reset();
  if (Report)
    Report(std::move(Result));
}

void Exchange::reset() {
  m_Alive.reset();
  curl_slist_free_all(m_HeaderList);
  m_HeaderList = nullptr;
  m_Transfer = Transfer();
  m_Answer = HttpAnswer();
  m_Head = AnswerHead();
  m_Download.reset();
  m_PrefixSent = 0;
  m_SendCount = 0;
  m_Cancelled = false;
}

} // namespace balsamwheel::http_client
