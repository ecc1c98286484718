// Implements the caller server on libmicrohttpd.
#include "adapters/caller_http/caller_server.h"

#include "adapters/caller_http/answer.h"
#include "adapters/caller_http/caller_exchange.h"
#include "adapters/http_server/listen_address.h"
#include "runtime/boot_clock.h"

#include <atomic>
#include <cstdio>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <variant>

namespace balsamwheel::caller_http {

namespace {

constexpr std::uint16_t StatusLengthRequired = 411;
/// Retry time sent to callers when the daemon's event queue is full.
constexpr Duration BusyRetryAfter = std::chrono::milliseconds(100);

MHD_Result addHeaderValue(void *Output, MHD_ValueKind, const char *Name,
                          const char *Value) {
  static_cast<RequestHead *>(Output)->m_Headers.emplace_back(
      Name, Value != nullptr ? Value : "");
  return MHD_YES;
}

} // namespace

class CallerServer::Impl {
public:
  Impl(CallerServerOptions Options, CallerHandlers Handlers)
      : m_Options(std::move(Options)), m_Handlers(std::move(Handlers)) {}

  ~Impl() { stop(); }

  std::error_code start();
  void answer(AnswerCaller Answer, runtime::BodyPipePtr Rest);
  void stopListening();
  void stop();
  std::uint16_t port() const;

  void closeAfterAnswers() { m_CloseAfterAnswers = true; }

  std::size_t openRequests() const {
    const std::scoped_lock Lock(m_Mutex);
    return m_Open.size();
  }

private:
  static void *onUri(void *Self, const char *Uri, MHD_Connection *) {
    return static_cast<Impl *>(Self)->open(Uri);
  }
  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *, const char *Method, const char *,
                             const char *Data, std::size_t *Size,
                             void **State) {
    auto &Exchange = *static_cast<CallerExchange *>(*State);
    auto &This = *static_cast<Impl *>(Self);
    if (!Exchange.m_HeadRead)
      return This.readHead(Exchange, Connection, Method);
    if (*Size > 0)
      return This.readBody(Exchange, {Data, *Size}, *Size);
    return This.finishRequest(Exchange);
  }
  static void onCompleted(void *Self, MHD_Connection *, void **State,
                          MHD_RequestTerminationCode Code) {
    auto *Exchange =
        static_cast<CallerExchange *>(std::exchange(*State, nullptr));
    if (Exchange != nullptr)
      static_cast<Impl *>(Self)->close(*Exchange, Code);
  }

  CallerExchange *open(const char *Uri);
  void close(CallerExchange &Exchange, MHD_RequestTerminationCode Code);
  MHD_Result readHead(CallerExchange &Exchange, MHD_Connection *Connection,
                      const char *Method);
  MHD_Result readBody(CallerExchange &Exchange, std::string_view Data,
                      std::size_t &Remaining);
  bool startUpload(CallerExchange &Exchange);
  MHD_Result finishRequest(CallerExchange &Exchange);
  /// Returns false without suspending if the answer has already arrived.
  static bool suspendUntilAnswer(CallerExchange &Exchange);
  void submitRequest(CallerExchange &Exchange);
  MHD_Result refuse(CallerExchange &Exchange, const Refusal &Cause);
  MHD_Result refuseHead(CallerExchange &Exchange, const Refusal &Cause);
  MHD_Result respond(CallerExchange &Exchange);
  MHD_Result queue(CallerExchange &Exchange, unsigned Status,
                   const ResponsePtr &Response);
  RequestId generateId(const CallerExchange &Exchange) const;
  std::shared_ptr<CallerExchange> find(RequestHandle Handle) const;

  const CallerServerOptions m_Options;
  const CallerHandlers m_Handlers;
  MHD_Daemon *m_Daemon = nullptr;
  std::atomic<bool> m_CloseAfterAnswers{false};
  std::atomic<bool> m_Stopping{false};
  std::uint64_t m_LastHandle = 0;
  mutable std::mutex m_Mutex;
  std::unordered_map<RequestHandle, std::shared_ptr<CallerExchange>> m_Open;
};

