#include "settings_reader.h"

#include <string>
#include <string_view>

namespace thymewood::json {
namespace {

namespace key {

constexpr const char* kReplicaIndex = "position";
constexpr const char* kReplicaCount = "peersTotal";
constexpr const char* kTier = "stage";
constexpr const char* kZone = "zone";
constexpr const char* kClockGranularity = "granularity";
constexpr const char* kOverQuotaWeight = "overShareWorth";
constexpr const char* kWatchMode = "registryMode";

constexpr const char* kClasses = "categories";
constexpr const char* kLatencyObjective = "aim";
constexpr const char* kLatencyObjectivePerWork = "aimStretch";
constexpr const char* kClientTimeout = "giveUp";
constexpr const char* kLateValue = "lateWorth";
constexpr const char* kIdempotency = "effect";
constexpr const char* kDedupScope = "group";
constexpr const char* kDedupWindow = "dedupWindow";

constexpr const char* kTenants = "realms";
constexpr const char* kQuota = "allowancePerS";

constexpr const char* kBounds = "bounds";
constexpr const char* kMaxAttempts = "maxAttempts";
constexpr const char* kCanHedge = "secondCopies";
constexpr const char* kCanCancel = "cancel";
constexpr const char* kHonorsRetryAfter = "retryAfter";
constexpr const char* kMaxRetryAfter = "maxRetryAfter";

constexpr const char* kRules = "rules";
constexpr const char* kPollInterval = "askWithin";
constexpr const char* kSlowStartMinCapacity = "startCapacity";
constexpr const char* kSlowStartWindow = "rampTime";

constexpr const char* kCosts = "fees";
constexpr const char* kCrossZoneCost = "crossZone";

}  // namespace key

// Maps a field of Settings to its key on the wire.
struct WireKey {
  std::string_view field;
  const char* parent;  // empty for a top-level key
  const char* key;
};

constexpr WireKey kWireKeys[] = {
    {"replica_index", "", key::kReplicaIndex},
    {"replica_count", "", key::kReplicaCount},
    {"tier", "", key::kTier},
    {"clock_granularity", "", key::kClockGranularity},
    {"over_quota_weight", "", key::kOverQuotaWeight},
    {"max_attempts", key::kBounds, key::kMaxAttempts},
    {"max_retry_after", key::kBounds, key::kMaxRetryAfter},
    {"poll_interval", key::kRules, key::kPollInterval},
    {"slow_start_min_capacity", key::kRules, key::kSlowStartMinCapacity},
    {"slow_start_window", key::kRules, key::kSlowStartWindow},
    {"cross_zone_cost", key::kCosts, key::kCrossZoneCost},
    {"classes[].idempotency", "categories[]", key::kIdempotency},
    {"classes[].dedup_scope", "categories[]", key::kDedupScope},
    {"classes[].latency_objective", "categories[]", key::kLatencyObjective},
    {"classes[].latency_objective_per_work", "categories[]", key::kLatencyObjectivePerWork},
    {"classes[].client_timeout", "categories[]", key::kClientTimeout},
    {"classes[].late_value", "categories[]", key::kLateValue},
    {"classes[].dedup_window", "categories[]", key::kDedupWindow},
    {"tenants[].quota", "realms[]", key::kQuota}};

std::string path_of(const WireKey& entry) {
  const std::string parent = entry.parent;
  return parent.empty() ? entry.key : parent + "." + entry.key;
}

std::string wire_path_of(const std::string& field) {
  for (const WireKey& entry : kWireKeys) {
    if (entry.field == field) return path_of(entry);
  }
  return field;
}

// A requirement may mention the field replica_count, which has another name on the wire.
std::string wire_requirement_of(std::string requirement) {
  constexpr std::string_view kField = "replica_count";
  const std::size_t at = requirement.find(kField);
  if (at != std::string::npos) requirement.replace(at, kField.size(), key::kReplicaCount);
  return requirement;
}

Idempotency read_idempotency(const Value& in) {
  const std::string_view value = string(in, key::kIdempotency);
  if (value == "safe") return Idempotency::kIdempotent;
  if (value == "keyed") return Idempotency::kIdempotentWithKey;
  if (value == "unsafe") return Idempotency::kNotIdempotent;
  throw UnknownEnumValue("categories[].effect", std::string(value));
}

DedupScope read_dedup_scope(const Value& in) {
  const std::string_view value = string(in, key::kDedupScope);
  if (value == "all") return DedupScope::kAll;
  if (value == "zone") return DedupScope::kZone;
  if (value == "cell") return DedupScope::kCell;
  throw UnknownEnumValue("categories[].group", std::string(value));
}

RequestClass read_class(const Value& in) {
  RequestClass out;
  out.latency_objective = number(in, key::kLatencyObjective);
  out.latency_objective_per_work = number_or(in, key::kLatencyObjectivePerWork, 0);
  out.client_timeout = number(in, key::kClientTimeout);
  out.late_value = number_or(in, key::kLateValue, 0);
  out.idempotency = read_idempotency(in);
  if (out.idempotency == Idempotency::kIdempotentWithKey) {
    out.dedup_scope = read_dedup_scope(in);
    out.dedup_window = number_or(in, key::kDedupWindow, 0);
  }
  return out;
}

Tenant read_tenant(const Value& in) {
  Tenant out;
  if (find_field(in, key::kQuota) != nullptr) out.quota = number(in, key::kQuota);
  return out;
}

void read_bounds(const Value& in, Settings& out) {
  out.max_attempts = integer_or(in, key::kMaxAttempts, 1);
  out.can_hedge = boolean_or_false(in, key::kCanHedge);
  out.can_cancel = boolean_or_false(in, key::kCanCancel);
  out.max_retry_after =
      boolean_or_false(in, key::kHonorsRetryAfter) ? number_or(in, key::kMaxRetryAfter, 0) : 0;
}

void read_rules(const Value& in, Settings& out) {
  out.poll_interval = number_or(in, key::kPollInterval, 0);
  out.slow_start_min_capacity = number_or(in, key::kSlowStartMinCapacity, 1);
  out.slow_start_window = number_or(in, key::kSlowStartWindow, 0);
}

}  // namespace

UnknownEnumValue::UnknownEnumValue(const std::string& key, const std::string& value)
    : std::invalid_argument(key + ": '" + value + "' is unknown"), key_(key), value_(value) {}

Settings read_settings(const Value& in) {
  Settings out;
  out.replica_index = integer(in, key::kReplicaIndex);
  out.replica_count = integer(in, key::kReplicaCount);
  out.tier = integer_or(in, key::kTier, 0);
  out.zone = integer_or(in, key::kZone, 0);
  out.clock_granularity = number_or(in, key::kClockGranularity, 0);
  for (const Value& item : array(in, key::kClasses).GetArray()) out.classes.push_back(read_class(item));
  if (find_field(in, key::kTenants) != nullptr) {
    for (const Value& item : array(in, key::kTenants).GetArray()) out.tenants.push_back(read_tenant(item));
  }
  out.over_quota_weight = number_or(in, key::kOverQuotaWeight, 1);
  read_bounds(required_field(in, key::kBounds), out);
  out.uses_watch = find_field(in, key::kWatchMode) != nullptr && string(in, key::kWatchMode) == "subscribe";
  if (const Value* rules = find_field(in, key::kRules)) read_rules(*rules, out);
  if (const Value* costs = find_field(in, key::kCosts))
    out.cross_zone_cost = number_or(*costs, key::kCrossZoneCost, 0);
  return out;
}

void validate_settings(const Settings& settings) {
  try {
    validate(settings);
  } catch (const InvalidSettings& error) {
    throw InvalidSettings(wire_path_of(error.field()), wire_requirement_of(error.requirement()));
  }
}

}  // namespace thymewood::json
