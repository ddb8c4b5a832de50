#include "retry_policy.h"

#include <algorithm>

namespace thymewood {
namespace {

constexpr double kBudgetPerFirstAttempt = 0.1;  // added to the retry budget for each first attempt
// s; a connection failure, reset or rejection sooner than this has cost no server any work.
constexpr double kImmediateFailureTime = 0.02;

}  // namespace

bool RetryPolicy::consumes_budget(const AttemptResult& result) {
  return result.elapsed >= kImmediateFailureTime ||
         (result.outcome != Outcome::kConnectFailed && result.outcome != Outcome::kReset &&
          result.outcome != Outcome::kRejected);
}

bool RetryPolicy::allows_retry(double now, const PendingRequest& request, bool consumes_budget) const {
  if (request.streaming) return false;
  if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts)) return false;
  if (consumes_budget && budget_ < 1) return false;
  return request.response_deadline - now > latency_.mean(request.request_class) / 2;
}

double RetryPolicy::attempt_timeout(double now, const PendingRequest& request) const {
  const double time_left = request.response_deadline - now;
  const double upper_bound = latency_.late_threshold(request.request_class);
  const bool can_retry =
      settings_.classes[request.request_class].idempotency != Idempotency::kNotIdempotent &&
      request.attempts.size() + 1 < static_cast<std::size_t>(settings_.max_attempts);
  return can_retry && time_left - upper_bound > latency_.mean(request.request_class) ? upper_bound
                                                                                     : time_left;
}

void RetryPolicy::on_first_attempt_sent() {
  budget_ = std::min(kMaxBudget, budget_ + kBudgetPerFirstAttempt);
}

void RetryPolicy::on_retry_sent(bool consumes_budget) {
  if (consumes_budget) budget_ -= 1;
}

}  // namespace thymewood
