#include "gossip_queue.h"

namespace thymewood::membership {

void Rumors::add(const Record& record) {
  forget(record.number);
  const Entry entry{record, 0, ++order_};
  turns_.insert(turn_of(entry));
  by_number_[record.number] = entry;
}

void Rumors::forget(Number number) {
  const auto at = by_number_.find(number);
  if (at == by_number_.end()) return;
  turns_.erase(turn_of(at->second));
  by_number_.erase(at);
}

void Rumors::take(std::size_t most, int times, Number without, std::vector<Record>& to) {
  std::vector<Number> taken;
  for (auto turn = turns_.begin(); turn != turns_.end() && taken.size() < most; ++turn) {
    if (const Number number = std::get<2>(*turn); number != without) taken.push_back(number);
  }
  for (const Number number : taken) {
    Entry& entry = by_number_.at(number);
    to.push_back(entry.record);
    turns_.erase(turn_of(entry));
    entry.rode += 1;
    if (entry.rode < times) {
      turns_.insert(turn_of(entry));
    } else {
      by_number_.erase(number);
    }
  }
}

}  // namespace thymewood::membership
