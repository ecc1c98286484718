// Implements the control server on libmicrohttpd.
#include "adapters/http_server/control_server.h"

#include "adapters/http_server/listen_address.h"

#include "balsamwheel/detail/core/foreign_text.h"

#include <microhttpd.h>

#include <algorithm>
#include <utility>

namespace balsamwheel::http_server {

namespace {

/// State of one request while it is received.
struct PendingRequest {
  ControlRequest m_Request;
  bool m_TooLarge = false;
};

MHD_Result addQuery(void *Output, MHD_ValueKind, const char *Key,
                    const char *Value) {
  auto &Query = *static_cast<std::map<std::string, std::string> *>(Output);
  Query[Key] = Value != nullptr ? Value : "";
  return MHD_YES;
}

MHD_Result reply(MHD_Connection *Connection, const ControlResponse &Response) {
  MHD_Response *Handle = MHD_create_response_from_buffer(
      Response.m_Body.size(), const_cast<char *>(Response.m_Body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(Handle, MHD_HTTP_HEADER_CONTENT_TYPE,
                          Response.m_ContentType.c_str());
  const MHD_Result Result =
      MHD_queue_response(Connection, Response.m_Status, Handle);
  MHD_destroy_response(Handle);
  return Result;
}

void onCompleted(void *, MHD_Connection *, void **State,
                 MHD_RequestTerminationCode) {
  delete static_cast<PendingRequest *>(*State);
  *State = nullptr;
}

/// Handlers put the path and the query into texts that have to be UTF-8.
bool isReadable(const ControlRequest &Request) {
  return isUtf8(Request.m_Path) &&
         std::all_of(Request.m_Query.begin(), Request.m_Query.end(),
                     [](const auto &Each) {
                       return isUtf8(Each.first) && isUtf8(Each.second);
                     });
}

} // namespace

class ControlServer::Impl {
public:
  Impl(ControlServerOptions Options, Handler Handle)
      : m_Options(std::move(Options)), m_Handle(std::move(Handle)) {}

  ~Impl() { stop(); }

  std::error_code start() {
    const auto Address = parseListenAddress(m_Options.m_Listen);
    if (!Address)
      return std::make_error_code(std::errc::invalid_argument);
    m_Daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, &Impl::onAccess,
        this, MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<const sockaddr *>(&*Address),
        MHD_OPTION_CONNECTION_LIMIT, m_Options.m_MaxConnections,
        MHD_OPTION_NOTIFY_COMPLETED, &onCompleted, nullptr, MHD_OPTION_END);
    if (m_Daemon == nullptr)
      return std::make_error_code(std::errc::address_in_use);
    return {};
  }

  std::uint16_t port() const {
    const MHD_DaemonInfo *Info =
        MHD_get_daemon_info(m_Daemon, MHD_DAEMON_INFO_BIND_PORT);
    return Info != nullptr ? Info->port : 0;
  }

  void stop() {
    if (m_Daemon != nullptr)
      MHD_stop_daemon(std::exchange(m_Daemon, nullptr));
  }

private:
  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *Url, const char *Method, const char *,
                             const char *Data, std::size_t *Size,
                             void **State) {
    return static_cast<Impl *>(Self)->access(Connection, Url, Method,
                                             {Data, *Size}, Size, State);
  }

  MHD_Result access(MHD_Connection *Connection, const char *Url,
                    const char *Method, std::string_view Data,
                    std::size_t *Size, void **State) {
    if (*State == nullptr) {
      auto Created = std::make_unique<PendingRequest>();
      Created->m_Request.m_Method = Method;
      Created->m_Request.m_Path = Url;
      MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND, &addQuery,
                                &Created->m_Request.m_Query);
      *State = Created.release();
      return MHD_YES;
    }
    auto &Current = *static_cast<PendingRequest *>(*State);
    if (!Data.empty()) {
      append(Current, Data);
      *Size = 0;
      return MHD_YES;
    }
    if (Current.m_TooLarge)
      return reply(Connection, {413, "text/plain", "body too large\n"});
    if (!isReadable(Current.m_Request))
      return reply(Connection, {400, "text/plain", "the URL is no UTF-8\n"});
    return reply(Connection, m_Handle(Current.m_Request));
  }

  void append(PendingRequest &Current, std::string_view Data) const {
    if (Current.m_Request.m_Body.size() + Data.size() > m_Options.m_MaxBody)
      Current.m_TooLarge = true;
    else
      Current.m_Request.m_Body.append(Data);
  }

  const ControlServerOptions m_Options;
  const Handler m_Handle;
  MHD_Daemon *m_Daemon = nullptr;
};

ControlServer::ControlServer(ControlServerOptions Options, Handler Handle)
    : m_Impl(std::make_unique<Impl>(std::move(Options), std::move(Handle))) {}

ControlServer::~ControlServer() = default;

std::error_code ControlServer::start() { return m_Impl->start(); }

std::uint16_t ControlServer::port() const { return m_Impl->port(); }

void ControlServer::stop() { m_Impl->stop(); }

} // namespace balsamwheel::http_server
