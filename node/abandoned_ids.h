// The ids of requests whose clients disconnected while an attempt may have run. Such a request must not be
// sent again under the same id: it could run twice.
//
// Reads no clock: times are parameters, in seconds on the node's clock.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace thymewood::node {

class AbandonedIds {
 public:
  void add(const std::string& id, double now);
  [[nodiscard]] bool contains(const std::string& id, double now);

 private:
  // s; longer than a client that lost its connection repeats a request.
  static constexpr double kRetention = 60;
  static constexpr std::size_t kMaxIds = 4096;  // bounds the memory; the oldest are dropped

  struct Abandoned {
    double at = 0;
    std::string id;
  };

  void drop_oldest();

  std::deque<Abandoned> by_time_;  // oldest first
  std::unordered_set<std::string> ids_;
};

}  // namespace thymewood::node
