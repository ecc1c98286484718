// Blocking client of the daemons' admin interface.
#include "cli/admin_client.h"

#include "runtime/boot_clock.h"

#include <future>

namespace balsamwheel::cli {

namespace {

constexpr std::chrono::milliseconds AnswerTimeout{500};
constexpr std::uint16_t HttpOk = 200;

} // namespace

std::optional<nlohmann::json> AdminClient::get(const std::string &Address,
                                               const std::string &Path) {
  std::promise<http_client::TransferResult> Answer;
  http_client::Transfer Query;
  Query.m_Url = "http://" + Address + Path;
  Query.m_Deadline = runtime::bootNow() + AnswerTimeout;
  Query.m_OnEnd = [&Answer](http_client::TransferResult Result) {
    Answer.set_value(std::move(Result));
  };
  m_Loop.submit(std::move(Query));
  const http_client::TransferResult Result = Answer.get_future().get();
  if (Result.m_End != http_client::TransferEnd::Answered ||
      Result.m_Answer.m_Status != HttpOk)
    return std::nullopt;
  nlohmann::json Value =
      nlohmann::json::parse(Result.m_Answer.m_Body, nullptr, false);
  if (Value.is_discarded())
    return std::nullopt;
  return Value;
}

} // namespace balsamwheel::cli
