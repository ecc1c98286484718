// Builds the headers of orders and classifies the results of their transfers.
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

constexpr std::string_view BalsamwheelHeaderPrefix = "Balsamwheel-";
constexpr const char *NotRunHeader = "Balsamwheel-Not-Run";
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

/// Hop-by-hop headers, and headers that libcurl sets itself.
constexpr std::array<const char *, 10> HopByHopHeaders{
    "Connection", "Keep-Alive",    "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",       "Upgrade",          "Host",
    "Expect",     "Content-Length"};

bool equalsIgnoreCase(std::string_view First, std::string_view Second) {
  const auto SameLetter = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  return std::equal(First.begin(), First.end(), Second.begin(), Second.end(),
                    SameLetter);
}

bool isEndToEnd(std::string_view Name) {
  if (equalsIgnoreCase(Name.substr(0, BalsamwheelHeaderPrefix.size()),
                       BalsamwheelHeaderPrefix))
    return false;
  return std::none_of(
      HopByHopHeaders.begin(), HopByHopHeaders.end(),
      [Name](const char *Other) { return equalsIgnoreCase(Name, Other); });
}

/// Guards against header injection through line breaks in a value.
bool isOneLine(std::string_view Text) {
  return Text.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

void addHeader(Transfer &Outgoing, std::string_view Name,
               std::string_view Value) {
  if (!isOneLine(Name) || !isOneLine(Value))
    return;
  std::string Line;
  Line.reserve(Name.size() + Value.size() + 2);
  Line.append(Name);
  // libcurl treats "Name:" as an instruction to omit the header, and "Name;" as
  // a header with an empty value.
  Line.append(Value.empty() ? ";" : ": ").append(Value);
  Outgoing.m_Headers.push_back(std::move(Line));
}

/// Whether the target refused the order and states that it did not run it.
bool isRefusalWithoutRun(const HttpAnswer &Answer) {
  if (Answer.m_Status != StatusUnavailable && Answer.m_Status != StatusConflict)
    return false;
  return std::any_of(Answer.m_Headers.begin(), Answer.m_Headers.end(),
                     [](const auto &Header) {
                       return equalsIgnoreCase(Header.first, NotRunHeader) &&
                              equalsIgnoreCase(Header.second, "true");
                     });
}

} // namespace

Transfer makeOrderTransfer(const std::string &Address, StartOrder Order) {
  Transfer Outgoing;
  Outgoing.m_Id = http_client::TransferId(Order.m_Order.value());
  Outgoing.m_Method = std::move(Order.m_Http.m_Method);
  Outgoing.m_Url = "http://" + Address + Order.m_Http.m_Path;
  Outgoing.m_Headers.reserve(Order.m_Http.m_Headers.size() + 4);
  for (const auto &[Name, Value] : Order.m_Http.m_Headers)
    if (isEndToEnd(Name))
      addHeader(Outgoing, Name, Value);
  addHeader(Outgoing, "Balsamwheel-Request-Id", Order.m_Meta.m_Id.value());
  if (Order.m_Epoch != Epoch()) {
    addHeader(Outgoing, "Balsamwheel-Shard",
              std::to_string(Order.m_Shard.m_Shard.value()));
    addHeader(Outgoing, "Balsamwheel-Epoch",
              std::to_string(Order.m_Epoch.value()));
  }
  if (!Order.m_Meta.m_Key.empty())
    addHeader(Outgoing, "Balsamwheel-Key", Order.m_Meta.m_Key);
  Outgoing.m_DeadlineHeader = "Balsamwheel-Deadline-Ms";
  Outgoing.m_Deadline = Order.m_Deadline;
  Outgoing.m_Body = std::move(Order.m_Http.m_Body);
  Outgoing.m_BodyLength = Order.m_Http.m_BodyLength;
  return Outgoing;
}

OrderEnd classifyOrderEnd(const TransferResult &Result) {
  switch (Result.m_End) {
  case TransferEnd::Answered:
    return isRefusalWithoutRun(Result.m_Answer) ? OrderEnd::Shed
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
