// The link with the local target: its announcements and the orders to it.
#pragma once

#include "adapters/http_client/transfer_loop.h"
#include "adapters/http_server/control_server.h"
#include "adapters/target_http/announcement.h"
#include "balsamwheel/detail/node/effects.h"
#include "balsamwheel/detail/node/node.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <unordered_map>

namespace balsamwheel::target_http {

struct TargetLinkOptions {
  /// "host:port" where the target announces itself.
  std::string m_Listen;
  /// A target silent for this long is gone.
  Duration m_SilenceLimit = std::chrono::seconds(3);
  /// How often the target's own load report is read.
  Duration m_LoadPeriod = std::chrono::seconds(1);
  Duration m_ControlTimeout = std::chrono::seconds(1);
};

/// What the target last said about its load; late, so a hint only.
struct LoadHint {
  double m_Load = 0;
  bool m_Healthy = true;
};

/// Called on the link's threads.
struct TargetHandlers {
  /// The target is ready, or ready anew after it turned cold.
  std::function<void(const Announcement &)> m_OnReady;
  std::function<void()> m_OnLeaving;
  std::function<void(OrderId, HttpAnswer Head)> m_OnAnswering;
  std::function<void(OrderReport)> m_OnEnd;
  std::function<void(LoadHint)> m_OnLoad;
};

/// Satisfies TargetClient.
class TargetLink {
public:
  /// \p MakePipe carries the rest of long answers.
  TargetLink(TargetLinkOptions Options, TargetHandlers Handlers,
             http_client::PipeFactory MakePipe);
  ~TargetLink();
  TargetLink(const TargetLink &) = delete;
  TargetLink &operator=(const TargetLink &) = delete;

  std::error_code start();
  /// Sends an order; its end is reported exactly once.
  ///
  /// \param Upload the rest of a long request body, or null.
  void startOrder(StartOrder Order, runtime::BodyPipePtr Upload);
  void cancelOrder(OrderId Order);
  void grant(const GrantEpoch &Grant);
  std::uint16_t port() const { return m_Server.port(); }
  void stop();

private:
  http_server::ControlResponse
  onControlRequest(const http_server::ControlRequest &Request);
  void onAnnouncement(const Announcement &Received);
  void onOrderEnd(OrderId Order, const std::string &Url,
                  const http_client::TransferResult &Result);
  void sendControl(std::string Method, std::string Url, std::string Body);
  void readLoad();
  /// Watches for silence and reads the load report.
  void watch();
  void checkSilence();
  std::string address() const;

  const TargetLinkOptions m_Options;
  const TargetHandlers m_Handlers;
  const http_client::PipeFactory m_MakePipe;
  mutable std::mutex m_Mutex;
  std::condition_variable m_StopRequested;
  bool m_Stopping = false;
  /// None while no target is known.
  std::optional<Announcement> m_Current;
  TimePoint m_LastAnnouncedAt;
  /// Carries orders.
  http_client::TransferLoop m_Loop;
  /// Carries grants, cancels and load reports, so that the many grants of a
  /// start take no connections from orders.
  http_client::TransferLoop m_ControlLoop;
  http_server::ControlServer m_Server;
  std::thread m_Watcher;
};

} // namespace balsamwheel::target_http
