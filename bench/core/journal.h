// The record of what targets ran. It is a file, so that it outlives a killed
// target.
#pragma once

#include "bench/core/target_model.h"

#include <string>
#include <vector>

namespace balsamwheel::bench {

/// Appends one line when an order begins and one when it ends.
class Journal {
public:
  /// \param Path of the file, opened for appending; empty records nothing.
  explicit Journal(const std::string &Path);
  ~Journal();
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;

  void recordStart(std::uint64_t Ticket, const Execution &Order);
  void recordEnd(std::uint64_t Ticket, const Execution &Order);

private:
  void write(const std::string &Line) const;

  int m_File = -1;
};

/// Reads a journal. An order without its end has none.
std::vector<Execution> readJournal(const std::string &Path);

} // namespace balsamwheel::bench
