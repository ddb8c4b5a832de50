// Slow start: a server that has just started receives traffic in proportion to the capacity it has reached.
//
// All replicas together could overload a server that is warming up. Each replica therefore sends it no more
// than the server's share of the replica's own traffic, scaled by the capacity that the server has reached.
#pragma once

#include "decaying_rate.h"
#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood {

// Per-server token bucket of this replica.
class SlowStartBudget {
 public:
  SlowStartBudget() = default;
  // Starts at a random level: replicas are notified of a new server at the same time and must not all send to
  // it at once.
  SlowStartBudget(double now, Random& random) : tokens_(random.unit()), refilled_at_(now) {}

 private:
  friend class SlowStart;
  double tokens_ = 0;
  double refilled_at_ = 0;
};

// Tracks the rate of admitted requests, from which budgets are computed.
class SlowStart {
 public:
  SlowStart(double min_capacity, double window) : min_capacity_(min_capacity), window_(window) {}

  void record_admission(double now) { admitted_rate_.add(now); }

  // The fraction of its full capacity that a server is certain to have reached, up to 1.
  double capacity(double now, const Endpoint& endpoint) const;

  // Whether the budget allows one more attempt. `total_weight`: the sum over all ready servers.
  bool allows(double now, const Endpoint& endpoint, SlowStartBudget& budget, double total_weight) const;
  // Takes a token for an attempt that is sent.
  void consume_token(double now, const Endpoint& endpoint, SlowStartBudget& budget) const;

 private:
  static constexpr double kAdmittedTimeConstant = 5;  // s

  double min_capacity_;
  double window_;  // s
  DecayingRate admitted_rate_{kAdmittedTimeConstant};
};

}  // namespace thymewood
