// Backoff of calls to discovery that brought no watch.
//
// Discovery is one service for all replicas and works through their calls in turn. It rejects a call that has
// waited too long, and the work on it is lost: where more calls come than it can work through, each is
// rejected in the end and none is answered, for as long as the replicas keep their pace. Replicas lose their
// watches together, so the pace has to be one that all of them can keep: one call from each may keep
// discovery busy for kRound. A call that waited before it failed was in such a queue, or met a discovery that
// is down; the two look alike. A call that failed at once has cost next to nothing and is retried soon.
//
// Pure: durations in seconds.
#pragma once

#include <algorithm>
#include <optional>

#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood {

class WatchBackoff {
 public:
  // `poll_interval`: s; how long a list may be used without a poll, 0 where the settings give none.
  explicit WatchBackoff(double poll_interval) : poll_interval_(poll_interval) {}

  // A watch is open, or discovery has moved: earlier failures no longer count.
  void reset() {
    backoff_ = kInitialBackoff;
    immediate_failures_ = 0;
  }

  // s until the next call.
  double next_delay(const std::optional<WatchFailure>& failure, Random& random) {
    if (!failure) return after_unknown_failure(random);
    if (failure->was_open)
      return random.unit() * std::min(kMaxSpread, poll_interval_ > 0 ? poll_interval_ / 4 : kMaxSpread);
    if (failure->waited >= kQueued) {
      const double cycle = kRound * (kMinRoundPart + random.unit() * (2 - 2 * kMinRoundPart));
      return std::max(kInitialDelay, cycle - failure->waited);
    }
    return after_immediate_failure(random);
  }

 private:
  static constexpr double kRound = 8;  // s; in which discovery works through one call of each replica
  static constexpr double kMinRoundPart = 0.5;  // of a round between two calls; as much over it at most
  static constexpr double kQueued = 0.4;        // s; a call that failed sooner has not waited in a queue
  static constexpr double kMaxSpread = 2;       // s; over which replicas call whose watches end together
  static constexpr double kInitialDelay = 0.3;  // s; doubled with each failure
  // s; the shorter bound holds for the first failures: after a move what discovery has counts 4 s later.
  static constexpr double kMaxDelay = 0.9, kMaxLaterDelay = 1.8;
  static constexpr int kFirstFailures = 6;
  static constexpr double kInitialBackoff = 0.5;  // s; where the host does not say how a call failed
  static constexpr double kMaxBackoff = 5;        // s; where the settings give no poll interval

  // Less up to a half, so that replicas whose calls failed together do not call together.
  static double jittered(double delay, Random& random) { return delay * (0.5 + random.unit() / 2); }

  double after_immediate_failure(Random& random) {
    const int failures = immediate_failures_++;
    if (failures >= kFirstFailures) return jittered(kMaxLaterDelay, random);
    return jittered(std::min(kInitialDelay * static_cast<double>(1 << failures), kMaxDelay), random);
  }

  double after_unknown_failure(Random& random) {
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
