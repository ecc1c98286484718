// Suspends libmicrohttpd connections until their answer is there.
#include "bench/core/http_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <set>
#include <stdexcept>

namespace balsamwheel::bench {

std::string ServerRequest::header(const std::string &LowerName) const {
  const auto Found = m_Headers.find(LowerName);
  return Found == m_Headers.end() ? std::string() : Found->second;
}

std::uint64_t ServerRequest::numericHeader(const std::string &LowerName) const {
  const std::string Text = header(LowerName);
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

namespace {

/// One request, the state of its answer and its connection.
class Exchange final : public Responder {
public:
  explicit Exchange(MHD_Connection *Connection) : m_Connection(Connection) {}

  void answer(ServerAnswer Answer) override {
    const std::lock_guard Lock(m_Mutex);
    if (m_Answered || m_Closed)
      return;
    m_Answered = true;
    m_Answer = std::move(Answer);
    if (m_Suspended)
      resume();
  }

  /// Suspends the connection unless the answer is there already. \returns
  /// whether it is suspended.
  bool suspendUnlessAnswered() {
    const std::lock_guard Lock(m_Mutex);
    if (m_Answered)
      return false;
    m_Suspended = true;
    MHD_suspend_connection(m_Connection);
    return true;
  }

  void close() {
    const std::lock_guard Lock(m_Mutex);
    m_Closed = true;
  }

  MHD_Result queueAnswer() {
    const std::lock_guard Lock(m_Mutex);
    if (m_Answer.m_Drop)
      return MHD_NO;
    MHD_Response *Response = MHD_create_response_from_buffer(
        m_Answer.m_Body.size(), m_Answer.m_Body.data(), MHD_RESPMEM_MUST_COPY);
    for (const auto &[Name, Value] : m_Answer.m_Headers)
      MHD_add_response_header(Response, Name.c_str(), Value.c_str());
    const MHD_Result Result =
        MHD_queue_response(m_Connection, m_Answer.m_Status, Response);
    MHD_destroy_response(Response);
    return Result;
  }

  ServerRequest m_Request;
  bool m_Dispatched = false;

private:
  void resume() {
    m_Suspended = false;
    MHD_resume_connection(m_Connection);
  }

  std::mutex m_Mutex;
  MHD_Connection *m_Connection;
  ServerAnswer m_Answer;
  bool m_Answered = false;
  bool m_Suspended = false;
  /// The connection has ended, and m_Connection must not be used.
  bool m_Closed = false;
};

MHD_Result collectHeader(void *Context, MHD_ValueKind, const char *Name,
                         const char *Value) {
  std::string Lower(Name);
  std::ranges::transform(Lower, Lower.begin(), [](unsigned char Letter) {
    return static_cast<char>(std::tolower(Letter));
  });
  auto &Headers = *static_cast<std::map<std::string, std::string> *>(Context);
  Headers[Lower] = Value == nullptr ? "" : Value;
  return MHD_YES;
}

} // namespace

class HttpServer::Impl {
public:
  Impl(const HttpServerOptions &Options, ServerHandler Handler)
      : m_Handler(std::move(Handler)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Options.m_Port);
    inet_pton(AF_INET, Options.m_Host.c_str(), &Address.sin_addr);
    m_Daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
        Options.m_Port, nullptr, nullptr, &Impl::onRequest, this,
        MHD_OPTION_SOCK_ADDR, &Address, MHD_OPTION_CONNECTION_LIMIT,
        Options.m_MaxConnections, MHD_OPTION_NOTIFY_COMPLETED,
        &Impl::onCompleted, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_END);
    if (m_Daemon == nullptr)
      throw std::runtime_error("cannot listen on " + Options.m_Host + ":" +
                               std::to_string(Options.m_Port));
  }

  ~Impl() {
    closeAll();
    MHD_stop_daemon(m_Daemon);
  }

  std::uint16_t port() const {
    return MHD_get_daemon_info(m_Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  }

private:
  using ExchangePtr = std::shared_ptr<Exchange>;

  static MHD_Result onRequest(void *Self, MHD_Connection *Connection,
                              const char *Url, const char *Method, const char *,
                              const char *Data, std::size_t *Size,
                              void **Context) {
    return static_cast<Impl *>(Self)->handleStep(Connection, Url, Method, Data,
                                                 Size, Context);
  }

  static void onCompleted(void *Self, MHD_Connection *, void **Context,
                          MHD_RequestTerminationCode) {
    auto *Current = static_cast<ExchangePtr *>(*Context);
    if (Current == nullptr)
      return;
    (*Current)->close();
    static_cast<Impl *>(Self)->removeOpen(*Current);
    delete Current;
    *Context = nullptr;
  }

  MHD_Result handleStep(MHD_Connection *Connection, const char *Url,
                        const char *Method, const char *Data, std::size_t *Size,
                        void **Context) {
    if (*Context == nullptr) {
      auto Opened = std::make_shared<Exchange>(Connection);
      Opened->m_Request.m_Method = Method;
      Opened->m_Request.m_Path = Url;
      MHD_get_connection_values(Connection, MHD_HEADER_KIND, &collectHeader,
                                &Opened->m_Request.m_Headers);
      addOpen(Opened);
      *Context = new ExchangePtr(std::move(Opened));
      return MHD_YES;
    }
    Exchange &Current = **static_cast<ExchangePtr *>(*Context);
    if (*Size > 0) {
      Current.m_Request.m_Body.append(Data, *Size);
      *Size = 0;
      return MHD_YES;
    }
    if (!Current.m_Dispatched) {
      Current.m_Dispatched = true;
      m_Handler(std::move(Current.m_Request),
                *static_cast<ExchangePtr *>(*Context));
    }
    if (Current.suspendUnlessAnswered())
      return MHD_YES;
    return Current.queueAnswer();
  }

  void addOpen(const ExchangePtr &Opened) {
    const std::lock_guard Lock(m_Mutex);
    m_Open.insert(Opened);
  }

  void removeOpen(const ExchangePtr &Ended) {
    const std::lock_guard Lock(m_Mutex);
    m_Open.erase(Ended);
  }

  void closeAll() {
    std::set<ExchangePtr> Open;
    {
      const std::lock_guard Lock(m_Mutex);
      Open = m_Open;
    }
    for (const ExchangePtr &Each : Open) {
      ServerAnswer Drop;
      Drop.m_Drop = true;
      Each->answer(std::move(Drop));
    }
  }

  ServerHandler m_Handler;
  MHD_Daemon *m_Daemon = nullptr;
  std::mutex m_Mutex;
  /// Exchanges whose connection has not ended.
  std::set<ExchangePtr> m_Open;
};

HttpServer::HttpServer(const HttpServerOptions &Options, ServerHandler Handler)
    : m_Impl(std::make_unique<Impl>(Options, std::move(Handler))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return m_Impl->port(); }

} // namespace balsamwheel::bench
