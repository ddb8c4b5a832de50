// Latency of one server relative to the mean latency of the same request classes.
#pragma once

#include <algorithm>

#include "estimate.h"

namespace thymewood {

class RelativeLatency {
 public:
  // `ratio`: latency of an attempt divided by the mean of its class.
  void record(double now, double ratio) {
    ratio_.add(ratio, kGain);
    updated_at_ = now;
  }
  // Returns to 1 over time; otherwise a slow server would not be selected again after it has recovered.
  double at(double now) const {
    return 1 + (ratio_.mean - 1) * std::max(0.0, 1 - (now - updated_at_) / kRetention);
  }

 private:
  static constexpr double kGain = 0.3;      // weight of one attempt
  static constexpr double kRetention = 20;  // s; until the ratio has returned to 1

  Estimate ratio_{1, 0, 0};
  double updated_at_ = 0;
};

}  // namespace thymewood
