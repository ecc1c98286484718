// Blocking HTTP requests for the control traffic of the bench.
#pragma once

#include "balsamwheel/detail/core/time.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace balsamwheel::bench {

struct ClientReply {
  /// 0 when no complete answer arrived.
  long m_Status = 0;
  std::string m_Body;
};

struct ClientRequest {
  std::string m_Method = "GET";
  std::string m_Url;
  /// Lines of the form "Name: value".
  std::vector<std::string> m_Headers;
  std::string m_Body;
  Duration m_Timeout = std::chrono::seconds(2);
};

/// Sends a request on a new connection and waits for its answer.
ClientReply sendRequest(const ClientRequest &Request);

/// Sends a JSON body with POST.
ClientReply postJson(const std::string &Url, const nlohmann::json &Body);

/// Reads a JSON document with GET. The result is discarded
/// (is_discarded()) when there was no answer or it was not JSON.
nlohmann::json getJson(const std::string &Url);

} // namespace balsamwheel::bench
