// Backoff between calls to discovery that fail to open a watch.
//
// Discovery is shared by all replicas and processes their calls in sequence. It rejects a call that has
// waited too long, and the work already done for that call is wasted. If calls arrive faster than discovery
// can process them, all are rejected in the end and none succeeds until the replicas call less often.
// Replicas lose their watches at the same time, so the call rate must be sustainable for all of them
// together: one call of each replica may keep discovery busy for kMeanCallInterval. A call that waited before
// it failed was either in such a queue or sent to a discovery that is down, and a replica cannot distinguish
// the two. A call that failed immediately cost almost nothing and is retried soon.
//
// No clock or I/O: durations are parameters, in seconds.
#pragma once

#include <algorithm>
#include <optional>

#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood {

class WatchBackoff {
 public:
  // `poll_interval`: s; how long a list may be used without a poll. 0: not configured.
  explicit WatchBackoff(double poll_interval) : poll_interval_(poll_interval) {}

  // Discards earlier failures: a watch is open, or discovery has moved to another address.
  void reset() {
    backoff_ = kInitialBackoff;
    immediate_failures_ = 0;
  }

  // s; delay before the next call.
  double next_delay(const std::optional<WatchFailure>& failure, Random& random) {
    if (!failure) return delay_after_unknown_failure(random);
    if (failure->had_responded)
      return random.unit() *
             std::min(kMaxReopenDelay, poll_interval_ > 0 ? poll_interval_ / 4 : kMaxReopenDelay);
    if (failure->wait_time >= kMinQueuedWait) {
      const double interval =
          kMeanCallInterval * (kMinIntervalFraction + random.unit() * (2 - 2 * kMinIntervalFraction));
      return std::max(kInitialDelay, interval - failure->wait_time);
    }
    return delay_after_immediate_failure(random);
  }

 private:
  // s; mean time between two calls of a replica. Discovery may need as long for one call of each replica.
  static constexpr double kMeanCallInterval = 8;
  // Shortest interval, as a fraction of the mean. The distribution is symmetric about the mean.
  static constexpr double kMinIntervalFraction = 0.5;
  static constexpr double kMinQueuedWait = 0.4;  // s; a call that failed sooner did not wait in a queue
  // s; replicas whose watches end together spread their calls over this time.
  static constexpr double kMaxReopenDelay = 2;
  static constexpr double kInitialDelay = 0.3;  // s; doubled after each immediate failure
  // s; the lower maximum applies to the first failures: 4 s after discovery has moved, replicas count as
  // notified of the changes that it already had.
  static constexpr double kMaxEarlyDelay = 0.9, kMaxLateDelay = 1.8;
  static constexpr int kEarlyFailures = 6;
  static constexpr double kInitialBackoff = 0.5;  // s; for failures without details, doubled after each
  static constexpr double kMaxBackoff = 5;        // s; if no poll interval is configured

  // Reduces the delay by up to a half at random, so that replicas whose calls failed together do not call
  // again together.
  static double jittered(double delay, Random& random) { return delay * (0.5 + random.unit() / 2); }

  double delay_after_immediate_failure(Random& random) {
    const int failures = immediate_failures_++;
    if (failures >= kEarlyFailures) return jittered(kMaxLateDelay, random);
    return jittered(std::min(kInitialDelay * static_cast<double>(1 << failures), kMaxEarlyDelay), random);
  }

  double delay_after_unknown_failure(Random& random) {
    const double max_backoff = poll_interval_ > 0 ? poll_interval_ / 2 : kMaxBackoff;
    const double delay = jittered(std::min(backoff_, max_backoff), random);
    backoff_ = std::min(backoff_ * 2, max_backoff);
    return delay;
  }

  double poll_interval_;
  double backoff_ = kInitialBackoff;
  int immediate_failures_ = 0;
};

}  // namespace thymewood
