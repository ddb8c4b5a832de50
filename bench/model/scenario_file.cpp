// Reads scenario files. An unknown key is an error: a scenario that silently ignored one would measure
// something other than the file describes.
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

#include "scenario.h"
#include "scenario_tables.h"
#include "toml_table_reader.h"

namespace thymewood::bench {
namespace {

// Returns the times after each of which results are excluded for `settle`.
std::vector<double> change_times(const Scenario& s) {
  std::vector<double> out;
  for (const Fault& fault : s.faults) {
    out.push_back(fault.at);
    if (std::isfinite(fault.lasts)) out.push_back(fault.at + fault.lasts);
  }
  for (const Flood& flood : s.floods) {
    out.push_back(flood.at);
    if (std::isfinite(flood.lasts)) out.push_back(flood.at + flood.lasts);
  }
  for (const LoadStep& step : s.load) out.push_back(step.at);
  for (const ClosedLoop& c : s.closed_loops) out.insert(out.end(), {c.from, c.to});
  for (const Change& c : s.changes) out.push_back(c.at);
  return out;
}

Scenario read(const std::string& file, const toml::table& table, double times) {
  TableReader t(file, table);
  Scenario s;
  s.name = file.substr(file.find_last_of('/') + 1);
  s.name = s.name.substr(0, s.name.rfind(".toml"));
  s.title = t.text("title", s.name);
  s.seconds = t.number("seconds", s.seconds, 0.1, 1e5);
  s.settle = t.number("settle", s.settle, 0, 1e5);
  s.replicas = t.integer("copies", 1, 1, 10000);
  s.net = t.ms("net_ms", s.net);
  s.max_attempts = t.integer("max_attempts", s.max_attempts, 1, 100);
  s.max_retry_after = t.ms("max_retry_after_ms", s.max_retry_after);
  s.slow_start_min_capacity = t.number("start_capacity", s.slow_start_min_capacity, 0, 1);
  s.slow_start_window = t.number("ramp_s", 0);
  s.over_quota_weight = t.number("over_share_worth", 1, 0, 1);
  for (TableReader& c : t.tables("class")) s.classes.push_back(read_class(c));
  if (s.classes.empty()) t.fail("the scenario has no [[class]]");
  for (TableReader& tenant : t.tables("tenant")) {
    LoadTenant load_tenant{tenant.text("name", ""), tenant.number("share", 1), std::nullopt};
    if (tenant.has("allowance")) load_tenant.quota = tenant.number("allowance", 0);
    tenant.finish();
    s.tenants.push_back(load_tenant);
  }
  for (TableReader& group : t.tables("servers")) read_servers(group, s.servers);
  if (s.servers.empty()) t.fail("the scenario has no [[servers]]");
  s.load = read_load(t.tables("load"), s.full_rate(), times);
  for (TableReader& c : t.tables("callers")) {
    ClosedLoop clients;
    clients.count = static_cast<int>(std::lround(times * c.integer("count", 1, 0, 1000000)));
    clients.from = c.number("from", 0);
    clients.to = c.number("to", clients.to, clients.from, std::numeric_limits<double>::infinity());
    clients.think = c.ms("think_ms", 0);
    clients.after_refusal = c.number("after_refusal_ms", 0, -1) / 1000;
    c.finish();
    s.closed_loops.push_back(clients);
  }
  if (s.load.empty() && s.closed_loops.empty()) t.fail("the scenario has neither [[load]] nor [[callers]]");
  read_fleet(t, s);
  for (TableReader& change : t.tables("change")) s.changes.push_back(read_change(change, s));
  for (TableReader& flood : t.tables("flood")) s.floods.push_back(read_flood(flood, s));
  t.finish();
  s.settle_after = change_times(s);
  return s;
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& name, double times) {
  try {
    return read(name, toml::parse(text), times);
  } catch (const toml::parse_error& error) {
    fail_at(name, error.source(), std::string(error.description()));
  }
}

Scenario read_scenario(const std::string& path, double times) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ": cannot open the scenario file");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_scenario(text.str(), path, times);
}

}  // namespace thymewood::bench
