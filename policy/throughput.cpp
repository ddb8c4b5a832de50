#include "throughput.h"

#include <algorithm>
#include <cmath>

namespace thymewood {

void Throughput::add(double now, double idle_latency, double response_time) {
  steady_.add(now, std::max(kSteadyTimeConstant, 2 * response_time));
  fast_.add(now, response_time / 2);
  slow_.add(now);
  peak_concurrency_ = std::max(concurrency(now), idle_latency * slow_.at(now));
  updated_at_ = now;
}

double Throughput::steady_rate(double now, double response_time) const {
  return steady_.at(now, std::max(kSteadyTimeConstant, 2 * response_time));
}

double Throughput::fast_rate(double now, double response_time) const {
  return fast_.at(now, response_time / 2);
}

double Throughput::concurrency(double now) const {
  return peak_concurrency_ * std::exp((updated_at_ - now) / kConcurrencyTimeConstant);
}

}  // namespace thymewood
