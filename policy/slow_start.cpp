#include "slow_start.h"

#include <algorithm>

namespace thymewood {
namespace {

// Multiple of a server's traffic share, scaled by the capacity it has reached.
constexpr double kBudgetFactor = 1;
constexpr double kBurstSeconds = 0.1;  // s of a server's traffic share; added to the burst of one attempt

}  // namespace

double SlowStart::capacity(double now, const Endpoint& endpoint) const {
  if (endpoint.started_at == 0 || window_ <= 0) return 1;
  const double age = std::max(0.0, now - endpoint.started_at);
  return std::min(1.0, min_capacity_ + (1 - min_capacity_) * age / window_);
}

bool SlowStart::allows(double now, const Endpoint& endpoint, SlowStartBudget& budget,
                       double total_weight) const {
  const double reached_capacity = capacity(now, endpoint);
  if (reached_capacity >= 1) return true;
  const double traffic_share = admitted_rate_.at(now) * endpoint.weight / total_weight;
  budget.tokens_ = std::min(
      1.0 + traffic_share * kBurstSeconds,
      budget.tokens_ + (now - budget.refilled_at_) * traffic_share * reached_capacity * kBudgetFactor);
  budget.refilled_at_ = now;
  return budget.tokens_ >= 1;
}

void SlowStart::consume_token(double now, const Endpoint& endpoint, SlowStartBudget& budget) const {
  if (capacity(now, endpoint) < 1) budget.tokens_ -= 1;
}

}  // namespace thymewood
