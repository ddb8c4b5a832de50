// Decides whether a request is retried, and how long each attempt may take.
//
// A retry budget limits retries to a fraction of the first attempts, so that they cannot multiply the load on
// failing servers. Retries after attempts that cost no server any work do not consume the budget.
#pragma once

#include "latency_statistics.h"
#include "pending_requests.h"
#include "thymewood/balancer.h"

namespace thymewood {

// Owns the retry budget.
class RetryPolicy {
 public:
  // Both must outlive the policy.
  RetryPolicy(const Settings& settings, const LatencyStatistics& latency)
      : settings_(settings), latency_(latency) {}

  // Whether a retry after this result consumes the retry budget. It does not after an immediate connection
  // failure, reset or rejection, since none of these cost a server any work.
  static bool consumes_budget(const AttemptResult& result);

  bool allows_retry(double now, const PendingRequest& request, bool consumes_budget) const;

  // s; the time until the response loses its value, or, if a retry is still possible, until the attempt takes
  // clearly longer than usual.
  double attempt_timeout(double now, const PendingRequest& request) const;

  void on_first_attempt_sent();
  void on_retry_sent(bool consumes_budget);

 private:
  static constexpr double kMaxBudget = 1;  // retries; maximum of the accumulated budget

  const Settings& settings_;
  const LatencyStatistics& latency_;
  double budget_ = kMaxBudget;  // retries
};

}  // namespace thymewood
