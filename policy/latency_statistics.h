// How long attempts take, for each request class and over all of them.
#pragma once

#include <vector>

#include "estimate.h"
#include "thymewood/balancer.h"

namespace thymewood {

class LatencyStatistics {
 public:
  // The first guesses come from the latency objectives of the classes.
  explicit LatencyStatistics(const std::vector<RequestClass>& classes);

  // An attempt was answered or has timed out.
  void record(double now, std::size_t request_class, double elapsed);

  // s; the mean of a class, and of all classes.
  double mean(std::size_t request_class) const { return classes_[request_class].latency.mean; }
  double overall_mean() const { return overall_.mean; }
  // s; an attempt that takes longer is clearly late.
  double upper_bound(std::size_t request_class) const;
  // Whether requests of the class usually take longer than `time_left`; false while few have been seen.
  bool is_too_short(std::size_t request_class, double time_left) const;

 private:
  struct ClassLatency {
    Estimate latency;  // s
    // s; the longest of late, decaying: where few requests are slow, the mean deviation does not cover them.
    double tail = 0;
    double tail_at = 0;
  };

  std::vector<ClassLatency> classes_;
  Estimate overall_{1, 0, 0};  // s
};

}  // namespace thymewood
