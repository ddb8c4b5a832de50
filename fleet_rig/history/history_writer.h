// Writes the history of a fleet while the run goes on, so that a killed run leaves its records up to then.
#pragma once

#include <chrono>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "record.h"

namespace thymewood::fleet {

class HistoryWriter {
 public:
  using Steady = std::chrono::steady_clock;
  // Throws std::runtime_error when the file can't be written.
  explicit HistoryWriter(const std::string& path);

  // Sets the start of the run, time 0, to `after` seconds from now. Until this call records are buffered, and
  // times count from construction; a time that now() returned before the call must not be used after it.
  void begin(double after);

  double now() const { return at(Steady::now()); }
  double at(Steady::time_point time) const { return std::chrono::duration<double>(time - begin_).count(); }
  Steady::time_point time_of(double seconds) const;

  // Sets the record's time to now if it is 0.
  void add(Record record);
  // Throws std::runtime_error if anything could not be written: checkers would miss those records.
  void flush();

 private:
  std::string path_;
  Steady::time_point begin_ = Steady::now();
  bool begun_ = false;
  std::vector<std::pair<Steady::time_point, Record>> buffered_;  // records added before begin()
  std::ofstream out_;
};

}  // namespace thymewood::fleet
