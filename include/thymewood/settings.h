// The configuration of one Balancer. All durations are in seconds.
#pragma once

#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace thymewood {

// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,         // any number of executions has the effect of one
  kIdempotentWithKey,  // servers deduplicate by idempotency key, within dedup_scope and dedup_window
  kNotIdempotent       // a second execution is never allowed
};

// Which servers deduplicate requests together by idempotency key.
enum class DedupScope { kAll, kZone, kCell };

// Properties shared by all requests of one class.
struct RequestClass {
  double latency_objective = 0;           // a response within this time has its full value
  double latency_objective_per_work = 0;  // added to the objective for each second of announced work
  double client_timeout = 0;              // how long the client waits; bounds the latency objective
  double late_value = 0;                  // fraction of its value that a response after the objective retains
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  // servers deduplicate for this long after the first attempt that may have run
};

struct Tenant {
  std::optional<double> quota;  // requests per second over all replicas; none: unlimited
};

struct Settings {
  int replica_index = 0;         // 0 .. replica_count - 1
  int replica_count = 1;         // load balancer replicas in front of this tier
  int tier = 0;                  // tier of the servers behind this replica; clients call tier 0
  int zone = 0;                  // zone in which this replica runs
  double clock_granularity = 0;  // granularity of the host's clock: events are at least this far apart
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty if requests carry no tenant

  double over_quota_weight = 1;  // priority weight of a request above its tenant's quota; within quota: 1

  int max_attempts = 1;        // maximum number of attempts per request
  bool can_hedge = false;      // two attempts of one request may be in flight at the same time
  bool can_cancel = false;     // the host supports the Cancel action
  double max_retry_after = 0;  // the longest Retry-After that clients honor; 0: they ignore it

  bool uses_watch = false;   // endpoint changes arrive only after a WatchEndpoints action
  double poll_interval = 0;  // without a watch, this replica counts as notified of a change after this time
  // How long the endpoints of a stale list may be used after it was last current (see EndpointListFreshness).
  // Infinite: the list needs no confirmation.
  double endpoint_lease = std::numeric_limits<double>::infinity();
  // The same after discovery was last unavailable, and after the last request that an endpoint answered.
  double endpoint_outage_lease = std::numeric_limits<double>::infinity();

  double slow_start_min_capacity = 1;  // fraction of its capacity that a server has when it starts
  double slow_start_window = 0;        // time that a server takes from there to its full capacity

  double cross_zone_cost = 0;  // cost of a request to another zone; 0: no zone preference
};

// Thrown for settings that are out of range.
class InvalidSettings : public std::invalid_argument {
 public:
  // `field`: name of the setting, as in Settings. `requirement`: the condition that its value must meet.
  InvalidSettings(std::string field, const std::string& requirement);
  const std::string& field() const { return field_; }
  const std::string& requirement() const { return requirement_; }

 private:
  std::string field_;
  std::string requirement_;
};

// Throws InvalidSettings for the first field that is out of range.
void validate(const Settings& settings);

}  // namespace thymewood
