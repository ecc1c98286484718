// Request headers of a caller, and the classification of answers.
#include "bench/core/call.h"

#include "bench/core/clock.h"
#include "bench/core/payload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsamwheel::bench {

namespace {

/// An attempt is abandoned this long after its deadline.
constexpr Duration DeadlineSlack = std::chrono::milliseconds(500);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);

long toMillis(Duration Value) {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

std::string toLower(std::string_view Text) {
  std::string Lower(Text);
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  return Lower;
}

Answer answerFromName(const std::string &Name) {
  if (Name == "done")
    return Answer::Done;
  if (Name == "not_run")
    return Answer::NotRun;
  if (Name == "outcome_unknown")
    return Answer::Unknown;
  if (Name == "wait")
    return Answer::Wait;
  return Answer::Malformed;
}

} // namespace

Call::Call() : m_Handle(curl_easy_init()) {}

Call::~Call() {
  curl_easy_cleanup(m_Handle);
  curl_slist_free_all(m_Headers);
}

void Call::prepare(RequestRecord &Record, const LoadStream &Stream,
                   const std::string &Entrance, std::uint32_t EntranceIndex) {
  m_Record = &Record;
  m_Entrance = EntranceIndex;
  m_Sent = now();
  m_Body.clear();
  m_Outcome.clear();
  m_OwnerHint.clear();
  m_RetryAfter = Duration::zero();
  m_RequestBody.assign(Stream.m_BodySize, 'x');
  curl_easy_reset(m_Handle);
  const std::string Url =
      "http://" + Entrance + Stream.m_Path + "/" + Record.m_Key;
  curl_easy_setopt(m_Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(m_Handle, CURLOPT_CUSTOMREQUEST, Stream.m_Method.c_str());
  curl_easy_setopt(m_Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(m_Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   toMillis(ConnectTimeout));
  curl_easy_setopt(m_Handle, CURLOPT_TIMEOUT_MS,
                   toMillis(Stream.m_Deadline + DeadlineSlack));
  curl_easy_setopt(m_Handle, CURLOPT_WRITEFUNCTION, &Call::onBody);
  curl_easy_setopt(m_Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_Handle, CURLOPT_HEADERFUNCTION, &Call::onHeader);
  curl_easy_setopt(m_Handle, CURLOPT_HEADERDATA, this);
  if (Stream.m_Method != "GET") {
    curl_easy_setopt(m_Handle, CURLOPT_POSTFIELDS, m_RequestBody.data());
    curl_easy_setopt(m_Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_RequestBody.size()));
  }
  setRequestHeaders(Stream);
}

void Call::setRequestHeaders(const LoadStream &Stream) {
  curl_slist_free_all(m_Headers);
  m_Headers = nullptr;
  const auto Add = [this](const std::string &Name, const std::string &Value) {
    m_Headers = curl_slist_append(m_Headers, (Name + ": " + Value).c_str());
  };
  Add("Balsamwheel-Service", Stream.m_Service);
  Add("Balsamwheel-Class", Stream.m_Class);
  Add("Balsamwheel-Request-Id", m_Record->m_Id);
  Add("Balsamwheel-Deadline-Ms", std::to_string(toMillis(Stream.m_Deadline)));
  Add("Balsamwheel-Attempt", std::to_string(m_Record->m_Attempts.size() + 1));
  if (Stream.m_Keyed)
    Add("Balsamwheel-Key", m_Record->m_Key);
  if (!m_Record->m_Attempts.empty()) {
    const Duration Age = m_Sent - m_Record->m_Attempts.front().m_Sent;
    Add("Balsamwheel-First-Attempt-Age-Ms", std::to_string(toMillis(Age) + 1));
  }
  m_Headers = curl_slist_append(m_Headers, "Expect:");
  curl_easy_setopt(m_Handle, CURLOPT_HTTPHEADER, m_Headers);
}

std::size_t Call::onBody(char *Data, std::size_t Size, std::size_t Count,
                         void *Self) {
  static_cast<Call *>(Self)->m_Body.append(Data, Size * Count);
  return Size * Count;
}

std::size_t Call::onHeader(char *Data, std::size_t Size, std::size_t Count,
                           void *Self) {
  static_cast<Call *>(Self)->readHeader({Data, Size * Count});
  return Size * Count;
}

void Call::readHeader(std::string_view Line) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  const std::string Name = toLower(Line.substr(0, Colon));
  std::string_view Value = Line.substr(Colon + 1);
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  while (!Value.empty() && (Value.back() == '\n' || Value.back() == '\r'))
    Value.remove_suffix(1);
  if (Name == "balsamwheel-outcome")
    m_Outcome = Value;
  else if (Name == "balsamwheel-owner")
    m_OwnerHint = Value;
}

Attempt Call::finish(CURLcode Result, bool Direct) {
  Attempt Finished;
  Finished.m_Sent = m_Sent;
  Finished.m_End = now();
  Finished.m_Entrance = m_Entrance;
  if (Result == CURLE_COULDNT_CONNECT) {
    Finished.m_Answer = Answer::NoConnection;
    return Finished;
  }
  if (Result != CURLE_OK) {
    Finished.m_Answer = Answer::Broken;
    Finished.m_Reason = curl_easy_strerror(Result);
    return Finished;
  }
  long Status = 0;
  curl_easy_getinfo(m_Handle, CURLINFO_RESPONSE_CODE, &Status);
  Finished.m_Status = static_cast<std::uint16_t>(Status);
  Finished.m_Answer =
      Direct && Status == 200 ? Answer::Done : answerFromName(m_Outcome);
  if (Finished.m_Answer == Answer::Done)
    Finished.m_BodyIntact = isIntactPayload(m_Body, m_Record->m_Id);
  else
    readRefusal(Finished);
  return Finished;
}

void Call::readRefusal(Attempt &Result) {
  const auto Body = nlohmann::json::parse(m_Body, nullptr, false);
  if (!Body.is_object())
    return;
  Result.m_Reason = Body.value("reason", "");
  m_RetryAfter = std::chrono::milliseconds(Body.value("retry_after_ms", 0));
}

} // namespace balsamwheel::bench
