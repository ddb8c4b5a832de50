// Slow start: a server that has just started receives traffic in proportion to the capacity it has reached.
//
// All replicas together can overload a server that is warming up. Each therefore spends no more on it than
// the server's part of the replica's own traffic, scaled by the capacity that the server has reached.
#pragma once

#include "decaying_rate.h"
#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood {

// Token bucket of one server at this replica.
class SlowStartBudget {
 public:
  SlowStartBudget() = default;
  // Starts at a random level: replicas learn of a start at the same time and must not all send at once.
  SlowStartBudget(double now, Random& random) : tokens_(random.unit()), refilled_at_(now) {}

 private:
  friend class SlowStart;
  double tokens_ = 0;
  double refilled_at_ = 0;
};

// Owns the rate of admitted requests, by which budgets are sized.
class SlowStart {
 public:
  SlowStart(double min_capacity, double window) : min_capacity_(min_capacity), window_(window) {}

  void request_admitted(double now) { admitted_.add(now); }

  // The part of its full capacity that a server has reached for certain, up to 1.
  double capacity(double now, const Endpoint& endpoint) const;

  // Whether the budget allows one more attempt. `total_weight`: of all servers that are ready.
  bool allows(double now, const Endpoint& endpoint, SlowStartBudget& budget, double total_weight) const;
  // An attempt is sent.
  void spend(double now, const Endpoint& endpoint, SlowStartBudget& budget) const;

 private:
  static constexpr double kAdmittedTimeConstant = 5;  // s

  double min_capacity_;
  double window_;  // s
  DecayingRate admitted_{kAdmittedTimeConstant};
};

}  // namespace thymewood
