// Estimates how long a pooled connection may have been idle and still carry a request that must not be sent
// twice.
//
// Middleboxes drop the state of idle connections, and servers may close them sooner than their settings say.
// Neither shows before the next request is written, and that request is reset. It may have been processed
// (RFC 9110, 9.2.2, allows only idempotent requests to be sent again), so a request that is not idempotent is
// lost. While such resets are frequent, these requests use recently active connections or new ones, which
// cost the server some work; idempotent requests go on using the rest of the pool.
//
// Free of I/O and clocks: times are seconds on any steady clock, passed with each call.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood::node {

class IdleLifetimeEstimate {
 public:
  // A reset later than this after the request was written is not attributed to the idle time.
  static constexpr double kMaxResetDelay = 0.02;  // s

  // A request on a connection that had been idle for `idle` seconds has ended; `was_reset`: by a reset within
  // kMaxResetDelay.
  void record_use(double now, double idle, bool was_reset) {
    reset_ratio_ += kSmoothing * ((was_reset ? 1 : 0) - reset_ratio_);
    if (!was_reset) return;
    shortest_ = std::min(shortest(now), idle);
    shortest_at_ = now;
  }

  // In seconds; infinite while few connections are reset.
  [[nodiscard]] double max_idle(double now) const {
    return reset_ratio_ < kFrequentResets ? std::numeric_limits<double>::infinity()
                                          : kSafetyFactor * shortest(now);
  }

 private:
  static constexpr double kSmoothing = 0.02;  // weight of one use: about the last fifty count
  // Reset ratio; two resets in a row reach it, as when a server fails, and decay with further use.
  static constexpr double kFrequentResets = 0.03;
  static constexpr double kSafetyFactor = 0.5;  // of the shortest idle time that ended in a reset
  static constexpr double kDoublingTime = 10;   // s; in which that shortest idle time doubles again

  [[nodiscard]] double shortest(double now) const {
    return shortest_ * std::exp2((now - shortest_at_) / kDoublingTime);
  }

  double reset_ratio_ = 0;                                     // of the uses
  double shortest_ = std::numeric_limits<double>::infinity();  // s
  double shortest_at_ = 0;
};

}  // namespace thymewood::node
