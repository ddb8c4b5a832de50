#include "latency_statistics.h"

#include <algorithm>
#include <cmath>

namespace thymewood {
namespace {

constexpr double kGain = 0.05;               // weight of one attempt
constexpr double kDeviations = 15;           // deviations over the mean, up to which an attempt is not late
constexpr double kTailFactor = 1.5;          // x the longest attempt of late, likewise
constexpr double kTailTimeConstant = 5;      // s
constexpr double kTooShortFactor = 1;        // x the mean
constexpr double kMinSamples = 20;           // attempts, before the mean replaces the first guess
constexpr double kMaxInitialObjective = 60;  // s; bounds the first guess

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
  c.tail = std::max(elapsed, c.tail * std::exp((c.tail_at - now) / kTailTimeConstant));
  c.tail_at = now;
}

double LatencyStatistics::upper_bound(std::size_t request_class) const {
  const ClassLatency& c = classes_[request_class];
  return std::max(c.latency.mean + kDeviations * c.latency.deviation, kTailFactor * c.tail);
}

bool LatencyStatistics::is_too_short(std::size_t request_class, double time_left) const {
  const Estimate& latency = classes_[request_class].latency;
  return latency.samples >= kMinSamples && time_left < kTooShortFactor * latency.mean;
}

}  // namespace thymewood