std::error_code CallerServer::Impl::start() {
  const auto Address = http_server::parseListenAddress(m_Options.m_Listen);
  if (!Address)
    return std::make_error_code(std::errc::invalid_argument);
  m_Daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr,
      nullptr, &Impl::onAccess, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<const sockaddr *>(&*Address),
      MHD_OPTION_CONNECTION_LIMIT, m_Options.m_MaxConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_Options.m_ConnectionMemory,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(m_Options.m_IdleTimeout.count()),
      MHD_OPTION_URI_LOG_CALLBACK, &Impl::onUri, this,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, this,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
  if (m_Daemon == nullptr)
    return std::make_error_code(std::errc::address_in_use);
  return {};
}

std::uint16_t CallerServer::Impl::port() const {
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(m_Daemon, MHD_DAEMON_INFO_BIND_PORT);
  return Info != nullptr ? Info->port : 0;
}

void CallerServer::Impl::stopListening() {
  const MHD_socket Socket = MHD_quiesce_daemon(m_Daemon);
  if (Socket != MHD_INVALID_SOCKET)
    ::close(Socket);
}

void CallerServer::Impl::stop() {
  if (m_Daemon == nullptr)
    return;
  m_Stopping = true;
  std::vector<std::shared_ptr<CallerExchange>> OpenExchanges;
  {
    const std::scoped_lock Lock(m_Mutex);
    for (const auto &[Handle, Exchange] : m_Open)
      OpenExchanges.push_back(Exchange);
  }
  // libmicrohttpd must not be stopped while connections are suspended.
  for (const auto &Exchange : OpenExchanges) {
    if (Exchange->m_Upload)
      Exchange->m_Upload->fail();
    const std::scoped_lock Lock(Exchange->m_Mutex);
    if (Exchange->m_Download)
      Exchange->m_Download->fail();
    if (std::exchange(Exchange->m_AwaitingAnswer, false))
      MHD_resume_connection(Exchange->m_Connection);
  }
  MHD_stop_daemon(std::exchange(m_Daemon, nullptr));
}

CallerExchange *CallerServer::Impl::open(const char *Uri) {
  auto Exchange = std::make_shared<CallerExchange>();
  Exchange->m_Handle = RequestHandle(++m_LastHandle);
  Exchange->m_Head.m_RequestTarget = Uri;
  CallerExchange *Result = Exchange.get();
  const std::scoped_lock Lock(m_Mutex);
  m_Open.emplace(Result->m_Handle, std::move(Exchange));
  return Result;
}

void CallerServer::Impl::close(CallerExchange &Exchange,
                               MHD_RequestTerminationCode Code) {
  const RequestHandle Handle = Exchange.m_Handle;
  const bool Unanswered = Exchange.m_Submitted && !Exchange.m_Responded;
  if (Exchange.m_Upload && Code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    Exchange.m_Upload->fail();
  {
    const std::scoped_lock Lock(m_Mutex);
    m_Open.erase(Handle);
  }
  if (Unanswered)
    m_Handlers.m_OnCallerDisconnected(Handle);
}

std::shared_ptr<CallerExchange>
CallerServer::Impl::find(RequestHandle Handle) const {
  const std::scoped_lock Lock(m_Mutex);
  const auto Found = m_Open.find(Handle);
  return Found != m_Open.end() ? Found->second : nullptr;
}

RequestId CallerServer::Impl::generateId(const CallerExchange &Exchange) const {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%016llx-%llx",
                static_cast<unsigned long long>(m_Options.m_Session),
                static_cast<unsigned long long>(Exchange.m_Handle.value()));
  return RequestId(Text);
}

MHD_Result CallerServer::Impl::readHead(CallerExchange &Exchange,
                                        MHD_Connection *Connection,
                                        const char *Method) {
  Exchange.m_HeadRead = true;
  Exchange.m_Connection = Connection;
  RequestHead &Head = Exchange.m_Head;
  Head.m_Method = Method;
  MHD_get_connection_values(Connection, MHD_HEADER_KIND, &addHeaderValue,
                            &Head);
  if (const char *Key =
          MHD_lookup_connection_value(Connection, MHD_GET_ARGUMENT_KIND, "key"))
    Head.m_QueryKey = Key;
  const std::shared_ptr<const Config> ActiveConfig = m_Handlers.m_Config();
  auto Parsed = parseRequest(Head, ActiveConfig.get(), generateId(Exchange));
  if (const auto *Cause = std::get_if<Refusal>(&Parsed))
    return refuseHead(Exchange, *Cause);
  Exchange.m_Parsed = std::get<ParsedRequest>(std::move(Parsed));
  return MHD_YES;
}

