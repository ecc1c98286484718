// Stand-in for a target: serves TargetModel over HTTP and announces itself to a
// daemon.
#pragma once

#include "bench/core/http_server.h"
#include "bench/core/journal.h"
#include "bench/core/target_model.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace balsamwheel::bench {

struct TargetStandInOptions {
  HttpServerOptions m_Http;
  /// Port for faults and executions, separate so that they don't compete for
  /// the limited connections of the target; 0 for any free port.
  std::uint16_t m_ControlPort = 0;
  TargetModelOptions m_Model;
  std::string m_Service;
  /// "host:port" where the daemon receives announcements; empty for none.
  std::string m_Daemon;
  std::uint64_t m_Seed = 1;
  /// Factor on the service times of all orders.
  double m_ServiceTimeFactor = 1;
  /// Path of the journal file; empty for no journal.
  std::string m_Journal;
  /// Age of the load value that the load endpoint reports.
  Duration m_LoadReportDelay = std::chrono::seconds(3);
};

class TargetStandIn {
public:
  explicit TargetStandIn(TargetStandInOptions Options);
  ~TargetStandIn();

  std::uint16_t port() const { return m_Server->port(); }
  /// Stops the periodic announcements and announces to the daemon that this
  /// target leaves.
  void leave();

private:
  using Reply = std::shared_ptr<Responder>;

  struct OpenOrder {
    Reply m_Answer;
    std::string m_RequestId;
    std::size_t m_BodySize = 0;
  };

  void handle(const ServerRequest &Request, const Reply &Answer);
  void handleControl(const ServerRequest &Request, const Reply &Answer);
  void handleOrder(const ServerRequest &Request, const Reply &Answer);
  ServerAnswer cancel(const std::string &RequestId);
  ServerAnswer grant(const std::string &Body);
  ServerAnswer setFaults(const std::string &Body);
  ServerAnswer loadReport();
  ServerAnswer executions();
  Duration drawServiceTime(const ServerRequest &Request);
  void advanceModel(TimePoint Now);
  void finishOrder(const TargetEvent &Event);
  void runModel();
  void announce(bool Leaving);
  void runAnnouncer();

  TargetStandInOptions m_Options;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  TargetModel m_Model;
  std::mt19937_64 m_Random;
  std::map<std::uint64_t, OpenOrder> m_OpenOrders;
  std::uint64_t m_NextTicket = 1;
  std::map<std::uint64_t, Execution> m_Executions;
  Journal m_Journal;
  /// Recent load values by time, for the delayed load reports.
  std::deque<std::pair<TimePoint, double>> m_LoadHistory;
  /// Time at which the model thread wakes up.
  TimePoint m_WakeAt;
  bool m_Frozen = false;
  bool m_Announces = true;
  bool m_Stopped = false;
  std::unique_ptr<HttpServer> m_Server;
  std::unique_ptr<HttpServer> m_Control;
  std::thread m_ModelThread;
  std::thread m_AnnounceThread;
};

} // namespace balsamwheel::bench
