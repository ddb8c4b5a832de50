#include "idle_latency.h"

#include <algorithm>

namespace thymewood {
namespace {

// Ratio of the objective; keeps queueing during a start under load out of the idle latency.
constexpr double kMaxUnconfirmedRatio = 0.3;
constexpr double kMinSamples = 20;          // responses before the first estimate
constexpr double kInitialDelay = 3;         // s; until then only the fastest requests have completed
constexpr double kGain = 0.02;              // weight of one response
constexpr double kFallTime = 5;             // s; time constant when the tier gets faster
constexpr double kRiseTime = 60;            // s; time constant when it gets slower
constexpr double kUnreliableRiseTime = 15;  // s; the same until a response without queueing is seen

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
