// Rules that prevent a request from taking effect twice.
#pragma once

#include "pending_requests.h"
#include "thymewood/balancer.h"

namespace thymewood {

// Whether the outcome proves that the attempt was not processed. Outcome::kUnknown does not.
bool proves_not_processed(Outcome outcome);

// Whether one more attempt at the endpoint cannot take effect a second time: no earlier attempt may have run,
// or the request is idempotent, or the endpoint shares deduplication with all servers that may have processed
// it.
bool is_attempt_safe(double now, const RequestClass& request_class, const PendingRequest& request,
                     const Endpoint& endpoint);

// The time until which servers deduplicate one more attempt; infinite if no deduplication is needed.
double deduplicated_until(const RequestClass& request_class, const PendingRequest& request);

// Whether a retry by the client cannot take effect a second time.
bool is_client_retry_safe(const RequestClass& request_class, const PendingRequest& request);

}  // namespace thymewood
