#include "node_config.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>

namespace thymewood::fleet {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_string(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void write_double(Writer& out, const char* key, double value) {
  out.Key(key);
  out.Double(value);
}
void write_int(Writer& out, const char* key, int value) {
  out.Key(key);
  out.Int(value);
}
void write_bool(Writer& out, const char* key, bool value) {
  out.Key(key);
  out.Bool(value);
}

const char* idempotency_name(const RequestClass& c) {
  return c.idempotency == Idempotency::kIdempotent          ? "safe"
         : c.idempotency == Idempotency::kIdempotentWithKey ? "keyed"
                                                            : "unsafe";
}
const char* dedup_scope_name(const RequestClass& c) {
  return c.dedup_scope == DedupScope::kAll ? "all" : c.dedup_scope == DedupScope::kZone ? "zone" : "cell";
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
void write_settings(Writer& out, const bench::Scenario& s, const NodeParameters& node) {
  out.Key("settings");
  out.StartObject();
  out.Key("azs");
  out.StartArray();
  int last_zone = node.zone;
  for (const bench::ScenarioServer& server : s.servers) last_zone = std::max(last_zone, server.zone);
  for (const bench::ScenarioServer& server : s.backends) last_zone = std::max(last_zone, server.zone);
  for (int i = 0; i <= last_zone; ++i) out.String(("z" + std::to_string(i)).c_str());
  out.EndArray();
  write_int(out, "zone", node.zone);
  write_int(out, "position", node.replica_index);
  write_int(out, "peersTotal", node.replica_count);
  write_int(out, "stage", node.tier);
  out.Key("stages");
  out.StartArray();
  out.String("front");
  if (s.chain.calls > 0) out.String("core");
  out.EndArray();
  write_double(out, "granularity", 0.001);
  write_string(out, "registryMode", "automatic");
  write_double(out, "overShareWorth", s.over_quota_weight);
  out.Key("bounds");
  out.StartObject();
  write_bool(out, "cancel", node.can_cancel);
  write_bool(out, "secondCopies", node.can_hedge);
  write_bool(out, "retryAfter", true);
  write_bool(out, "probes", false);
  write_bool(out, "peers", !node.peers.empty());
  write_int(out, "maxAttempts", s.max_attempts);
  write_double(out, "maxRetryAfter", s.max_retry_after);
  out.EndObject();
  out.Key("categories");
  out.StartArray();
  for (const bench::LoadClass& c : s.classes) {
    out.StartObject();
    write_string(out, "name", c.name);
    write_double(out, "aim", c.settings.latency_objective);
    write_double(out, "giveUp", c.settings.client_timeout);
    write_double(out, "lateWorth", c.settings.late_value);
    write_string(out, "effect", idempotency_name(c.settings));
    write_string(out, "group", dedup_scope_name(c.settings));
    write_double(out, "dedupWindow", c.settings.dedup_window);
    out.EndObject();
  }
  out.EndArray();
  if (!s.tenants.empty()) {
    double total_share = 0;
    for (const bench::LoadTenant& tenant : s.tenants) total_share += tenant.share;
    out.Key("realms");
    out.StartArray();
    for (const bench::LoadTenant& tenant : s.tenants) {
      out.StartObject();
      write_string(out, "name", tenant.name);
      write_double(out, "share", tenant.share / total_share);
      if (tenant.quota) write_double(out, "allowancePerS", *tenant.quota);
      out.EndObject();
    }
    out.EndArray();
  }
  out.Key("rules");
  out.StartObject();
  write_double(out, "startCapacity", s.slow_start_min_capacity);
  write_double(out, "rampTime", s.slow_start_window);
  out.EndObject();
  out.EndObject();
}

}  // namespace

std::string node_config(const bench::Scenario& s, const NodeParameters& node) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  write_string(out, "name", node.name);
  write_string(out, "listen", node.listen);
  write_string(out, "discovery", node.discovery);
  constexpr std::size_t kHexBufferSize = 17;
  char seed[kHexBufferSize];
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(node.seed));
  write_string(out, "seed", seed);
  out.Key("limits");
  out.StartObject();
  write_double(out, "cores", 1);
  write_int(out, "memory_mb", node.memory_mb);
  write_int(out, "sockets", node.sockets);
  out.EndObject();
  if (!node.initial_endpoints.empty()) {
    out.Key("known");
    out.RawValue(node.initial_endpoints.data(), node.initial_endpoints.size(), rapidjson::kObjectType);
  }
  if (!node.peer_listen.empty()) {
    write_string(out, "peer_listen", node.peer_listen);
    write_string(out, "peers_all", node.peers_all);
    out.Key("peers");
    out.StartArray();
    for (const std::string& peer : node.peers) out.String(peer.c_str());
    out.EndArray();
  }
  write_settings(out, s, node);
  out.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace thymewood::fleet