MHD_Result CallerServer::Impl::refuseHead(CallerExchange &Exchange,
                                          const Refusal &Cause) {
  // libmicrohttpd closes the connection after a response that is queued before
  // the request is complete. For a request without a body, the response is
  // therefore delayed until then, which keeps the connection usable.
  if (MHD_lookup_connection_value(Exchange.m_Connection, MHD_HEADER_KIND,
                                  "Content-Length") != nullptr ||
      MHD_lookup_connection_value(Exchange.m_Connection, MHD_HEADER_KIND,
                                  "Transfer-Encoding") != nullptr)
    return refuse(Exchange, Cause);
  Exchange.m_Refusal = Cause;
  return MHD_YES;
}

MHD_Result CallerServer::Impl::readBody(CallerExchange &Exchange,
                                        std::string_view Data,
                                        std::size_t &Remaining) {
  if (Exchange.m_Refusal) {
    Remaining = 0;
    return MHD_YES;
  }
  if (!Exchange.m_Upload &&
      Exchange.m_Body.size() + Data.size() <= InlineBodyLimit) {
    Exchange.m_Body.append(Data);
    Remaining = 0;
    return MHD_YES;
  }
  if (!Exchange.m_Upload && !startUpload(Exchange)) {
    Remaining = 0;
    return MHD_YES;
  }
  if (Exchange.m_Upload->tryWrite(Data)) {
    Remaining = 0;
    return MHD_YES;
  }
  MHD_Connection *Connection = Exchange.m_Connection;
  MHD_suspend_connection(Connection);
  if (!Exchange.m_Upload->notifyWritable(
          [Connection] { MHD_resume_connection(Connection); }))
    MHD_resume_connection(Connection);
  return MHD_YES;
}

bool CallerServer::Impl::startUpload(CallerExchange &Exchange) {
  if (!Exchange.m_Parsed.m_BodyLength) {
    Exchange.m_Refusal =
        Refusal{.m_Status = StatusLengthRequired,
                .m_Detail = "a long body needs its Content-Length"};
    return false;
  }
  Exchange.m_Upload =
      m_Handlers.m_MakePipe(Exchange.m_Body, Exchange.m_Parsed.m_BodyLength);
  submitRequest(Exchange);
  return true;
}

MHD_Result CallerServer::Impl::finishRequest(CallerExchange &Exchange) {
  if (m_Stopping)
    return MHD_NO;
  if (Exchange.m_Refusal)
    return refuse(Exchange, *Exchange.m_Refusal);
  if (Exchange.m_Upload)
    Exchange.m_Upload->finish();
  if (suspendUntilAnswer(Exchange)) {
    if (!Exchange.m_Submitted)
      submitRequest(Exchange);
    return MHD_YES;
  }
  return respond(Exchange);
}

bool CallerServer::Impl::suspendUntilAnswer(CallerExchange &Exchange) {
  const std::scoped_lock Lock(Exchange.m_Mutex);
  if (Exchange.m_Answer)
    return false;
  MHD_suspend_connection(Exchange.m_Connection);
  Exchange.m_AwaitingAnswer = true;
  return true;
}

void CallerServer::Impl::submitRequest(CallerExchange &Exchange) {
  Exchange.m_Submitted = true;
  const RequestHandle Handle = Exchange.m_Handle;
  IncomingRequest Request;
  Request.m_Handle = Handle;
  Request.m_Meta = Exchange.m_Parsed.m_Meta;
  Request.m_Urgency = Exchange.m_Parsed.m_Urgency;
  Request.m_Deadline = runtime::bootNow() + Exchange.m_Parsed.m_TimeLeft;
  HttpRequest &Http = Request.m_Http;
  Http.m_Method = std::move(Exchange.m_Head.m_Method);
  Http.m_Path = std::move(Exchange.m_Head.m_RequestTarget);
  Http.m_Headers = std::move(Exchange.m_Head.m_Headers);
  Http.m_Body = std::move(Exchange.m_Body);
  Http.m_BodyLength =
      Exchange.m_Parsed.m_BodyLength.value_or(Http.m_Body.size());
  if (Exchange.m_Upload)
    Http.m_BodyStream = Exchange.m_Upload->id();
  if (m_Handlers.m_OnRequest(Request))
    return;
  answer({.m_Request = Handle,
          .m_Outcome = Outcome::Wait,
          .m_Reason = Reason::Overloaded,
          .m_RetryAfter = BusyRetryAfter,
          .m_OwnerHint = {},
          .m_Http = {}},
         nullptr);
}

