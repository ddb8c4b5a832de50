#include "thymewood/settings.h"

#include <cmath>
#include <string>
#include <utility>

namespace thymewood {
namespace {

void require(bool condition, const char* field, const char* requirement) {
  if (!condition) throw InvalidSettings(field, requirement);
}

void require_finite_non_negative(double value, const char* field) {
  require(std::isfinite(value) && value >= 0, field, "must be a finite number and not negative");
}

void validate(const RequestClass& c) {
  require(c.idempotency >= Idempotency::kIdempotent && c.idempotency <= Idempotency::kNotIdempotent,
          "classes[].idempotency", "is unknown");
  require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell, "classes[].dedup_scope",
          "is unknown");
  require_finite_non_negative(c.latency_objective, "classes[].latency_objective");
  require_finite_non_negative(c.latency_objective_per_work, "classes[].latency_objective_per_work");
  require_finite_non_negative(c.client_timeout, "classes[].client_timeout");
  require_finite_non_negative(c.late_value, "classes[].late_value");
  require_finite_non_negative(c.dedup_window, "classes[].dedup_window");
}

}  // namespace

InvalidSettings::InvalidSettings(std::string field, const std::string& requirement)
    : std::invalid_argument("thymewood settings: " + field + " " + requirement),
      field_(std::move(field)),
      requirement_(requirement) {}

void validate(const Settings& s) {
  require(s.replica_count > 0, "replica_count", "must be above 0");
  require(s.replica_index >= 0 && s.replica_index < s.replica_count, "replica_index",
          "must be from 0 to replica_count - 1");
  require(s.tier >= 0, "tier", "must not be negative");
  require(s.max_attempts > 0, "max_attempts", "must be above 0");
  require(s.slow_start_min_capacity >= 0 && s.slow_start_min_capacity <= 1, "slow_start_min_capacity",
          "must be from 0 to 1");
  require_finite_non_negative(s.clock_granularity, "clock_granularity");
  require_finite_non_negative(s.max_retry_after, "max_retry_after");
  require_finite_non_negative(s.poll_interval, "poll_interval");
  require_finite_non_negative(s.slow_start_window, "slow_start_window");
  require_finite_non_negative(s.over_quota_weight, "over_quota_weight");
  require_finite_non_negative(s.cross_zone_cost, "cross_zone_cost");
  for (const RequestClass& c : s.classes) validate(c);
  for (const Tenant& tenant : s.tenants) {
    if (tenant.quota) require_finite_non_negative(*tenant.quota, "tenants[].quota");
  }
}

}  // namespace thymewood
