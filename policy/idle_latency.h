// Estimates the latency of a request class on an idle tier from latencies that may include queueing.
#pragma once

#include "estimate.h"

namespace thymewood {

// The idle latency as a ratio of the class's latency objective. It falls quickly and rises slowly. The first
// responses after a start are those of the fastest requests, and under load all of them may have queued, so
// the ratio is bounded until recent requests are known not to have queued.
class IdleLatency {
 public:
  // `queued`: whether the request may have queued.
  void add(double now, double ratio, bool queued);
  // Records that recent requests did not queue, however long they took.
  void confirm_unqueued(double now);

  double ratio() const { return ratio_; }
  // Whether the ratio includes responses without queueing.
  bool is_reliable() const { return reliable_; }

 private:
  // Bound on the first estimate if requests may have queued.
  static constexpr double kMaxInitialUnderLoad = 0.15;

  Estimate average_ratio_;
  double ratio_ = kMaxInitialUnderLoad;
  double confirmed_ratio_ = 0;  // lower limit for the bounds on the ratio
  double updated_at_ = 0;
  bool learned_ = false;
  bool reliable_ = false;
};

}  // namespace thymewood
