// Headers of orders and the judgement of their ends.
#include "adapters/target_http/order.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace balsamwheel::target_http {

using http_client::Transfer;
using http_client::TransferEnd;
using http_client::TransferResult;

namespace {

constexpr std::string_view OwnPrefix = "Balsamwheel-";
constexpr const char *NotRunHeader = "Balsamwheel-Not-Run";
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

/// Headers that concern one connection only, or that libcurl sets.
constexpr std::array<const char *, 10> ConnectionHeaders{
    "Connection", "Keep-Alive",    "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",       "Upgrade",          "Host",
    "Expect",     "Content-Length"};

bool sameName(std::string_view First, std::string_view Second) {
  const auto SameLetter = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  return std::equal(First.begin(), First.end(), Second.begin(), Second.end(),
                    SameLetter);
}

bool isPassedOn(std::string_view Name) {
  if (sameName(Name.substr(0, OwnPrefix.size()), OwnPrefix))
    return false;
  return std::none_of(
      ConnectionHeaders.begin(), ConnectionHeaders.end(),
      [Name](const char *Other) { return sameName(Name, Other); });
}

/// A line break would let a value forge further headers.
bool isOneLine(std::string_view Text) {
  return Text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

void addHeader(Transfer &Work, std::string_view Name, std::string_view Value) {
  if (!isOneLine(Name) || !isOneLine(Value))
    return;
  std::string Line;
  Line.reserve(Name.size() + Value.size() + 2);
  Line.append(Name);
  // libcurl reads "Name:" as a wish to leave the header out.
  Line.append(Value.empty() ? ";" : ": ").append(Value);
  Work.m_Headers.push_back(std::move(Line));
}

bool refusedWithoutRunning(const HttpAnswer &Answer) {
  if (Answer.m_Status != StatusUnavailable && Answer.m_Status != StatusConflict)
    return false;
  return std::any_of(Answer.m_Headers.begin(), Answer.m_Headers.end(),
                     [](const auto &Header) {
                       return sameName(Header.first, NotRunHeader) &&
                              sameName(Header.second, "true");
                     });
}

} // namespace

Transfer makeOrderTransfer(const std::string &Address, StartOrder Order) {
  Transfer Work;
  Work.m_Id = http_client::TransferId(Order.m_Order.value());
  Work.m_Method = std::move(Order.m_Http.m_Method);
  Work.m_Url = "http://" + Address + Order.m_Http.m_Path;
  Work.m_Headers.reserve(Order.m_Http.m_Headers.size() + 4);
  for (const auto &[Name, Value] : Order.m_Http.m_Headers)
    if (isPassedOn(Name))
      addHeader(Work, Name, Value);
  addHeader(Work, "Balsamwheel-Request-Id", Order.m_Meta.m_Id.value());
  if (Order.m_Epoch != Epoch()) {
    addHeader(Work, "Balsamwheel-Shard",
              std::to_string(Order.m_Shard.m_Shard.value()));
    addHeader(Work, "Balsamwheel-Epoch", std::to_string(Order.m_Epoch.value()));
  }
  if (!Order.m_Meta.m_Key.empty())
    addHeader(Work, "Balsamwheel-Key", Order.m_Meta.m_Key);
  Work.m_DeadlineHeader = "Balsamwheel-Deadline-Ms";
  Work.m_Deadline = Order.m_Deadline;
  Work.m_Body = std::move(Order.m_Http.m_Body);
  Work.m_BodyLength = Order.m_Http.m_BodyLength;
  return Work;
}

OrderEnd judgeOrder(const TransferResult &Result) {
  switch (Result.m_End) {
  case TransferEnd::Answered:
    return refusedWithoutRunning(Result.m_Answer) ? OrderEnd::Shed
                                                  : OrderEnd::Answered;
  case TransferEnd::NotSent:
    return OrderEnd::NotSent;
  case TransferEnd::Broken:
    return OrderEnd::Failed;
  case TransferEnd::TimedOut:
  case TransferEnd::Cancelled:
    return OrderEnd::Aborted;
  }
  return OrderEnd::Failed;
}

} // namespace balsamwheel::target_http
