// The time windows in a history during which faults of nodes, servers or links excuse violations.
#pragma once

#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "record.h"

namespace thymewood::fleet {

// For each key, the time windows during which a condition held.
template <class Key>
class TimeWindows {
 public:
  void begin(const Key& key, double at) { windows_[key].push_back({at, kStillOpen}); }
  void end(const Key& key, double at) {
    const auto found = windows_.find(key);
    if (found == windows_.end()) return;
    for (Window& window : found->second) {
      if (window.to == kStillOpen) window.to = at;
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
  static constexpr double kStillOpen = std::numeric_limits<double>::infinity();
  struct Window {
    double from = 0, to = kStillOpen;
  };
  std::map<Key, std::vector<Window>> windows_;
};

class FaultWindows {
 public:
  explicit FaultWindows(const History& history);

  // Whether a fault of `a`, of `b` or of the link between them may have affected an exchange between them.
  bool fault_affects(const Actor& a, const Actor& b, double from, double to) const;
  // Whether the link from `a` to `b` was faulty.
  bool link_faulty(const Actor& a, const Actor& b, double from, double to) const {
    return links_.overlap({a, b}, from, to);
  }

 private:
  TimeWindows<Actor> actors_;     // killed, crashed or paused
  TimeWindows<Actor> shut_down_;  // from the end of a graceful shutdown on
  TimeWindows<std::pair<Actor, Actor>> links_;
};

}  // namespace thymewood::fleet
