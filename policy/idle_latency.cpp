#include "idle_latency.h"

#include <algorithm>

namespace thymewood {
namespace {

constexpr double kMaxUnconfirmed =
    0.3;                             // of the objective; a start under load does not take its queue for idle
constexpr double kMinSamples = 20;   // responses before the ratio counts as learned
constexpr double kSettlingTime = 3;  // s; before it only the quickest requests have been answered
constexpr double kGain = 0.02;       // weight of one response
constexpr double kFallTime = 5;      // s; in which the ratio follows a quicker tier
constexpr double kRiseTime = 60;     // s; the same for a slower one
constexpr double kUnreliableRiseTime = 15;  // s; the same while no response without a queue was seen

}  // namespace

void IdleLatency::add(double now, double ratio, bool queued) {
  if (recent_.samples == 0) updated_at_ = now + kSettlingTime;
  recent_.add(ratio, kGain);
  if (now < updated_at_ || recent_.samples < kMinSamples) return;
  const double rise_time = reliable_ ? kRiseTime : kUnreliableRiseTime;
  const double step = learned_ ? (now - updated_at_) / (recent_.mean < ratio_ ? kFallTime : rise_time) : 1;
  const double max_ratio = std::max(confirmed_, queued && !learned_ ? kMaxUnderLoad : kMaxUnconfirmed);
  ratio_ = std::min(ratio_ + (recent_.mean - ratio_) * std::min(1.0, step), max_ratio);
  reliable_ = reliable_ || !queued;
  learned_ = true;
  updated_at_ = now;
}

void IdleLatency::confirm_unqueued(double now) {
  if (recent_.samples < kMinSamples || recent_.mean <= ratio_) return;
  ratio_ = confirmed_ = recent_.mean;
  learned_ = reliable_ = true;
  updated_at_ = now;
}

}  // namespace thymewood
