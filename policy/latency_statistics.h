// Attempt latency, per request class and over all classes.
#pragma once

#include <vector>

#include "estimate.h"
#include "thymewood/balancer.h"

namespace thymewood {

class LatencyStatistics {
 public:
  // The initial means are derived from the latency objectives of the classes.
  explicit LatencyStatistics(const std::vector<RequestClass>& classes);

  // Records the latency of an attempt that completed or timed out.
  void record(double now, std::size_t request_class, double elapsed);

  // Mean latency of a class, and of all classes, in seconds.
  double mean(std::size_t request_class) const { return classes_[request_class].latency.mean; }
  double overall_mean() const { return overall_.mean; }
  // An attempt that takes longer than this, in seconds, is clearly late.
  double late_threshold(std::size_t request_class) const;
  // Whether requests of the class usually take longer than `time_left`; false until enough were observed.
  bool usually_exceeds(std::size_t request_class, double time_left) const;

 private:
  struct ClassLatency {
    Estimate latency;  // s
    // Maximum with exponential decay, in seconds: if only a few requests are slow, the mean deviation does
    // not cover them.
    double tail = 0;
    double tail_updated_at = 0;
  };

  std::vector<ClassLatency> classes_;
  Estimate overall_{1, 0, 0};  // s
};

}  // namespace thymewood
