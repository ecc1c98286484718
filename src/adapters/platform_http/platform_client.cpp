// Sends requests to the platform and classifies its answers.
#include "adapters/platform_http/platform_client.h"

#include "adapters/platform_http/table_codec.h"
#include "runtime/boot_clock.h"

#include <utility>

namespace balsamwheel::platform_http {

using http_client::Transfer;
using http_client::TransferEnd;
using http_client::TransferResult;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

/// Decodes the rows of an answer. The status is \p StatusIfMalformed if the
/// body cannot be decoded.
TableReply decodeReply(TableStatus Status, const std::string &Body,
                       TableStatus StatusIfMalformed) {
  std::optional<std::vector<Row>> Rows = decodeRows(Body);
  if (!Rows)
    return {.m_Status = StatusIfMalformed, .m_Rows = {}};
  return {.m_Status = Status, .m_Rows = std::move(*Rows)};
}

} // namespace

TableReply classifyRead(const TransferResult &Result) {
  if (Result.m_End != TransferEnd::Answered ||
      Result.m_Answer.m_Status != StatusOk)
    return {.m_Status = TableStatus::Unavailable, .m_Rows = {}};
  return decodeReply(TableStatus::Ok, Result.m_Answer.m_Body,
                     TableStatus::Unavailable);
}

TableReply classifyCommit(const TransferResult &Result) {
  if (Result.m_End == TransferEnd::NotSent)
    return {.m_Status = TableStatus::Unavailable, .m_Rows = {}};
  if (Result.m_End != TransferEnd::Answered)
    return {.m_Status = TableStatus::Ambiguous, .m_Rows = {}};
  const HttpAnswer &Answer = Result.m_Answer;
  switch (Answer.m_Status) {
  case StatusOk:
    return decodeReply(TableStatus::Ok, Answer.m_Body, TableStatus::Ambiguous);
  case StatusConflict:
    return decodeReply(TableStatus::Conflict, Answer.m_Body,
                       TableStatus::Ambiguous);
  case StatusUnavailable:
    return {.m_Status = TableStatus::Unavailable, .m_Rows = {}};
  default:
    return {.m_Status = TableStatus::Ambiguous, .m_Rows = {}};
  }
}

PlatformClient::PlatformClient(PlatformClientOptions Options)
    : m_Options(std::move(Options)),
      m_Loop({.m_Name = "platform",
              .m_MaxConnections = m_Options.m_MaxConnections}) {}

Transfer PlatformClient::makeTransfer(std::string Method,
                                      const std::string &Path,
                                      std::string Body) const {
  Transfer Result;
  Result.m_Method = std::move(Method);
  Result.m_Url = "http://" + m_Options.m_Address + Path;
  Result.m_Headers = {"Content-Type: application/json",
                      "Balsamwheel-Instance: " + m_Options.m_Instance};
  Result.m_Body = std::move(Body);
  Result.m_BodyLength = Result.m_Body.size();
  Result.m_Deadline = runtime::bootNow() + m_Options.m_Timeout;
  Result.m_MaxSendDelay = m_Options.m_Timeout;
  return Result;
}

void PlatformClient::read(const TableRead &Read, TableCallback Done) {
  Transfer Outgoing = makeTransfer("POST", "/v1/read", encodeRead(Read));
  Outgoing.m_OnEnd = [Done = std::move(Done)](const TransferResult &Result) {
    Done(classifyRead(Result));
  };
  m_Loop.submit(std::move(Outgoing));
}

void PlatformClient::commit(const Transaction &Commit, TableCallback Done) {
  Transfer Outgoing = makeTransfer("POST", "/v1/commit", encodeCommit(Commit));
  Outgoing.m_OnEnd = [Done = std::move(Done)](const TransferResult &Result) {
    Done(classifyCommit(Result));
  };
  m_Loop.submit(std::move(Outgoing));
}

void PlatformClient::getObject(const std::string &Name, ObjectCallback Done) {
  Transfer Outgoing = makeTransfer("GET", "/v1/objects/" + Name, {});
  Outgoing.m_OnEnd = [Done = std::move(Done)](TransferResult Result) {
    if (Result.m_End == TransferEnd::Answered &&
        Result.m_Answer.m_Status == StatusOk)
      Done(std::move(Result.m_Answer.m_Body));
    else
      Done(std::nullopt);
  };
  m_Loop.submit(std::move(Outgoing));
}

void PlatformClient::putObject(const std::string &Name, std::string Value,
                               StoredCallback Done) {
  Transfer Outgoing =
      makeTransfer("PUT", "/v1/objects/" + Name, std::move(Value));
  Outgoing.m_OnEnd = [Done = std::move(Done)](const TransferResult &Result) {
    Done(Result.m_End == TransferEnd::Answered &&
         Result.m_Answer.m_Status / 100 == 2);
  };
  m_Loop.submit(std::move(Outgoing));
}

} // namespace balsamwheel::platform_http
