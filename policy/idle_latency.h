// The latency of a request class on an idle tier, learned from latencies that may include queueing.
#pragma once

#include "estimate.h"

namespace thymewood {

// A ratio of the class's latency objective. It falls soon and rises slowly. The first responses after a start
// are those of the quickest requests, and a start under load sees none that did not queue; so the ratio is
// bounded until responses without a queue were seen.
class IdleLatency {
 public:
  // `queued`: the response may have met a queue.
  void add(double now, double ratio, bool queued);
  // Recent responses are known to have met no queue, however long they took.
  void confirm_unqueued(double now);

  double ratio() const { return ratio_; }
  // Whether responses without a queue are among what the ratio goes by.
  bool is_reliable() const { return reliable_; }

 private:
  static constexpr double kMaxUnderLoad = 0.15;  // the most that responses under rejections may give at first

  Estimate recent_;
  double ratio_ = kMaxUnderLoad;
  double confirmed_ = 0;  // the bounds on the ratio are not below this
  double updated_at_ = 0;
  bool learned_ = false;
  bool reliable_ = false;
};

}  // namespace thymewood
