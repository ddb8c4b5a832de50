// Whether a server, or the tier as one, can take one more request by the learned concurrency limit.
#pragma once

#include "concurrency_limit.h"
#include "pending_requests.h"
#include "random.h"
#include "server_table.h"
#include "subset.h"
#include "thymewood/balancer.h"

namespace thymewood {

class Capacity {
 public:
  // All must outlive it.
  Capacity(const Settings& settings, const ConcurrencyLimit& limit, const ServerTable& servers,
           const Subset& subset)
      : is_first_tier_(settings.tier == 0), limit_(limit), servers_(servers), subset_(subset) {}

  // Whether one more request would be answered well before its objective. A server without requests in flight
  // has capacity for one, since each of many replicas sees but a part of its limit; one that has just
  // rejected a request has none.
  bool server_has_capacity(double now, const PendingRequest& request, const Server& server) const;
  // The same over all servers, which is measured more steadily. Past the first tier it is always true: a
  // rejection there wastes the work of the tiers above.
  bool tier_has_capacity(double now, const PendingRequest& request, Random& random) const;

  // Requests in flight over all servers beyond which requests are rejected.
  double tier_limit(double now) const;

 private:
  bool is_first_tier_;
  const ConcurrencyLimit& limit_;
  const ServerTable& servers_;
  const Subset& subset_;
};

}  // namespace thymewood
