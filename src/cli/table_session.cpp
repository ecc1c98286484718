// Blocking access to the platform's table for the duration of one command.
#include "cli/table_session.h"

#include "balsamwheel/detail/coordination/head_row.h"

#include <future>
#include <random>
#include <thread>

namespace balsamwheel::cli {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds RetryDelay{100};

} // namespace

std::string stripUrl(std::string Address) {
  const std::string Scheme = "http://";
  if (Address.starts_with(Scheme))
    Address.erase(0, Scheme.size());
  while (Address.ends_with('/'))
    Address.pop_back();
  return Address;
}

WriteId randomWriteId() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> NonZero(1);
  return WriteId(NonZero(Source));
}

TableSession::TableSession(const std::string &Platform,
                           std::chrono::milliseconds Limit)
    : m_Client({.m_Address = stripUrl(Platform)}), m_Limit(Limit) {}

TableReply TableSession::readOnce(const TableRead &Query) {
  std::promise<TableReply> Answer;
  m_Client.read(Query, [&Answer](TableReply Reply) {
    Answer.set_value(std::move(Reply));
  });
  return Answer.get_future().get();
}

TableReply TableSession::commitOnce(const Transaction &Commit) {
  std::promise<TableReply> Answer;
  m_Client.commit(Commit, [&Answer](TableReply Reply) {
    Answer.set_value(std::move(Reply));
  });
  return Answer.get_future().get();
}

std::optional<std::vector<Row>> TableSession::read(const TableRead &Query) {
  const Clock::time_point End = Clock::now() + m_Limit;
  do {
    TableReply Reply = readOnce(Query);
    if (Reply.m_Status == TableStatus::Ok)
      return std::move(Reply.m_Rows);
    std::this_thread::sleep_for(RetryDelay);
  } while (Clock::now() < End);
  return std::nullopt;
}

bool TableSession::hasWriteId(const Transaction &Commit, const RowKey &Marker) {
  const auto Rows = read({.m_Keys = {Marker}, .m_Prefixes = {}});
  return Rows && !Rows->empty() &&
         writeIdOf(Rows->front().m_Value) == Commit.m_Id;
}

std::error_code TableSession::commit(const Transaction &Commit,
                                     const RowKey &Marker) {
  const Clock::time_point End = Clock::now() + m_Limit;
  bool MayHaveApplied = false;
  do {
    switch (commitOnce(Commit).m_Status) {
    case TableStatus::Ok:
      return {};
    case TableStatus::Conflict:
      // The conflict may be with our own earlier attempt, if that was applied.
      if (MayHaveApplied && hasWriteId(Commit, Marker))
        return {};
      return CliError::Conflict;
    case TableStatus::Ambiguous:
      MayHaveApplied = true;
      break;
    case TableStatus::Unavailable:
      break;
    }
    std::this_thread::sleep_for(RetryDelay);
  } while (Clock::now() < End);
  return MayHaveApplied ? CliError::OutcomeUnknown : CliError::Unreachable;
}

} // namespace balsamwheel::cli