void CallerServer::Impl::answer(AnswerCaller Answer,
                                runtime::BodyPipePtr Rest) {
  const std::shared_ptr<CallerExchange> Exchange = find(Answer.m_Request);
  if (!Exchange) {
    if (Rest)
      Rest->abandon();
    return;
  }
  // An answer ends the upload; the remaining bytes are read and discarded.
  if (Exchange->m_Upload &&
      Exchange->m_Upload->state() == runtime::PipeState::Open)
    Exchange->m_Upload->fail();
  const std::scoped_lock Lock(Exchange->m_Mutex);
  Exchange->m_Answer = std::move(Answer);
  Exchange->m_Download = std::move(Rest);
  if (std::exchange(Exchange->m_AwaitingAnswer, false))
    MHD_resume_connection(Exchange->m_Connection);
}

MHD_Result CallerServer::Impl::refuse(CallerExchange &Exchange,
                                      const Refusal &Cause) {
  if (m_Handlers.m_OnRefused)
    m_Handlers.m_OnRefused(Cause.m_Reason);
  const RequestId &Id = Exchange.m_Parsed.m_Meta.m_Id;
  return queue(Exchange, Cause.m_Status,
               makeProblemResponse({.m_Status = Cause.m_Status,
                                    .m_Outcome = Cause.m_Outcome,
                                    .m_Reason = Cause.m_Reason,
                                    .m_Detail = Cause.m_Detail,
                                    .m_Id = Id,
                                    .m_RetryAfter = Cause.m_RetryAfter}));
}

MHD_Result CallerServer::Impl::respond(CallerExchange &Exchange) {
  AnswerCaller Answer;
  runtime::BodyPipePtr Rest;
  {
    const std::scoped_lock Lock(Exchange.m_Mutex);
    Answer = std::move(*Exchange.m_Answer);
    Rest = Exchange.m_Download;
  }
  const RequestId &Id = Exchange.m_Parsed.m_Meta.m_Id;
  if (Answer.m_Outcome != Outcome::Done) {
    const std::uint16_t Status = statusOf(Answer.m_Outcome, Answer.m_Reason);
    return queue(Exchange, Status,
                 makeProblemResponse({.m_Status = Status,
                                      .m_Outcome = Answer.m_Outcome,
                                      .m_Reason = Answer.m_Reason,
                                      .m_Detail = {},
                                      .m_Id = Id,
                                      .m_RetryAfter = Answer.m_RetryAfter}));
  }
  const unsigned Status = Answer.m_Http.m_Status;
  if (Answer.m_Http.m_BodyStream == 0)
    return queue(Exchange, Status, makeCompleteResponse(std::move(Answer), Id));
  if (!Rest)
    return MHD_NO;
  return queue(Exchange, Status,
               makeStreamedResponse(std::move(Answer), Id,
                                    Exchange.m_Connection, std::move(Rest)));
}

MHD_Result CallerServer::Impl::queue(CallerExchange &Exchange, unsigned Status,
                                     const ResponsePtr &Response) {
  Exchange.m_Responded = true;
  if (m_CloseAfterAnswers)
    MHD_add_response_header(Response.get(), "Connection", "close");
  return MHD_queue_response(Exchange.m_Connection, Status, Response.get());
}

CallerServer::CallerServer(CallerServerOptions Options, CallerHandlers Handlers)
    : m_Impl(std::make_unique<Impl>(std::move(Options), std::move(Handlers))) {}

CallerServer::~CallerServer() = default;

std::error_code CallerServer::start() { return m_Impl->start(); }

void CallerServer::answer(AnswerCaller Answer, runtime::BodyPipePtr Rest) {
  m_Impl->answer(std::move(Answer), std::move(Rest));
}

void CallerServer::closeAfterAnswers() { m_Impl->closeAfterAnswers(); }

void CallerServer::stopListening() { m_Impl->stopListening(); }

std::size_t CallerServer::openRequests() const {
  return m_Impl->openRequests();
}

std::uint16_t CallerServer::port() const { return m_Impl->port(); }

void CallerServer::stop() { m_Impl->stop(); }

} // namespace balsamwheel::caller_http
