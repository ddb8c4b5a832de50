#include "isolation.h"

#include <algorithm>

namespace thymewood::membership {
namespace {

constexpr std::size_t kMaxAttempts = 256;  // most recent attempts kept; bounds memory on a busy node

}  // namespace

void IsolationDetector::on_connectivity(Connectivity connectivity) {
  is_partitioned_ = connectivity == Connectivity::kPartitioned;
  if (!is_partitioned_) is_isolated_ = false;
}

void IsolationDetector::on_attempt_ended(double now, bool answered) {
  attempts_.push_back({now, answered});
  if (attempts_.size() > kMaxAttempts) attempts_.pop_front();
  if (!is_isolated_) {
    evaluate(now);
    return;
  }
  consecutive_successes_ = answered ? consecutive_successes_ + 1 : 0;
  if (consecutive_successes_ >= config_.required_successes) {
    is_isolated_ = false;
    attempts_.clear();
  }
}

void IsolationDetector::evaluate(double now) {
  while (!attempts_.empty() && attempts_.front().ended_at < now - config_.window) attempts_.pop_front();
  if (!is_partitioned_ || attempts_.size() < static_cast<std::size_t>(config_.min_attempts)) return;
  const auto unanswered = std::count_if(attempts_.begin(), attempts_.end(),
                                        [](const Attempt& attempt) { return !attempt.answered; });
  const double threshold = config_.unanswered_fraction * static_cast<double>(attempts_.size());
  if (static_cast<double>(unanswered) < threshold) return;
  is_isolated_ = true;
  last_trial_at_ = now;
  consecutive_successes_ = 0;
}

bool IsolationDetector::should_reject(double now) {
  if (!is_isolated_) return false;
  if (now < last_trial_at_ + config_.trial_interval) return true;
  last_trial_at_ = now;
  return false;
}

}  // namespace thymewood::membership
