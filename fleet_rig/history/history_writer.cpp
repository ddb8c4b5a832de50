#include "history_writer.h"

#include <stdexcept>

namespace thymewood::fleet {

HistoryWriter::HistoryWriter(const std::string& path) : path_(path), out_(path, std::ios::trunc) {
  if (!out_) throw std::runtime_error(path + ": can't open the history file for writing");
}

HistoryWriter::Steady::time_point HistoryWriter::time_of(double seconds) const {
  return begin_ + std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
}

void HistoryWriter::begin(double after) {
  begin_ = Steady::now();
  begin_ = time_of(after);
  begun_ = true;
  for (auto& [time, record] : buffered_) {
    record.t = at(time);
    out_ << to_line(record) << '\n';
  }
  buffered_.clear();
}

void HistoryWriter::add(Record record) {
  if (!begun_) {
    buffered_.emplace_back(Steady::now(), std::move(record));
    return;
  }
  if (record.t == 0) record.t = now();
  out_ << to_line(record) << '\n';
}

void HistoryWriter::flush() {
  if (!out_.flush()) throw std::runtime_error(path_ + ": writing the history failed");
}

}  // namespace thymewood::fleet
