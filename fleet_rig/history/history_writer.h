// Writes a fleet's history as it happens, so that a run that is killed leaves what it saw up to then.
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

  // The run begins `after` seconds from now. Until then records are buffered, and times count from the
  // making of this; no time that now() gave before may be used after.
  void begin(double after);

  double now() const { return at(Steady::now()); }
  double at(Steady::time_point time) const { return std::chrono::duration<double>(time - begin_).count(); }
  Steady::time_point time_of(double seconds) const;

  // Its time is now, unless it has one already.
  void add(Record record);
  // Checkers would miss what could not be written.
  void flush();

 private:
  std::string path_;
  Steady::time_point begin_ = Steady::now();
  bool begun_ = false;
  std::vector<std::pair<Steady::time_point, Record>> held_;  // from before the beginning
  std::ofstream out_;
};

}  // namespace thymewood::fleet
