#include "scenario_tables.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood::bench {
namespace {

Service read_service(TableReader& t) {
  Service s;
  s.form = t.one_of<Service::Form>("service", "exponential",
                                   {{"constant", Service::Form::kConstant},
                                    {"exponential", Service::Form::kExponential},
                                    {"lognormal", Service::Form::kLognormal},
                                    {"bimodal", Service::Form::kBimodal}});
  s.mean = t.ms("mean_ms", s.mean);
  if (s.mean <= 0) t.fail("'mean_ms' has to be above 0");
  s.cv = t.number("cv", s.cv, 0, 10);
  s.slow = t.ms("slow_ms", 0);
  s.slow_share = t.number("slow_share", 0, 0, 1);
  return s;
}

}  // namespace

LoadClass read_class(TableReader t) {
  LoadClass c;
  c.name = t.text("name", "call");
  c.share = t.number("share", 1);
  c.settings.latency_objective = t.ms("aim_ms", 1);
  c.settings.client_timeout = t.ms("give_up_ms", 2 * c.settings.latency_objective);
  if (c.settings.latency_objective > c.settings.client_timeout)
    t.fail("'aim_ms' is greater than 'give_up_ms'");
  c.settings.late_value = t.number("late_worth", 0, 0, 1);
  c.settings.dedup_window = t.ms("window_ms", 4);
  c.settings.idempotency = t.one_of<Idempotency>("effect", "safe",
                                                 {{"safe", Idempotency::kIdempotent},
                                                  {"keyed", Idempotency::kIdempotentWithKey},
                                                  {"unsafe", Idempotency::kNotIdempotent}});
  c.settings.dedup_scope = t.one_of<DedupScope>(
      "scope", "cell", {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}});
  c.service = read_service(t);
  t.finish();
  return c;
}

void read_servers(TableReader t, std::vector<ScenarioServer>& servers) {
  ScenarioServer s;
  const int count = t.integer("count", 1, 1, 10000);
  s.capacity.workers = t.integer("workers", s.capacity.workers, 0, 100000);
  s.capacity.queue = t.integer("queue", s.capacity.queue, 0, 10000000);
  s.capacity.speed = t.number("speed", 1, 1e-3, 1e3);
  s.capacity.overload_threshold = t.integer("crowd_at", 0, 0, 1000000);
  s.capacity.overload_slowdown = t.number("crowd", 1, 1, 100);
  s.capacity.cold_speed_share = t.number("cold", 1, 0.01, 1);
  s.capacity.warm_up_s = t.number("ramp_s", 0);
  s.capacity.pause_every_s = t.number("pause_every_s", 0);
  s.capacity.pause_s = t.ms("pause_ms", 0);
  if (s.capacity.pause_every_s > 0 && s.capacity.pause_s >= s.capacity.pause_every_s)
    t.fail("'pause_ms' has to be shorter than 'pause_every_s'");
  s.zone = t.integer("zone", 0, 0, 1000);
  s.cell = t.integer("cell", 0, 0, 100000);
  s.weight = t.number("weight", 1, 1e-3, 1e3);
  s.up = t.flag("up", true);
  t.finish();
  servers.insert(servers.end(), static_cast<std::size_t>(count), s);
}

Change read_change(TableReader t, const Scenario& s) {
  Change c;
  c.at = t.number("at", 0);
  c.what = t.one_of<Change::What>("what", "slow",
                                  {{"slow", Change::What::kSlow},
                                   {"drain", Change::What::kDrain},
                                   {"stop", Change::What::kStop},
                                   {"start", Change::What::kStart},
                                   {"fail", Change::What::kFail},
                                   {"mute", Change::What::kMute},
                                   {"restart", Change::What::kRestart}});
  c.backends = t.flag("backends", false);
  if (c.backends && s.backends.empty()) t.fail("'backends' needs [[backend]] servers");
  const int last = static_cast<int>(c.backends ? s.backends.size() : s.servers.size()) - 1;
  c.first = static_cast<std::size_t>(t.integer("first", 0, 0, last));
  c.last = static_cast<std::size_t>(t.integer("last", last, static_cast<int>(c.first), last));
  c.factor = t.number("factor", 1, 1e-3, 1e3);
  c.notify_delay = t.ms("told_after_ms", 0);
  c.part = t.number("part", 1, 0, 1);
  c.replica = static_cast<int>(t.integer("copy", 0, 0, s.replicas - 1));
  c.down = t.ms("down_ms", 0);
  t.finish();
  return c;
}

Flood read_flood(TableReader t, const Scenario& s) {
  Flood f;
  const std::string name = t.text("tenant", "");
  const auto of = std::find_if(s.tenants.begin(), s.tenants.end(),
                               [&](const LoadTenant& tenant) { return tenant.name == name; });
  if (of == s.tenants.end()) t.fail("'tenant' has to be the name of a [[tenant]]");
  f.tenant = static_cast<std::size_t>(of - s.tenants.begin());
  f.at = t.number("at", 0);
  f.lasts = t.number("lasts", f.lasts, 0, std::numeric_limits<double>::infinity());
  if (!t.has("rate")) t.fail("'rate' is missing; it sets the added load in requests per second");
  f.rate = t.number("rate", 0, 1e-3);
  f.replica = t.integer("node", -1, -1, s.replicas - 1);
  t.finish();
  return f;
}

// `x` is a multiple of the capacity of all servers, `rate` is in requests per second.
std::vector<LoadStep> read_load(std::vector<TableReader> tables, double total_rate, double times) {
  std::vector<LoadStep> steps;
  for (TableReader& t : tables) {
    LoadStep step;
    step.at = t.number("at", 0);
    if (!steps.empty() && step.at < steps.back().at) t.fail("'at' is before that of the previous step");
    if (t.has("x") == t.has("rate")) t.fail("a load step has either 'x' or 'rate'");
    if (t.has("x") && !std::isfinite(total_rate)) t.fail("'x' needs servers with limited capacity");
    step.rate = times * (t.has("x") ? t.number("x", 0) * total_rate : t.number("rate", 0));
    step.ramp = t.flag("ramp", false);
    t.finish();
    steps.push_back(step);
  }
  return steps;
}

}  // namespace thymewood::bench
