#include "capacity.h"

#include <algorithm>

namespace thymewood {
namespace {

constexpr double kWithinQuotaFactor = 1.3;  // multiple of the limit, for requests within their tenant's quota

double limit_factor(const PendingRequest& request) { return request.within_quota ? kWithinQuotaFactor : 1; }

}  // namespace

bool Capacity::server_has_capacity(double now, const PendingRequest& request, const Server& server) const {
  if (now < server.saturated_until) return false;
  const double limit =
      limit_.server_limit(now, server.throughput, server.first_seen_at, subset_.replicas_per_server());
  return server.in_flight < std::max(1.0, limit * limit_factor(request));
}

bool Capacity::tier_has_capacity(double now, const PendingRequest& request, Random& random) const {
  if (!is_first_tier_) return true;
  // Adding a random fraction enforces a fractional limit on average.
  return servers_.in_flight() + random.unit() < tier_limit(now) * limit_factor(request);
}

double Capacity::tier_limit(double now) const {
  return limit_.tier_limit(now, static_cast<double>(subset_.members().size()), servers_.first_update_at(),
                           subset_.replicas_per_server());
}

}  // namespace thymewood
