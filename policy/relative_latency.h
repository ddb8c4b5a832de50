// The latency of one server in comparison with what requests of the same classes take elsewhere.
#pragma once

#include <algorithm>

#include "estimate.h"

namespace thymewood {

class RelativeLatency {
 public:
  // `ratio`: an attempt's latency over the mean of its class.
  void record(double now, double ratio) {
    ratio_.add(ratio, kGain);
    updated_at_ = now;
  }
  // Returns to 1 with time, or a slow server would not be selected again once it has recovered.
  double at(double now) const {
    return 1 + (ratio_.mean - 1) * std::max(0.0, 1 - (now - updated_at_) / kRetention);
  }

 private:
  static constexpr double kGain = 0.3;      // weight of one attempt
  static constexpr double kRetention = 20;  // s

  Estimate ratio_{1, 0, 0};
  double updated_at_ = 0;
};

}  // namespace thymewood
