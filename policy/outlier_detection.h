// Passive health checking of one server: a server that fails too often is ejected from selection.
//
// The failure average decays over time, so that an ejected server receives requests again. It decays more
// slowly after consecutive failures.
#pragma once

#include <algorithm>
#include <cmath>

namespace thymewood {

class OutlierDetector {
 public:
  // Exponentially weighted failure average, 0 to 1.
  double failure_average(double now) const {
    if (average_ == 0) return 0;
    const double decayed =
        average_ * std::exp2((updated_at_ - now) / (kHalfLife * (1 + consecutive_failures_)));
    return decayed < kNegligibleAverage ? 0 : decayed;
  }
  bool is_ejected(double now) const { return failure_average(now) >= kEjectionThreshold; }

  void record(double now, bool success) {
    average_ = failure_average(now) + kGain * ((success ? 0 : 1) - failure_average(now));
    updated_at_ = now;
    consecutive_failures_ = success ? 0 : std::min(consecutive_failures_ + 1, kMaxConsecutiveFailures);
  }

 private:
  static constexpr double kGain = 0.3;    // weight of one outcome
  static constexpr double kHalfLife = 2;  // s; multiplied by the number of consecutive failures plus one
  static constexpr int kMaxConsecutiveFailures = 4;  // bounds the half-life
  // Averages below count as 0; otherwise a server would never recover fully.
  static constexpr double kNegligibleAverage = 0.05;
  static constexpr double kEjectionThreshold = 0.5;

  double average_ = 0;
  double updated_at_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace thymewood
