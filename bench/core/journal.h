// A file in which targets record the orders they run. The record survives a
// target that is killed.
#pragma once

#include "bench/core/target_model.h"

#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Appends one line when an order starts and one when it ends.
class Journal {
public:
  /// \param Path file to append to; empty for no records.
  explicit Journal(const std::string &Path);
  ~Journal();
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  /// \param Ticket number of the order, unique in this process.
  /// \throws std::runtime_error when the file can't be written.
  void recordStart(std::uint64_t Ticket, const Execution &Order);
  /// \throws std::runtime_error when the file can't be written.
  void recordEnd(std::uint64_t Ticket, const Execution &Order);

private:
  void write(const std::string &Line) const;

  int m_File = -1;
};

/// Reads a journal. Orders without a recorded end have no end time. Lines that
/// are not JSON, such as a truncated last one, are skipped.
std::vector<Execution> readJournal(const std::string &Path);

} // namespace balsamwheel::bench
