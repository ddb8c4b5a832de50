// The events to come of a simulated run, in the order of their times; of equal times, in that of their
// making.
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
    kUp,
    kClientRetries,  // a client whose attempt was not served
    kFlood,          // the next request of a tenant's flood
    kCallEnded,      // a first-tier server has its answer from the second tier
    kSecond
  };
  double at = 0;
  std::uint64_t order = 0;
  Kind kind = Kind::kSecond;
  std::size_t what = 0;     // request, attempt, server, client, replica, change or flood, by the kind
  std::uint64_t extra = 0;  // generation, token or replica
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class EventQueue {
 public:
  // An infinite time stands for never.
  void push(double at, Event::Kind kind, std::size_t what, std::uint64_t extra) {
    if (at < std::numeric_limits<double>::infinity()) events_.push({at, next_order(), kind, what, extra});
  }
  [[nodiscard]] bool empty() const { return events_.empty(); }
  double next_at() const { return events_.top().at; }
  Event pop() {
    const Event event = events_.top();
    events_.pop();
    return event;
  }
  // A number that no event and no earlier call has.
  std::uint64_t next_order() { return ++order_; }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
};

}  // namespace thymewood::bench
