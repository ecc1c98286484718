// Builds responses with a complete or a streamed body.
#include "adapters/caller_http/answer.h"

#include "core/http_syntax.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace balsamwheel::caller_http {

namespace {

constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusNotFound = 404;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::uint16_t StatusTimeout = 504;
constexpr std::size_t StreamBlockBytes = std::size_t{64} * 1024;
constexpr std::string_view BalsamwheelHeaderPrefix = "Balsamwheel-";

/// Hop-by-hop headers, and headers that the server sets itself.
constexpr std::array<std::string_view, 8> HopByHopHeaders{
    "Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "Content-Length", "Trailer",    "Upgrade",          "Date"};

bool isEndToEnd(std::string_view Name) {
  if (isSameName(Name.substr(0, BalsamwheelHeaderPrefix.size()),
                 BalsamwheelHeaderPrefix))
    return false;
  return std::none_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [Name](std::string_view Other) { return isSameName(Name, Other); });
}

void addHeader(MHD_Response *Response, const char *Name,
               const std::string &Value) {
  if (!Value.empty())
    MHD_add_response_header(Response, Name, Value.c_str());
}

void addTargetHeaders(MHD_Response *Response, const AnswerCaller &Answer,
                      const RequestId &Id) {
  for (const auto &[Name, Value] : Answer.m_Http.m_Headers)
    if (isEndToEnd(Name))
      addHeader(Response, Name.c_str(), Value);
  addHeader(Response, "Balsamwheel-Outcome",
            std::string(toString(Answer.m_Outcome)));
  addHeader(Response, "Balsamwheel-Owner", Answer.m_OwnerHint);
  addHeader(Response, "Balsamwheel-Request-Id", Id.value());
}

void freeString(void *Owned) { delete static_cast<std::string *>(Owned); }

MHD_Response *responseFromString(std::string Body) {
  auto *Owned = new std::string(std::move(Body));
  return MHD_create_response_from_buffer_with_free_callback_cls(
      Owned->size(), Owned->data(), &freeString, Owned);
}

/// Reads the inline part of a body first, then the pipe.
struct StreamReader {
  std::string m_Prefix;
  std::size_t m_PrefixRead = 0;
  runtime::BodyPipePtr m_Rest;
  MHD_Connection *m_Connection = nullptr;
};

/// Resets a connection. A caller of HTTP/1.0 would take its orderly end for
/// that of an answer without a length.
/// \returns whether it was reset.
bool resetConnection(MHD_Connection *Connection) {
  const MHD_ConnectionInfo *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  // Unlike SO_LINGER, takes effect although libmicrohttpd ends the output
  // before it closes the socket.
  sockaddr Unspecified{};
  Unspecified.sa_family = AF_UNSPEC;
  return Info != nullptr &&
         ::connect(Info->connect_fd, &Unspecified, sizeof Unspecified) == 0;
}

ssize_t readStream(void *State, std::uint64_t, char *Buffer,
                   std::size_t Capacity) {
  auto &Reader = *static_cast<StreamReader *>(State);
  const std::size_t Left = Reader.m_Prefix.size() - Reader.m_PrefixRead;
  if (Left > 0) {
    const std::size_t Part = std::min(Capacity, Left);
    Reader.m_Prefix.copy(Buffer, Part, Reader.m_PrefixRead);
    Reader.m_PrefixRead += Part;
    return static_cast<ssize_t>(Part);
  }
  const std::size_t Part = Reader.m_Rest->read(Buffer, Capacity);
  if (Part > 0)
    return static_cast<ssize_t>(Part);
  switch (Reader.m_Rest->state()) {
  case runtime::PipeState::Ended:
    return MHD_CONTENT_READER_END_OF_STREAM;
  case runtime::PipeState::Failed:
    resetConnection(Reader.m_Connection);
    return MHD_CONTENT_READER_END_WITH_ERROR;
  case runtime::PipeState::Open:
    break;
  }
  MHD_Connection *Connection = Reader.m_Connection;
  MHD_suspend_connection(Connection);
  if (!Reader.m_Rest->notifyReadable(
          [Connection] { MHD_resume_connection(Connection); }))
    MHD_resume_connection(Connection);
  return 0;
}

void freeStream(void *State) {
  const std::unique_ptr<StreamReader> Reader(
      static_cast<StreamReader *>(State));
  Reader->m_Rest->abandon();
}

} // namespace

std::uint16_t statusOf(Outcome Value, Reason Cause) {
  if (Cause == Reason::BadRequest)
    return StatusBadRequest;
  if (Cause == Reason::UnknownService)
    return StatusNotFound;
  return Value == Outcome::Unknown ? StatusTimeout : StatusUnavailable;
}

std::string problemBody(const Problem &Value) {
  const auto Wait =
      std::chrono::ceil<std::chrono::milliseconds>(Value.m_RetryAfter);
  nlohmann::json Body{{"outcome", toString(Value.m_Outcome)},
                      {"reason", toString(Value.m_Reason)},
                      {"request_id", Value.m_Id.value()},
                      {"retry_after_ms", Wait.count()}};
  if (!Value.m_Detail.empty())
    Body["detail"] = Value.m_Detail;
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

ResponsePtr makeProblemResponse(const Problem &Value) {
  ResponsePtr Result(responseFromString(problemBody(Value)));
  addHeader(Result.get(), "Content-Type", "application/json");
  addHeader(Result.get(), "Balsamwheel-Outcome",
            std::string(toString(Value.m_Outcome)));
  addHeader(Result.get(), "Balsamwheel-Request-Id", Value.m_Id.value());
  if (Value.m_RetryAfter > Duration::zero()) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(Value.m_RetryAfter);
    addHeader(Result.get(), "Retry-After", std::to_string(Seconds.count()));
  }
  return Result;
}

ResponsePtr makeCompleteResponse(AnswerCaller Answer, const RequestId &Id) {
  ResponsePtr Result(responseFromString(std::move(Answer.m_Http.m_Body)));
  addTargetHeaders(Result.get(), Answer, Id);
  return Result;
}

ResponsePtr makeStreamedResponse(AnswerCaller Answer, const RequestId &Id,
                                 MHD_Connection *Connection,
                                 runtime::BodyPipePtr Rest) {
  const std::uint64_t Length = Answer.m_Http.m_BodyLength;
  auto *Reader = new StreamReader{.m_Prefix = std::move(Answer.m_Http.m_Body),
                                  .m_Rest = std::move(Rest),
                                  .m_Connection = Connection};
  ResponsePtr Result(MHD_create_response_from_callback(
      Length > 0 ? Length : MHD_SIZE_UNKNOWN, StreamBlockBytes, &readStream,
      Reader, &freeStream));
  addTargetHeaders(Result.get(), Answer, Id);
  return Result;
}

} // namespace balsamwheel::caller_http
