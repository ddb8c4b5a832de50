#include "retry_policy.h"

#include <algorithm>

namespace thymewood {
namespace {

constexpr double kRetriesPerRequest = 0.1;  // added to the budget with each first attempt
constexpr double kImmediate = 0.02;         // s; an attempt that fails sooner has cost no server any work

}  // namespace

bool RetryPolicy::is_budgeted(const AttemptResult& result) {
  return result.elapsed >= kImmediate ||
         (result.outcome != Outcome::kConnectFailed && result.outcome != Outcome::kReset &&
          result.outcome != Outcome::kRejected);
}

bool RetryPolicy::allows_retry(double now, const PendingRequest& request, bool budgeted) const {
  if (request.streaming) return false;
  if (request.attempts.size() >= static_cast<std::size_t>(settings_.max_attempts)) return false;
  if (budgeted && budget_ < 1) return false;
  return request.useful_until - now > latency_.mean(request.request_class) / 2;
}

double RetryPolicy::attempt_timeout(double now, const PendingRequest& request) const {
  const double time_left = request.useful_until - now;
  const double upper_bound = latency_.upper_bound(request.request_class);
  const bool can_retry =
      settings_.classes[request.request_class].idempotency != Idempotency::kNotIdempotent &&
      request.attempts.size() + 1 < static_cast<std::size_t>(settings_.max_attempts);
  return can_retry && time_left - upper_bound > latency_.mean(request.request_class) ? upper_bound
                                                                                     : time_left;
}

void RetryPolicy::first_attempt_sent() { budget_ = std::min(kMaxBudget, budget_ + kRetriesPerRequest); }

void RetryPolicy::retry_sent(bool budgeted) {
  if (budgeted) budget_ -= 1;
}

}  // namespace thymewood
