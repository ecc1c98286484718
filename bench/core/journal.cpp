// JSON lines. The two lines of an order share its "ticket", which is unique in
// the file. Times are in microseconds since boot.
#include "bench/core/journal.h"

#include "bench/core/clock.h"

#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace balsamwheel::bench {

namespace {

using Json = nlohmann::json;

/// Makes tickets unique over the processes that append to one file.
std::string ticketName(std::uint64_t Ticket) {
  return std::to_string(getpid()) + "-" + std::to_string(Ticket);
}

Execution executionFromJson(const Json &Line) {
  return {.m_RequestId = Line.at("id").get<std::string>(),
          .m_Service = Line.at("service").get<std::string>(),
          .m_Key = Line.at("key").get<std::string>(),
          .m_Shard = Line.at("shard").get<std::string>(),
          .m_Epoch = Epoch(Line.at("epoch").get<std::uint64_t>()),
          .m_Start = TimePoint(Duration(Line.at("start").get<std::int64_t>())),
          .m_End = std::nullopt,
          .m_Completed = false};
}

} // namespace

Journal::Journal(const std::string &Path) {
  if (!Path.empty())
    m_File =
        open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

Journal::~Journal() {
  if (m_File >= 0)
    close(m_File);
}

void Journal::write(const std::string &Line) const {
  if (m_File >= 0 && ::write(m_File, Line.data(), Line.size()) < 0)
    throw std::runtime_error("cannot write to the journal");
}

void Journal::recordStart(std::uint64_t Ticket, const Execution &Order) {
  if (m_File < 0)
    return;
  const Json Line = {
      {"ticket", ticketName(Ticket)},    {"id", Order.m_RequestId},
      {"service", Order.m_Service},      {"key", Order.m_Key},
      {"shard", Order.m_Shard},          {"epoch", Order.m_Epoch.value()},
      {"start", toMicros(Order.m_Start)}};
  write(Line.dump() + "\n");
}

void Journal::recordEnd(std::uint64_t Ticket, const Execution &Order) {
  if (m_File < 0 || !Order.m_End)
    return;
  const Json Line = {{"ticket", ticketName(Ticket)},
                     {"end", toMicros(*Order.m_End)},
                     {"completed", Order.m_Completed}};
  write(Line.dump() + "\n");
}

std::vector<Execution> readJournal(const std::string &Path) {
  std::map<std::string, Execution> Orders;
  std::ifstream File(Path);
  for (std::string Text; std::getline(File, Text);) {
    const Json Line = Json::parse(Text, nullptr, false);
    if (Line.is_discarded())
      continue;
    const std::string Ticket = Line.at("ticket").get<std::string>();
    if (Line.contains("id")) {
      Orders[Ticket] = executionFromJson(Line);
      continue;
    }
    Execution &Order = Orders[Ticket];
    Order.m_End = TimePoint(Duration(Line.at("end").get<std::int64_t>()));
    Order.m_Completed = Line.at("completed").get<bool>();
  }
  std::vector<Execution> Result;
  Result.reserve(Orders.size());
  for (auto &[Ticket, Order] : Orders)
    Result.push_back(std::move(Order));
  return Result;
}

} // namespace balsamwheel::bench
