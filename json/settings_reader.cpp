#include "settings_reader.h"

#include <string>

namespace thymewood::json {

const Value* find(const Value& object, const char* field) {
  if (!object.IsObject()) throw BadMessage(std::string("not an object where field '") + field + "' belongs");
  const auto it = object.FindMember(field);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Value& need(const Value& object, const char* field) {
  const Value* value = find(object, field);
  if (value == nullptr) throw BadMessage(std::string("field '") + field + "' is missing");
  return *value;
}

[[noreturn]] void wrong(const char* field, const char* wanted) {
  throw BadMessage(std::string("field '") + field + "' is not " + wanted);
}

double number(const Value& object, const char* field) {
  const Value& value = need(object, field);
  if (!value.IsNumber()) wrong(field, "a number");
  return value.GetDouble();
}

double number_or(const Value& object, const char* field, double otherwise) {
  return find(object, field) == nullptr ? otherwise : number(object, field);
}

int whole(const Value& object, const char* field) {
  const Value& value = need(object, field);
  if (value.IsInt()) return value.GetInt();
  wrong(field, "a whole number in range");
}

int whole_or(const Value& object, const char* field, int otherwise) {
  return find(object, field) == nullptr ? otherwise : whole(object, field);
}

std::size_t index_or_zero(const Value& object, const char* field) {
  const int value = whole_or(object, field, 0);
  if (value < 0) wrong(field, "a whole number in range");
  return static_cast<std::size_t>(value);
}

bool flag(const Value& object, const char* field) {
  const Value* value = find(object, field);
  if (value == nullptr) return false;
  if (!value->IsBool()) wrong(field, "true or false");
  return value->GetBool();
}

std::string_view text(const Value& object, const char* field) {
  const Value& value = need(object, field);
  if (!value.IsString()) wrong(field, "a string");
  return {value.GetString(), value.GetStringLength()};
}

std::uint64_t token(const Value& object, const char* field) {
  const Value& value = need(object, field);
  if (!value.IsUint64()) wrong(field, "a whole number from 0");
  return value.GetUint64();
}

const Value& array(const Value& object, const char* field) {
  const Value& value = need(object, field);
  if (!value.IsArray()) wrong(field, "an array");
  return value;
}

namespace {

RequestClass read_class(const Value& in) {
  RequestClass out;
  out.latency_objective = number(in, "aim");
  out.latency_objective_per_work = number_or(in, "aimStretch", 0);
  out.client_timeout = number(in, "giveUp");
  out.late_value = number_or(in, "lateWorth", 0);
  const std::string_view idempotency = text(in, "effect");
  if (idempotency == "safe") {
    out.idempotency = Idempotency::kIdempotent;
  } else if (idempotency == "keyed") {
    out.idempotency = Idempotency::kIdempotentWithKey;
    const std::string_view group = text(in, "group");
    if (group == "all") {
      out.dedup_scope = DedupScope::kAll;
    } else if (group == "zone") {
      out.dedup_scope = DedupScope::kZone;
    } else if (group == "cell") {
      out.dedup_scope = DedupScope::kCell;
    } else {
      throw std::invalid_argument("categories[].group: '" + std::string(group) + "' is unknown");
    }
    out.dedup_window = number_or(in, "dedupWindow", 0);
  } else if (idempotency == "unsafe") {
    out.idempotency = Idempotency::kNotIdempotent;
  } else {
    throw std::invalid_argument("categories[].effect: '" + std::string(idempotency) + "' is unknown");
  }
  return out;
}

}  // namespace

Settings read_settings(const Value& in) {
  Settings out;
  out.replica_index = whole(in, "position");
  out.replica_count = whole(in, "peersTotal");
  out.tier = whole_or(in, "stage", 0);
  out.zone = whole_or(in, "zone", 0);
  out.clock_granularity = number_or(in, "granularity", 0);
  for (const Value& item : array(in, "categories").GetArray()) out.classes.push_back(read_class(item));
  if (find(in, "realms") != nullptr) {
    for (const Value& item : array(in, "realms").GetArray()) {
      Tenant tenant;
      if (find(item, "allowancePerS") != nullptr) tenant.quota = number(item, "allowancePerS");
      out.tenants.push_back(tenant);
    }
  }
  out.over_quota_weight = number_or(in, "overShareWorth", 1);
  const Value& bounds = need(in, "bounds");
  out.max_attempts = whole_or(bounds, "maxAttempts", 1);
  out.can_hedge = flag(bounds, "secondCopies");
  out.can_cancel = flag(bounds, "cancel");
  out.max_retry_after = flag(bounds, "retryAfter") ? number_or(bounds, "maxRetryAfter", 0) : 0;
  out.uses_watch = find(in, "registryMode") != nullptr && text(in, "registryMode") == "subscribe";
  if (const Value* rules = find(in, "rules")) {
    out.poll_interval = number_or(*rules, "askWithin", 0);
    out.slow_start_min_capacity = number_or(*rules, "startCapacity", 1);
    out.slow_start_window = number_or(*rules, "rampTime", 0);
  }
  if (const Value* fees = find(in, "fees")) out.cross_zone_cost = number_or(*fees, "crossZone", 0);
  return out;
}

}  // namespace thymewood::json
