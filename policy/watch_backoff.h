// Backoff between calls to discovery that fail to open a watch.
//
// A replica that does not get the list in time has to stop using its servers, since they may drain without
// its notice: calls follow each other sooner than the lease on the list ends. On the other hand, discovery is
// shared by all replicas and processes their calls in sequence. It rejects a call that has waited too long,
// and the work already done for that call is wasted. If calls arrive together, most of them are rejected.
// Replicas lose their watches at the same time, so after the first call that waited in vain each one chooses
// a random time within the next interval, and calls again at that time and at nearly constant intervals from
// then: the calls of all replicas stay spread evenly. A call that failed immediately cost almost nothing and
// is retried soon.
//
// A discovery that is down rejects every call. One that is available may reject watches and still answer
// requests for the complete list. After a rejected watch the next call is therefore a request for the list,
// while the last one may still be used; once it may not, every fourth call is.
//
// No clock or I/O: durations are parameters, in seconds.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood {

class WatchBackoff {
 public:
  // `poll_interval`: s; how long a list may be used without a poll. 0: not configured. `lease`: s; how long
  // it may be used after a call that was not answered.
  WatchBackoff(double poll_interval, double lease)
      : poll_interval_(poll_interval), max_call_interval_(std::min(kMaxCallInterval, lease)) {}

  struct NextCall {
    DiscoveryCall call = DiscoveryCall::kWatch;
    double delay = 0;  // s
  };

  // The next call after one that failed. `list_validity`: s; how long the last list may still be used without
  // further confirmation; not positive once it may not.
  NextCall next_call(const std::optional<WatchFailure>& failure, double list_validity, Random& random) {
    if (!failure || failure->had_responded || failure->call == DiscoveryCall::kList)
      return {DiscoveryCall::kWatch, next_delay(failure, random)};
    const bool was_queued = failure->wait_time >= kMinQueuedWait;
    const double delay = was_queued ? delay_after_queued_failure(failure->wait_time, random, list_validity)
                                    : delay_after_immediate_failure(random);
    if (list_validity <= 0) {
      const bool is_list_due = ++watches_since_list_ % kWatchesPerList == 0;
      return {is_list_due ? DiscoveryCall::kList : DiscoveryCall::kWatch, delay};
    }
    if (was_queued) return {DiscoveryCall::kList, delay};
    // Another watch must have failed while there is still time for the list.
    if (delay + kMinQueuedWait < list_validity) return {DiscoveryCall::kWatch, delay};
    return {DiscoveryCall::kList, std::min(delay, list_validity)};
  }

  // The next call after discovery has answered a request for the list in `wait_time` s. If it answered at
  // once it has time for another call soon, otherwise this replica keeps its call interval.
  NextCall next_call_after_list(double wait_time, double list_validity, Random& random) {
    is_spread_ = true;
    next_interval_ = 0;
    const double delay = wait_time < kMinQueuedWait
                             ? random.unit() * max_reopen_delay()
                             : std::min(delay_after_queued_failure(wait_time, random), list_validity);
    return {DiscoveryCall::kWatch, std::max(0.0, delay)};
  }

  // Discards earlier failures: a watch is open, or discovery has moved to another address.
  void reset() {
    backoff_ = kInitialBackoff;
    immediate_failures_ = 0;
    is_spread_ = false;
    next_interval_ = 0;
    watches_since_list_ = 0;
  }

  // s; delay before the next call.
  double next_delay(const std::optional<WatchFailure>& failure, Random& random) {
    if (!failure) return delay_after_unknown_failure(random);
    if (failure->had_responded) return random.unit() * max_reopen_delay();
    if (failure->wait_time < kMinQueuedWait) return delay_after_immediate_failure(random);
    return delay_after_queued_failure(failure->wait_time, random);
  }

 private:
  // s; longest time between two calls of a replica. A change counts as notified 6 s after discovery could be
  // reached, and the drain that it may report ends within 1 s from then.
  static constexpr double kMaxCallInterval = 6.4;
  static constexpr double kIntervalJitterFraction = 0.03;
  static constexpr double kMaxIntervalExcess = 0.3;  // s; of the first interval over the others
  static constexpr double kMinSpreadDelay = 1;       // s
  // Failed watches between two requests for the list once the last list may not be used any more. Most such
  // failures are those of an outage, which a watch ends at less cost to discovery.
  static constexpr int kWatchesPerList = 3;
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

  double max_reopen_delay() const {
    return std::min(kMaxReopenDelay, poll_interval_ > 0 ? poll_interval_ / 4 : kMaxReopenDelay);
  }

  // Reduces the delay by up to a half at random, so that replicas whose calls failed together do not call
  // again together.
  static double jittered(double delay, Random& random) { return delay * (0.5 + random.unit() / 2); }

  // `list_validity`: s; the next call is made within it if it is positive.
  double delay_after_queued_failure(double wait_time, Random& random, double list_validity = 0) {
    if (!std::exchange(is_spread_, true)) return spread_delay(wait_time, random, list_validity);
    double interval = std::exchange(next_interval_, 0);
    if (interval == 0) interval = max_call_interval_ * (1 - random.unit() * kIntervalJitterFraction);
    const double delay = interval - wait_time;
    return std::max(kInitialDelay, list_validity > 0 ? std::min(delay, list_validity) : delay);
  }

  // Chooses this replica's time within the interval. If that is too late for the call that has just failed,
  // one more call is made before it, at a random time.
  double spread_delay(double wait_time, Random& random, double list_validity) {
    const double delay =
        kMinSpreadDelay + random.unit() * std::max(0.0, max_call_interval_ - kMinSpreadDelay);
    double latest = std::max(0.0, max_call_interval_ + kMaxIntervalExcess - wait_time);
    if (list_validity > 0) latest = std::min(latest, list_validity);
    if (delay <= latest) return delay;
    const double excess = (delay - latest) / (max_call_interval_ - latest);  // 0 .. 1, evenly distributed
    const double max_early_delay =
        std::max(kInitialDelay, std::min(latest, kInitialDelay + max_call_interval_ - latest));
    const double early_delay = kInitialDelay + excess * (max_early_delay - kInitialDelay);
    next_interval_ = delay - early_delay;
    return early_delay;
  }

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
  double max_call_interval_;  // s
  double backoff_ = kInitialBackoff;
  int immediate_failures_ = 0;
  int watches_since_list_ = 0;
  bool is_spread_ = false;    // this replica has chosen its time within the interval
  double next_interval_ = 0;  // s; 0 unless the next interval is shorter than the others
};

}  // namespace thymewood
