#include "latency_statistics.h"

#include <algorithm>
#include <cmath>

namespace thymewood {
namespace {

constexpr double kGain = 0.05;                // weight of one attempt
constexpr double kUpperBoundDeviations = 15;  // mean deviations; an attempt within them is not late
constexpr double kTailFactor = 1.5;           // multiple of the decaying maximum; likewise
constexpr double kTailTimeConstant = 5;       // s
constexpr double kTooShortFactor = 1;         // multiple of the mean
constexpr double kMinSamples = 20;            // attempts before the mean is used for usually_exceeds()
constexpr double kMaxInitialObjective = 60;   // s; bounds the initial mean

}  // namespace

LatencyStatistics::LatencyStatistics(const std::vector<RequestClass>& classes) {
  for (const RequestClass& c : classes) {
    const double latency_objective = std::min(c.latency_objective, kMaxInitialObjective);
    classes_.push_back({{latency_objective / 4, latency_objective / 8, 0}});
  }
}

void LatencyStatistics::record(double now, std::size_t request_class, double elapsed) {
  ClassLatency& c = classes_[request_class];
  overall_.add(elapsed, kGain);
  c.latency.add(elapsed, kGain);
  c.tail = std::max(elapsed, c.tail * std::exp((c.tail_updated_at - now) / kTailTimeConstant));
  c.tail_updated_at = now;
}

double LatencyStatistics::late_threshold(std::size_t request_class) const {
  const ClassLatency& c = classes_[request_class];
  return std::max(c.latency.mean + kUpperBoundDeviations * c.latency.deviation, kTailFactor * c.tail);
}

bool LatencyStatistics::usually_exceeds(std::size_t request_class, double time_left) const {
  const Estimate& latency = classes_[request_class].latency;
  return latency.samples >= kMinSamples && time_left < kTooShortFactor * latency.mean;
}

}  // namespace thymewood
