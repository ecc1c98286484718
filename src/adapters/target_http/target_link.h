// The connection to the local target: receives its announcements and sends
// orders, grants and cancellations to it.
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
  /// "host:port" where announcements are received.
  std::string m_Listen;
  /// A target that sends no announcement for this time is treated as having
  /// left.
  Duration m_SilenceLimit = std::chrono::seconds(3);
  /// Interval at which the target's load report is read.
  Duration m_LoadPeriod = std::chrono::seconds(1);
  /// Time-out of grants, cancellations and load reports.
  Duration m_ControlTimeout = std::chrono::seconds(1);
};

/// The load that the target last reported; a hint only, because it is outdated
/// when it arrives.
struct LoadHint {
  double m_Load = 0;
  bool m_Healthy = true;
};

/// Called on the link's threads.
struct TargetHandlers {
  /// The target was announced, has changed, or has become cold.
  std::function<void(const Announcement &)> m_OnReady;
  /// The target announced that it leaves, or its announcements stopped.
  std::function<void()> m_OnLeft;
  std::function<void(OrderId, HttpAnswer Head)> m_OnAnswerHead;
  std::function<void(OrderReport)> m_OnEnd;
  std::function<void(LoadHint)> m_OnLoad;
};

/// Satisfies TargetClient.
class TargetLink {
public:
  /// \param MakePipe creates the pipes for the remainders of long answers.
  TargetLink(TargetLinkOptions Options, TargetHandlers Handlers,
             http_client::PipeFactory MakePipe);
  ~TargetLink();
  TargetLink(const TargetLink &) = delete;
  TargetLink &operator=(const TargetLink &) = delete;

  std::error_code start();
  /// Sends an order. Its end is reported exactly once.
  ///
  /// \param Upload the remainder of a long request body, or null.
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
  /// Body of the watcher thread: checks for missing announcements and reads the
  /// load report.
  void watch();
  void checkSilence();
  std::string address() const;

  const TargetLinkOptions m_Options;
  const TargetHandlers m_Handlers;
  const http_client::PipeFactory m_MakePipe;
  mutable std::mutex m_Mutex;
  std::condition_variable m_StopRequested;
  bool m_Stopping = false;
  /// The last announcement; none while there is no target.
  std::optional<Announcement> m_Current;
  TimePoint m_LastAnnouncedAt;
  /// Sends orders.
  http_client::TransferLoop m_Loop;
  /// Sends grants and cancellations and reads load reports. Separate from
  /// orders, so that the many grants at a start do not use their connections.
  http_client::TransferLoop m_ControlLoop;
  http_server::ControlServer m_Server;
  std::thread m_Watcher;
};

} // namespace balsamwheel::target_http
