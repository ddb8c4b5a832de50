// Checks requests against the concurrency limit of a server and of the whole tier.
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
  // All references must outlive this object.
  Capacity(const Settings& settings, const ConcurrencyLimit& limit, const ServerTable& servers,
           const Subset& subset)
      : is_first_tier_(settings.tier == 0), limit_(limit), servers_(servers), subset_(subset) {}

  // Whether one more request would complete well within its latency objective. A server without requests in
  // flight always has capacity for one, since with many replicas each replica's share of the limit may be
  // below one request. A server that has just rejected a request has no capacity.
  bool server_has_capacity(double now, const PendingRequest& request, const Server& server) const;
  // The same over all servers, where measurements are less noisy. Always true behind the first tier, since a
  // rejection there wastes the work of the tiers above.
  bool tier_has_capacity(double now, const PendingRequest& request, Random& random) const;

  // Number of requests in flight over all servers above which requests are rejected.
  double tier_limit(double now) const;

 private:
  bool is_first_tier_;
  const ConcurrencyLimit& limit_;
  const ServerTable& servers_;
  const Subset& subset_;
};

}  // namespace thymewood
