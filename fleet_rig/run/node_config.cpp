#include "node_config.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>

namespace thymewood::fleet {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void text(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void number(Writer& out, const char* key, double value) {
  out.Key(key);
  out.Double(value);
}
void whole(Writer& out, const char* key, int value) {
  out.Key(key);
  out.Int(value);
}
void flag(Writer& out, const char* key, bool value) {
  out.Key(key);
  out.Bool(value);
}

const char* effect_of(const RequestClass& c) {
  return c.idempotency == Idempotency::kIdempotent          ? "safe"
         : c.idempotency == Idempotency::kIdempotentWithKey ? "keyed"
                                                            : "unsafe";
}
const char* scope_of(const RequestClass& c) {
  return c.dedup_scope == DedupScope::kAll ? "all" : c.dedup_scope == DedupScope::kZone ? "zone" : "cell";
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
void settings(Writer& out, const bench::Scenario& s, const NodeParameters& node) {
  out.Key("settings");
  out.StartObject();
  out.Key("azs");
  out.StartArray();
  int zones = node.zone;
  for (const bench::ScenarioServer& server : s.servers) zones = std::max(zones, server.zone);
  for (const bench::ScenarioServer& server : s.backends) zones = std::max(zones, server.zone);
  for (int i = 0; i <= zones; ++i) out.String(("z" + std::to_string(i)).c_str());
  out.EndArray();
  whole(out, "zone", node.zone);
  whole(out, "position", node.position);
  whole(out, "peersTotal", node.count);
  whole(out, "stage", node.tier);
  out.Key("stages");
  out.StartArray();
  out.String("front");
  if (s.chain.calls > 0) out.String("core");
  out.EndArray();
  number(out, "granularity", 0.001);
  text(out, "registryMode", "automatic");
  number(out, "overShareWorth", s.over_quota_weight);
  out.Key("bounds");
  out.StartObject();
  flag(out, "cancel", node.cancel);
  flag(out, "secondCopies", node.can_hedge);
  flag(out, "retryAfter", true);
  flag(out, "probes", false);
  flag(out, "peers", !node.peers.empty());
  whole(out, "maxAttempts", s.max_attempts);
  number(out, "maxRetryAfter", s.max_retry_after);
  out.EndObject();
  out.Key("categories");
  out.StartArray();
  for (const bench::LoadClass& c : s.classes) {
    out.StartObject();
    text(out, "name", c.name);
    number(out, "aim", c.settings.latency_objective);
    number(out, "giveUp", c.settings.client_timeout);
    number(out, "lateWorth", c.settings.late_value);
    text(out, "effect", effect_of(c.settings));
    text(out, "group", scope_of(c.settings));
    number(out, "dedupWindow", c.settings.dedup_window);
    out.EndObject();
  }
  out.EndArray();
  if (!s.tenants.empty()) {
    double shares = 0;
    for (const bench::LoadTenant& tenant : s.tenants) shares += tenant.share;
    out.Key("realms");
    out.StartArray();
    for (const bench::LoadTenant& tenant : s.tenants) {
      out.StartObject();
      text(out, "name", tenant.name);
      number(out, "share", tenant.share / shares);
      if (tenant.quota) number(out, "allowancePerS", *tenant.quota);
      out.EndObject();
    }
    out.EndArray();
  }
  out.Key("rules");
  out.StartObject();
  number(out, "startCapacity", s.slow_start_min_capacity);
  number(out, "rampTime", s.slow_start_window);
  out.EndObject();
  out.EndObject();
}

}  // namespace

std::string node_config(const bench::Scenario& s, const NodeParameters& node) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  text(out, "name", node.name);
  text(out, "listen", node.listen);
  text(out, "discovery", node.discovery);
  constexpr std::size_t kHex = 17;
  char seed[kHex];
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(node.seed));
  text(out, "seed", seed);
  out.Key("limits");
  out.StartObject();
  number(out, "cores", 1);
  whole(out, "memory_mb", node.memory_mb);
  whole(out, "sockets", node.sockets);
  out.EndObject();
  if (!node.known.empty()) {
    out.Key("known");
    out.RawValue(node.known.data(), node.known.size(), rapidjson::kObjectType);
  }
  if (!node.peer_listen.empty()) {
    text(out, "peer_listen", node.peer_listen);
    text(out, "peers_all", node.peers_all);
    out.Key("peers");
    out.StartArray();
    for (const std::string& peer : node.peers) out.String(peer.c_str());
    out.EndArray();
  }
  settings(out, s, node);
  out.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace thymewood::fleet
