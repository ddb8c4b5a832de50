#include "idle_latency.h"

#include <algorithm>

namespace thymewood {
namespace {

// Ratio of the idle latency to the latency objective. Bounds the estimate, so that queueing during a start
// under load is not mistaken for idle latency. A higher ratio must be confirmed by confirm_unqueued().
constexpr double kMaxUnconfirmedRatio = 0.3;
constexpr double kMinSamples = 20;  // responses before the first estimate
// In seconds after the first response. There is no estimate before that, because only the fastest requests
// have completed.
constexpr double kInitialDelay = 3;
constexpr double kGain = 0.02;              // weight of one response
constexpr double kFallTime = 5;             // s; time constant when the tier gets faster
constexpr double kRiseTime = 60;            // s; time constant when it gets slower
constexpr double kUnreliableRiseTime = 15;  // s; used instead of kRiseTime until a response did not queue

}  // namespace

void IdleLatency::add(double now, double ratio, bool queued) {
  if (average_ratio_.samples == 0) updated_at_ = now + kInitialDelay;
  average_ratio_.add(ratio, kGain);
  if (now < updated_at_ || average_ratio_.samples < kMinSamples) return;
  const double rise_time = reliable_ ? kRiseTime : kUnreliableRiseTime;
  const double step =
      learned_ ? (now - updated_at_) / (average_ratio_.mean < ratio_ ? kFallTime : rise_time) : 1;
  const double max_ratio =
      std::max(confirmed_ratio_, queued && !learned_ ? kMaxInitialUnderLoad : kMaxUnconfirmedRatio);
  ratio_ = std::min(ratio_ + (average_ratio_.mean - ratio_) * std::min(1.0, step), max_ratio);
  reliable_ = reliable_ || !queued;
  learned_ = true;
  updated_at_ = now;
}

void IdleLatency::confirm_unqueued(double now) {
  if (average_ratio_.samples < kMinSamples || average_ratio_.mean <= ratio_) return;
  ratio_ = confirmed_ratio_ = average_ratio_.mean;
  learned_ = reliable_ = true;
  updated_at_ = now;
}

}  // namespace thymewood
