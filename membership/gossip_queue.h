// What is still to be passed on, and how often it was. Pure.
//
// Infection-style dissemination (SWIM, section 4.1): a rumour rides on datagrams that go out anyway, the ones
// that rode least first, each at most `times` times; one rumour a node, for a newer one replaces the older.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "member_record.h"

namespace thymewood::membership {

class Rumors {
 public:
  // Passed on from now on; replaces what was to be said of the same node.
  void add(const Record& record);
  void forget(Number number);

  // At most `most` records, none of `without`; each counts as passed on once more, and is dropped after
  // `times`. Takes time by what it hands out, not by what it holds.
  void take(std::size_t most, int times, Number without, std::vector<Record>& to);
  std::size_t size() const { return by_number_.size(); }

 private:
  struct Entry {
    Record record;
    int rode = 0;
    std::uint64_t order = 0;  // newest first among those that rode as often
  };
  using Turn = std::tuple<int, std::uint64_t, Number>;
  static Turn turn_of(const Entry& e) { return {e.rode, ~e.order, e.record.number}; }
  std::map<Number, Entry> by_number_;
  std::set<Turn> turns_;
  std::uint64_t order_ = 0;
};

}  // namespace thymewood::membership
