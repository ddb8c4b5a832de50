// Whether a request gets another attempt, and how long each attempt may take.
//
// Retries are limited to a part of the first attempts, so that they cannot multiply the load on servers that
// fail. A retry after an attempt that cost no server any work is free.
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

  // Whether a retry after this result takes from the budget. Connections that are refused, or reset before
  // any work was done, and full queues have cost a server nothing.
  static bool is_budgeted(const AttemptResult& result);

  bool allows_retry(double now, const PendingRequest& request, bool budgeted) const;

  // s; until the answer has lost its value, or until the attempt is clearly late and another can follow.
  double attempt_timeout(double now, const PendingRequest& request) const;

  void first_attempt_sent();
  void retry_sent(bool budgeted);

 private:
  static constexpr double kMaxBudget = 1;  // retries that can be saved up

  const Settings& settings_;
  const LatencyStatistics& latency_;
  double budget_ = kMaxBudget;  // retries
};

}  // namespace thymewood
