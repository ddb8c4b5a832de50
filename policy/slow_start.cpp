#include "slow_start.h"

#include <algorithm>

namespace thymewood {
namespace {

constexpr double kBudgetFactor = 1;    // x a server's part of the traffic, times the capacity it has reached
constexpr double kBurstSeconds = 0.1;  // s of a server's part of the traffic, beside one attempt

}  // namespace

double SlowStart::capacity(double now, const Endpoint& endpoint) const {
  if (endpoint.started_at == 0 || window_ <= 0) return 1;
  const double age = std::max(0.0, now - endpoint.started_at);
  return std::min(1.0, min_capacity_ + (1 - min_capacity_) * age / window_);
}

bool SlowStart::allows(double now, const Endpoint& endpoint, SlowStartBudget& budget,
                       double total_weight) const {
  const double reached = capacity(now, endpoint);
  if (reached >= 1) return true;
  const double part = admitted_.at(now) * endpoint.weight / total_weight;
  budget.tokens_ = std::min(1.0 + part * kBurstSeconds,
                            budget.tokens_ + (now - budget.refilled_at_) * part * reached * kBudgetFactor);
  budget.refilled_at_ = now;
  return budget.tokens_ >= 1;
}

void SlowStart::spend(double now, const Endpoint& endpoint, SlowStartBudget& budget) const {
  if (capacity(now, endpoint) < 1) budget.tokens_ -= 1;
}

}  // namespace thymewood
