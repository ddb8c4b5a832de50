// Estimates how long a pooled connection may have been idle and still be safe for a request that must not be
// sent twice.
//
// Middleboxes drop the state of idle connections, and servers may close them earlier than configured. Neither
// is visible until the next request is written and reset. That request may have been processed (RFC 9110,
// 9.2.2, allows automatic retries only for idempotent requests), so a request that is not idempotent fails.
// While such resets are frequent, these requests use recently active connections or new ones, which cost the
// server some work; idempotent requests keep using the rest of the pool.
//
// Free of I/O and clocks: times are seconds on any steady clock, passed with each call.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood::node {

class IdleLifetimeEstimate {
 public:
  // A reset that comes later than this after the request was written is not attributed to the idle time.
  static constexpr double kMaxResetDelay = 0.02;  // s

  // Records a finished request on a connection that had been idle for `idle` seconds. `was_reset`: it was
  // reset within kMaxResetDelay.
  void record_use(double now, double idle, bool was_reset) {
    reset_ratio_ += kSmoothing * ((was_reset ? 1 : 0) - reset_ratio_);
    if (!was_reset) return;
    shortest_reset_idle_ = std::min(shortest_reset_idle(now), idle);
    last_reset_at_ = now;
  }

  // In seconds; infinite while resets are rare.
  [[nodiscard]] double max_idle(double now) const {
    return reset_ratio_ < kFrequentResets ? std::numeric_limits<double>::infinity()
                                          : kSafetyFactor * shortest_reset_idle(now);
  }

 private:
  static constexpr double kSmoothing = 0.02;  // EWMA weight of one use: averages about the last fifty
  // Ratio of uses that are reset. Two consecutive resets, such as those of a failing server, exceed it;
  // further uses let the ratio decay.
  static constexpr double kFrequentResets = 0.03;
  static constexpr double kSafetyFactor = 0.5;  // applied to the shortest idle time that ended in a reset
  static constexpr double kDoublingTime = 10;   // s; in which the shortest idle time doubles

  [[nodiscard]] double shortest_reset_idle(double now) const {
    return shortest_reset_idle_ * std::exp2((now - last_reset_at_) / kDoublingTime);
  }

  double reset_ratio_ = 0;                                                // moving average over uses
  double shortest_reset_idle_ = std::numeric_limits<double>::infinity();  // s
  double last_reset_at_ = 0;
};

}  // namespace thymewood::node
