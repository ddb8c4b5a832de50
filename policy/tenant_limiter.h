// Rate limiting of one tenant: a limit learned from the results of its own requests, beyond which requests
// are denied with a probability (suppression). Nothing here knows of servers.
//
// Times are seconds on the host's clock; limits and rates are requests per second.
#pragma once

#include "random.h"
#include "sliding_window.h"
#include "thymewood/balancer.h"

namespace thymewood {

class TenantLimiter {
 public:
  // Without a quota there is no limit.
  TenantLimiter(const Tenant& tenant, const Settings& settings);

  // Whether one more request is admitted; it is counted either way.
  bool admits(double now, Random& random);

  // Whether the tenant has used no more than its quota of late. Such requests get more capacity, since
  // tenants that flood the tier would otherwise take all of it. Giving those less instead would feed on
  // itself: the concurrency limit is learned from responses.
  bool is_within_quota(double now) const;

  // Adjusts the limit by the end of one request. `unqueued`: 1 where responses show no queue, 0 where they
  // do. Requests end some time after they were admitted, so that a second of failures may take only a part of
  // a limit, however high it is.
  void record_success(double now, double unqueued);
  void record_overload();

  // This replica's part of the quota is now so many times what it was.
  void scale_quota(double factor);

  TenantLimitView view(double now) const;

 private:
  double suppression(const SlidingWindow::Sums& sums) const;
  double step() const;

  SlidingWindow window_;
  bool is_first_tier_;
  double limit_;
  double initial_limit_;
  double min_limit_ = 0;
  double over_quota_weight_ = 1;  // of what exceeds the initial limit
  double cached_suppression_ = 0;
  double cached_until_;
};

}  // namespace thymewood
