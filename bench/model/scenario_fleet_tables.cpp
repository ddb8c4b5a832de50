// Readers for the tables that describe a fleet: nodes, clients, tiers, links and faults.
#include <cmath>
#include <limits>

#include "scenario_tables.h"

namespace thymewood::bench {
namespace {

const std::initializer_list<std::pair<const char*, Fault::What>> kFaultNames = {
    {"kill", Fault::What::kKill},
    {"restart", Fault::What::kRestart},
    {"pause", Fault::What::kPause},
    {"starve", Fault::What::kCpuLimit},
    {"descriptors", Fault::What::kDescriptors},
    {"disk_full", Fault::What::kDiskFull},
    {"disk_fails", Fault::What::kDiskFails},
    {"disk_read_only", Fault::What::kDiskReadOnly},
    {"disk_slow", Fault::What::kDiskSlow},
    {"clock", Fault::What::kClock},
    {"hangup", Fault::What::kSighup},
    {"crowd", Fault::What::kIdleConnections},
    {"cut", Fault::What::kCut},
    {"cut_to", Fault::What::kCutTo},
    {"delay", Fault::What::kDelay},
    {"loss", Fault::What::kLoss},
    {"slow_link", Fault::What::kSlowLink},
    {"reset", Fault::What::kReset},
    {"refuse", Fault::What::kRefuse},
    {"silence", Fault::What::kDiscoveryDown},
    {"lag", Fault::What::kDiscoveryLag}};

bool is_machine_fault(Fault::What what) {
  switch (what) {
    case Fault::What::kKill:
    case Fault::What::kRestart:
    case Fault::What::kPause:
    case Fault::What::kCpuLimit:
    case Fault::What::kDescriptors:
    case Fault::What::kDiskFull:
    case Fault::What::kDiskFails:
    case Fault::What::kDiskReadOnly:
    case Fault::What::kDiskSlow:
    case Fault::What::kClock:
    case Fault::What::kSighup:
    case Fault::What::kIdleConnections:
      return true;
    default:
      return false;
  }
}

bool is_discovery_fault(Fault::What what) {
  return what == Fault::What::kDiscoveryDown || what == Fault::What::kDiscoveryLag;
}

Fault read_fault(TableReader t, const Topology& topology) {
  Fault f;
  f.at = t.number("at", 0);
  f.lasts = t.number("lasts", f.lasts, 0, std::numeric_limits<double>::infinity());
  f.what = t.one_of<Fault::What>("what", "kill", kFaultNames);
  f.who = t.selector("who", is_discovery_fault(f.what) ? "discovery" : "");
  f.to = t.selector("to", "");
  if (f.who.kind == Selector::Kind::kNobody)
    t.fail("'who' has to select the affected actors, such as 'node:3'");
  t.check("who", f.who, topology);
  t.check("to", f.to, topology);
  const bool machine = f.who.kind != Selector::Kind::kZone &&
                       (f.who.of == ActorKind::kNode || f.who.of == ActorKind::kSidecar);
  if (is_machine_fault(f.what) && !machine) t.fail("'what' meets nodes alone: 'node:...' or 'inner:...'");
  if (is_discovery_fault(f.what) && f.who.of != ActorKind::kDiscovery) t.fail("'what' meets discovery alone");
  if ((is_machine_fault(f.what) || is_discovery_fault(f.what)) && f.to.kind != Selector::Kind::kNobody)
    t.fail("'to' is for faults of links");
  f.share = t.number("share", f.share, 0, 1);
  f.delay = t.ms("delay_ms", 0);
  f.jitter = t.ms("jitter_ms", 0);
  f.rate = t.number("rate", 0);
  if (f.what == Fault::What::kSlowLink && f.rate <= 0) t.fail("'rate' has to be above 0, in bytes a second");
  if (f.what == Fault::What::kCpuLimit && (f.share <= 0 || f.share >= 1))
    t.fail("'share' has to be between 0 and 1, both excluded");
  constexpr double kYearMs = 3.2e10;  // 370 days
  f.shift = t.number("shift_ms", 0, -kYearMs, kYearMs) / 1000;
  f.count = t.integer("count", f.count, 8, 1000000);
  f.flap = t.number("flap", 0);
  if (f.flap > 0 && !std::isfinite(f.lasts)) t.fail("'flap' needs 'lasts'");
  f.stagger = t.number("stagger", 0);
  f.text = t.text("what", "kill") + " " + t.text("who", is_discovery_fault(f.what) ? "discovery" : "");
  if (t.has("to")) f.text += " to " + t.text("to", "");
  t.finish();
  return f;
}

void add_fleet_only(Scenario& s, const TableReader& table, const char* name) {
  s.fleet_only.push_back(table.location() + ": " + name);
}

void read_nodes(TableReader& t, Scenario& s) {
  for (TableReader& node : t.tables("node")) {
    add_fleet_only(s, node, "[[node]]");
    const int count = node.integer("count", 1, 1, 10000), zone = node.integer("zone", 0, 0, 1000);
    node.finish();
    s.node_zones.insert(s.node_zones.end(), static_cast<std::size_t>(count), zone);
  }
  if (!s.node_zones.empty() && t.has("copies")) t.fail("'copies' and [[node]] exclude each other");
  if (!s.node_zones.empty()) s.replicas = static_cast<int>(s.node_zones.size());
}

void read_clients(TableReader& t, Scenario& s) {
  if (std::optional<TableReader> c = t.table("clients")) {
    s.clients_at = c->location() + ": [clients]";
    if (c->has("impatient") || c->has("notice_s")) add_fleet_only(s, *c, "[clients] impatient and notice_s");
    s.client_behavior.retries = c->integer("retries", 0, 0, 100);
    s.client_behavior.attempt_share = c->number("try_share", 1, 0.01, 1);
    s.client_behavior.wait = c->ms("wait_ms", 0);
    s.client_behavior.honors_retry_after = c->flag("honour", false);
    s.client_behavior.impatient_share = c->number("impatient", 0, 0, 1);
    s.client_behavior.failure_detection = c->number("notice_s", s.client_behavior.failure_detection, 0, 1000);
    c->finish();
  }
}

void read_second_tier(TableReader& t, Scenario& s) {
  for (TableReader& group : t.tables("backend")) {
    read_servers(group, s.backends);
  }
  if (std::optional<TableReader> c = t.table("chain")) {
    s.chain.calls = c->integer("calls", 1, 1, 100);
    s.chain.share = c->number("share", s.chain.share, 0, 0.99);
    c->finish();
    if (s.backends.empty()) c->fail("[chain] needs [[backend]] servers");
  } else if (!s.backends.empty()) {
    t.fail("[[backend]] servers need a [chain]");
  }
}

void read_discovery(TableReader& t, Scenario& s) {
  if (std::optional<TableReader> d = t.table("discovery")) {
    add_fleet_only(s, *d, "[discovery]");
    s.discovery.lag = d->ms("lag_ms", 0);
    s.discovery.spread = d->ms("spread_ms", 0);
    d->finish();
  }
}

void read_membership(TableReader& t, Scenario& s) {
  s.peers = t.flag("peers", false);
  if (s.peers) s.fleet_only.push_back(t.location() + ": peers");
  s.operators = t.text("operators", "");
  if (!s.operators.empty()) s.fleet_only.push_back(t.location() + ": operators");
  s.view_convergence_time = t.number("views_within", 0);
  if (s.view_convergence_time > 0 && s.operators.empty()) t.fail("'views_within' needs 'operators'");
}

void read_links(TableReader& t, const Topology& topology, Scenario& s) {
  for (TableReader& link : t.tables("link")) {
    add_fleet_only(s, link, "[[link]]");
    LinkRule rule;
    rule.from = link.selector("from", "");
    rule.to = link.selector("to", "");
    link.check("from", rule.from, topology);
    link.check("to", rule.to, topology);
    rule.shape.delay = link.ms("delay_ms", 0);
    rule.shape.jitter = link.ms("jitter_ms", 0);
    rule.shape.loss = link.number("loss", 0, 0, 1);
    rule.shape.duplicate = link.number("duplicate", 0, 0, 1);
    rule.shape.reorder = link.number("reorder", 0, 0, 1);
    if (link.has("rate")) rule.shape.rate = link.number("rate", 0, 1);
    link.finish();
    s.links.push_back(rule);
  }
}

}  // namespace

void read_fleet(TableReader& t, Scenario& s) {
  read_nodes(t, s);
  read_clients(t, s);
  read_second_tier(t, s);
  read_discovery(t, s);
  read_membership(t, s);
  const Topology topology = s.topology();
  read_links(t, topology, s);
  for (TableReader& fault : t.tables("fault")) {
    add_fleet_only(s, fault, "[[fault]]");
    s.faults.push_back(read_fault(fault, topology));
  }
}

}  // namespace thymewood::bench
