// Adaptive rate limiter for one tenant. The limit is learned from the results of the tenant's own requests;
// above it, requests are denied with a probability (suppression). It does not depend on the state of servers.
//
// Times are seconds on the host's clock; limits and rates are requests per second.
#pragma once

#include "random.h"
#include "sliding_window.h"
#include "thymewood/balancer.h"

namespace thymewood {

class TenantLimiter {
 public:
  // A tenant without a quota is not limited.
  TenantLimiter(const Tenant& tenant, const Settings& settings);

  // Returns whether one more request is admitted; the request is counted either way.
  bool admit(double now, Random& random);

  // Whether the tenant has stayed within its quota over the window. Its requests then get a higher
  // concurrency limit; otherwise tenants that flood the tier would use up all capacity. Lowering the limit
  // for the flooding tenants instead would cause a feedback loop, since the concurrency limit is learned from
  // responses.
  bool is_within_quota(double now) const;

  // Adjust the limit when a request completes. `unqueued`: 1 if responses show no queueing, 0 if they do.
  // Requests complete some time after they were admitted, so one second of failures must lower the limit only
  // in part, however high it is.
  void record_success(double now, double unqueued);
  void record_overload();

  // Multiplies this replica's share of the quota by `factor`.
  void scale_quota(double factor);

  TenantLimitView view(double now) const;

 private:
  double suppression(const SlidingWindow::Sums& sums) const;
  double decrease_fraction() const;

  SlidingWindow window_;
  bool is_first_tier_;
  double limit_;
  double initial_limit_;
  double min_limit_ = 0;
  double over_quota_weight_ = 1;  // weight of increases above the initial limit
  double cached_suppression_ = 0;
  double cached_until_;
};

}  // namespace thymewood
