#include "idempotency.h"

#include <algorithm>
#include <limits>

namespace thymewood {

bool proves_not_processed(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

bool is_attempt_safe(double now, const RequestClass& request_class, const PendingRequest& request,
                     const Endpoint& endpoint) {
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || request_class.idempotency == Idempotency::kIdempotent) continue;
    if (request_class.idempotency == Idempotency::kNotIdempotent) return false;
    if (now > attempt.sent_at + request_class.dedup_window) return false;
    if (request_class.dedup_scope == DedupScope::kZone && attempt.zone != endpoint.zone) return false;
    if (request_class.dedup_scope == DedupScope::kCell && attempt.cell != endpoint.cell) return false;
  }
  return true;
}

double deduplicated_until(const RequestClass& request_class, const PendingRequest& request) {
  double until = std::numeric_limits<double>::infinity();
  if (request_class.idempotency != Idempotency::kIdempotentWithKey) return until;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.may_have_run) until = std::min(until, attempt.sent_at + request_class.dedup_window);
  }
  return until;
}

bool is_client_retry_safe(const RequestClass& request_class, const PendingRequest& request) {
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kIdempotentWithKey &&
      request_class.dedup_scope == DedupScope::kAll)
    return true;
  return !request.may_have_run();
}

}  // namespace thymewood
