// Exponentially weighted moving average and mean absolute deviation.
#pragma once

#include <algorithm>
#include <cmath>

namespace thymewood {

// The first samples have a larger weight, so that the initial value is replaced quickly.
struct Estimate {
  double mean = 0;
  double deviation = 0;
  double samples = 0;

  // `min_gain`: the weight of one sample after many samples.
  void add(double value, double min_gain) {
    samples += 1;
    const double gain = std::max(min_gain, 1 / (samples + 1));
    deviation += gain * (std::abs(value - mean) - deviation);
    mean += gain * (value - mean);
  }
};

}  // namespace thymewood
