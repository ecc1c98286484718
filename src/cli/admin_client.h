// Blocking client of the daemons' admin interface.
#pragma once

#include "adapters/http_client/transfer_loop.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace balsamwheel::cli {

class AdminClient {
public:
  AdminClient() : m_Loop({.m_Name = "admin"}) {}
  ~AdminClient() { m_Loop.stop(); }

  /// \returns the JSON answer; none if the daemon sends no valid answer with
  /// status 200 within the time-out.
  std::optional<nlohmann::json> get(const std::string &Address,
                                    const std::string &Path);

private:
  http_client::TransferLoop m_Loop;
};

} // namespace balsamwheel::cli
