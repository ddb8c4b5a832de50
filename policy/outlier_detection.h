// Passive health of one server: whether it fails so often that it is ejected from selection.
//
// The average of failures decays with time, so that an ejected server receives requests again; it decays more
// slowly after several failures in a row.
#pragma once

#include <algorithm>
#include <cmath>

namespace thymewood {

class OutlierDetector {
 public:
  // The average of failures, 0 to 1.
  double failure_average(double now) const {
    if (average_ == 0) return 0;
    const double decayed =
        average_ * std::exp2((updated_at_ - now) / (kHalfLife * (1 + consecutive_failures_)));
    return decayed < kNegligible ? 0 : decayed;
  }
  bool is_ejected(double now) const { return failure_average(now) >= kEjectionThreshold; }

  void record(double now, bool success) {
    average_ = failure_average(now) + kGain * ((success ? 0 : 1) - failure_average(now));
    updated_at_ = now;
    consecutive_failures_ = success ? 0 : std::min(consecutive_failures_ + 1, kMaxConsecutiveFailures);
  }

 private:
  static constexpr double kGain = 0.3;               // weight of one outcome
  static constexpr double kHalfLife = 2;             // s, for each failure in a row and one more
  static constexpr int kMaxConsecutiveFailures = 4;  // bounds the half-life
  static constexpr double kNegligible = 0.05;        // counts as none, or a server would never recover fully
  static constexpr double kEjectionThreshold = 0.5;

  double average_ = 0;
  double updated_at_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace thymewood
