// Load-balancing decisions for service-to-service requests.
//
// A Balancer is one replica of the load balancer: it receives events and returns actions. It has no clock,
// I/O, threads or global state, so the same settings, seed and events always produce the same actions. All
// times are seconds on the host's clock, which may have any origin but never runs backwards; all durations
// are in seconds.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "thymewood/actions.h"
#include "thymewood/events.h"
#include "thymewood/settings.h"

namespace thymewood {

// A snapshot of one tenant's rate limiter.
struct TenantLimitView {
  double rate_limit = 0;          // learned limit, requests per second
  double suppression_factor = 0;  // 0: all requests admitted, 1: all denied
  double total = 0;               // requests in the sliding window
  double denied = 0;              // denied requests among these
};

// A snapshot of the learned concurrency limit.
struct ConcurrencyLimitView {
  double idle_latency = 0;   // latency of an idle tier
  double response_rate = 0;  // responses per second
  double in_flight = 0;      // attempts in flight now
  double limit = 0;          // attempts in flight over all servers above which requests are rejected
  double probed_bound = 0;   // bound that probing has set on the limit; infinite if none
};

// The decisions of one replica: which server receives a request, whether to retry, reject or fail it, and
// when to open a watch on discovery. The host owns the sockets, the clock and the timers: it passes each
// event to handle() in chronological order and performs the returned actions. Not thread-safe.
class Balancer {
 public:
  // Throws InvalidSettings, which names the field, if a setting is invalid.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Processes `event` and appends the resulting actions to `actions`, in the order in which to perform them.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  // Read-only, for metrics. A tenant index that is out of range selects the traffic without a tenant.
  TenantLimitView tenant(double now, std::size_t tenant) const;
  ConcurrencyLimitView concurrency_limit(double now) const;
  // The number of endpoints in the server table: the listed ones, and removed ones that pending requests
  // refer to.
  std::size_t known_endpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The fraction of requests to deny, 0 to 1, given a rate limit and the two rates of the sliding window.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The subset that replica `replica_index` of `replica_count` uses, as indexes into a list of `servers`
// servers that has the same order at all replicas.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size);

}  // namespace thymewood
