// When a fault of a node, a server or a link excuses what could not be promised: collected from a history.
#pragma once

#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "record.h"

namespace thymewood::fleet {

// The time windows during which a condition held, for each of many keys.
template <class Key>
class TimeWindows {
 public:
  void begin(const Key& key, double at) { windows_[key].push_back({at, kOpen}); }
  void end(const Key& key, double at) {
    const auto found = windows_.find(key);
    if (found == windows_.end()) return;
    for (Window& window : found->second) {
      if (window.to == kOpen) window.to = at;
    }
  }
  bool overlap(const Key& key, double from, double to) const {
    const auto found = windows_.find(key);
    if (found == windows_.end()) return false;
    for (const Window& window : found->second) {
      if (window.from <= to && window.to >= from) return true;
    }
    return false;
  }

 private:
  static constexpr double kOpen = std::numeric_limits<double>::infinity();
  struct Window {
    double from = 0, to = kOpen;
  };
  std::map<Key, std::vector<Window>> windows_;
};

class FaultWindows {
 public:
  explicit FaultWindows(const History& history);

  // Whether an exchange between `a` and `b` met a fault of either or of the link between them.
  bool excuse(const Actor& a, const Actor& b, double from, double to) const;
  // Whether the link from `a` to `b` was faulty.
  bool link_faulty(const Actor& a, const Actor& b, double from, double to) const {
    return links_.overlap({a, b}, from, to);
  }

 private:
  TimeWindows<Actor> actors_;    // killed, crashed or paused
  TimeWindows<Actor> draining_;  // past the end of a graceful shutdown
  TimeWindows<std::pair<Actor, Actor>> links_;
};

}  // namespace thymewood::fleet
