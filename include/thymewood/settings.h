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
  kIdempotentWithKey,  // servers deduplicate by idempotency key, within a scope and a time window
  kNotIdempotent       // a second execution is never allowed
};

// The servers that deduplicate each other's requests by idempotency key.
enum class DedupScope { kAll, kZone, kCell };

// What all requests of one kind have in common.
struct RequestClass {
  double latency_objective = 0;           // an answer within this time has its full value
  double latency_objective_per_work = 0;  // added to the objective for each second of announced work
  double client_timeout = 0;              // how long the client waits; bounds the latency objective
  double late_value = 0;                  // part of the value that an answer after the objective still has
  Idempotency idempotency = Idempotency::kNotIdempotent;
  DedupScope dedup_scope = DedupScope::kAll;
  double dedup_window = 0;  // servers deduplicate for this long after the first attempt that may have run
};

struct Tenant {
  std::optional<double> quota;  // requests per second over all replicas; none: unlimited
};

struct Settings {
  int replica_index = 0;         // 0 .. replica_count - 1
  int replica_count = 1;         // replicas of the load balancer in front of this tier
  int tier = 0;                  // the tier of servers behind this replica; 0 is the one that clients reach
  int zone = 0;                  // where this replica runs
  double clock_granularity = 0;  // events come at least this far apart
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;  // empty where traffic carries no tenant

  double over_quota_weight = 1;  // priority weight of a request beyond its tenant's quota, against one within

  int max_attempts = 1;        // attempts for one request
  bool can_hedge = false;      // two attempts of one request may be in flight together
  bool can_cancel = false;     // Cancel may be used
  double max_retry_after = 0;  // the longest Retry-After that clients honor; 0: they honor none

  bool uses_watch = false;   // endpoint changes arrive only after WatchEndpoints
  double poll_interval = 0;  // without a watch, a change counts as notified after this long
  // How long an endpoint may be used after it was last confirmed while the list is stale (see
  // EndpointListFreshness). Infinite: lists need no confirmation.
  double endpoint_lease = std::numeric_limits<double>::infinity();

  double slow_start_min_capacity = 1;  // the part of its capacity that a server has as it starts
  double slow_start_window = 0;        // how long it takes from there to its full capacity

  double cross_zone_cost = 0;  // cost of a call to another zone; 0: zones need no preference
};

// Settings that no Balancer can work with.
class InvalidSettings : public std::invalid_argument {
 public:
  // `field`: the setting, as in Settings. `requirement`: what it has to be.
  InvalidSettings(std::string field, const std::string& requirement);
  const std::string& field() const { return field_; }
  const std::string& requirement() const { return requirement_; }

 private:
  std::string field_;
  std::string requirement_;
};

// Throws InvalidSettings for the first field that is out of its range.
void validate(const Settings& settings);

}  // namespace thymewood
