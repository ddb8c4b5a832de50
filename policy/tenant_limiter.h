// A tenant's limit: how many calls a second it may make, learned from its own calls, and the suppressed
// strategy of the design page by which calls beyond it are denied. Nothing here knows of servers.
//
// Times are seconds on the module's clock; limits and rates are calls a second.
#pragma once

#include "random.h"
#include "sliding_window.h"
#include "thymewood/balancer.h"

namespace thymewood {

class TenantLimiter {
 public:
  // Without an allowance there is no limit.
  TenantLimiter(const Tenant& told, const Settings& settings);

  // Whether one more call may go; it is counted either way.
  bool admits(double now, Random& random);

  // Whether the tenant has not had its share of late. Danger: where others flood the tier, what is worth
  // little takes all the room. Less room for those instead would feed on itself: room is learned from
  // answers.
  bool is_within_share(double now) const;

  // Learns, a step with each call that ends. `unqueued`: 1 where answers show no queue, 0 where they do.
  // Danger: calls end a feedback delay after they were let in; a second in which all end badly takes a part
  // of a limit and no more, however high it is.
  void ended(double now, bool badly, double unqueued);

  // This copy's part of the allowance is so many times what it was.
  void share_anew(double factor);

  TenantLimitView view(double now) const;

 private:
  double factor_of(const SlidingWindow::Sums& sums) const;

  SlidingWindow window_;
  bool first_tier_;
  double limit_, start_, floor_ = 0, worth_ = 1;  // worth: of what exceeds the start
  double factor_ = 0, factor_until_;
};

}  // namespace thymewood
