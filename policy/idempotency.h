// The rules that keep a request from taking effect twice.
#pragma once

#include "pending_requests.h"
#include "thymewood/balancer.h"

namespace thymewood {

// Whether the outcome proves that the attempt was not processed. An unknown end is no such proof.
bool proves_not_processed(Outcome outcome);

// Whether one more attempt at the endpoint cannot take effect a second time: nothing was processed before, or
// the request is idempotent, or the endpoint deduplicates it together with all that may have processed it.
bool is_attempt_safe(double now, const RequestClass& request_class, const PendingRequest& request,
                     const Endpoint& endpoint);

// Until when servers deduplicate one more attempt; infinite where they need not.
double deduplicated_until(const RequestClass& request_class, const PendingRequest& request);

// Whether the client may be promised that its retry is harmless.
bool is_client_retry_safe(const RequestClass& request_class, const PendingRequest& request);

}  // namespace thymewood
