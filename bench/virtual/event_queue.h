// The pending events of a simulated run, ordered by time; events at the same time are ordered by insertion.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <queue>
#include <vector>

namespace thymewood::bench {

struct Event {
  enum class Kind {
    kOpenArrival,
    kClientSends,
    kAtNode,
    kAtServer,
    kServerProgress,
    kResultReturns,
    kTimeout,
    kTimer,
    kChange,
    kNotified,
    kReplicaStart,
    kClientRetries,  // a client sends its next attempt
    kFloodRequest,   // the next request of a flood
    kCallEnded,      // a first-tier server's call to the second tier has completed
    kSecondEnd
  };
  double at = 0;
  std::uint64_t order = 0;
  Kind kind = Kind::kSecondEnd;
  std::size_t index = 0;  // of a request, attempt, server, client, replica, change or flood, by `kind`
  std::uint64_t tag = 0;  // generation, timer token or replica
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class EventQueue {
 public:
  // Events with an infinite time are dropped.
  void push(double at, Event::Kind kind, std::size_t index, std::uint64_t tag) {
    if (at < std::numeric_limits<double>::infinity()) events_.push({at, next_order(), kind, index, tag});
  }
  [[nodiscard]] bool empty() const { return events_.empty(); }
  double next_at() const { return events_.top().at; }
  Event pop() {
    const Event event = events_.top();
    events_.pop();
    return event;
  }
  // Returns a number that no event and no earlier call has used.
  std::uint64_t next_order() { return ++order_; }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
};

}  // namespace thymewood::bench
