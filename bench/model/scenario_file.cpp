// The reader of scenario files. Every key is checked for its type and range, and a key that is not known is
// an error: a scenario that silently leaves something out would measure something else than it says.
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <initializer_list>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "scenario.h"

namespace thymewood::bench {
namespace {

[[noreturn]] void fail(const std::string& file, const toml::source_region& where, const std::string& what) {
  throw std::runtime_error(file + ":" + std::to_string(where.begin.line) + ": " + what);
}

// One table of the file: hands out its keys and knows at the end which nobody asked for.
class Reader {
 public:
  Reader(const std::string& file, const toml::table& table) : file_(file), table_(table) {}

  double number(const char* key, double otherwise, double least = 0, double most = 1e9) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const std::optional<double> value = node->value<double>();
    if (!value || node->is_boolean() || !std::isfinite(*value) || *value < least || *value > most) {
      std::ostringstream what;
      what << "'" << key << "' has to be a number from " << least << " to " << most;
      fail(file_, node->source(), what.str());
    }
    return *value;
  }
  double ms(const char* key, double otherwise_s) { return number(key, otherwise_s * 1000) / 1000; }
  int whole(const char* key, int otherwise, int least, int most) {
    const double value = number(key, otherwise, least, most);
    if (value != std::floor(value))
      fail(file_, find(key)->source(), "'" + std::string(key) + "' has to be whole");
    return static_cast<int>(value);
  }
  std::string word(const char* key, const std::string& otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_string()) fail(file_, node->source(), "'" + std::string(key) + "' has to be text");
    return *node->value<std::string>();
  }
  bool flag(const char* key, bool otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_boolean())
      fail(file_, node->source(), "'" + std::string(key) + "' has to be true or false");
    return *node->value<bool>();
  }
  // An array of tables; empty where it is not there.
  std::vector<Reader> tables(const char* key) {
    std::vector<Reader> out;
    const toml::node* node = find(key);
    if (node == nullptr) return out;
    const toml::array* array = node->as_array();
    if (array == nullptr)
      fail(file_, node->source(), "'" + std::string(key) + "' has to be a list of tables");
    for (const toml::node& entry : *array) {
      if (!entry.is_table())
        fail(file_, entry.source(), "'" + std::string(key) + "' has to be a list of tables");
      out.emplace_back(file_, *entry.as_table());
    }
    return out;
  }
  Selector selector(const char* key, const std::string& otherwise) {
    std::string why;
    const std::optional<Selector> out = Selector::parse(word(key, otherwise), why);
    if (!out) fail(file_, find(key)->source(), "'" + std::string(key) + "': " + why);
    return *out;
  }
  // An error where the selector names somebody who is not there.
  void check(const char* key, const Selector& selector, const Topology& topology) {
    const std::string why = selector.misfit(topology);
    if (!why.empty()) fail(file_, find(key)->source(), "'" + std::string(key) + "': " + why);
  }
  std::optional<Reader> table(const char* key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) fail(file_, node->source(), "'" + std::string(key) + "' has to be a table");
    return Reader(file_, *node->as_table());
  }
  std::string place() const { return file_ + ":" + std::to_string(table_.source().begin.line); }
  bool has(const char* key) const { return table_.contains(key); }
  [[noreturn]] void wrong(const std::string& what) const { fail(file_, table_.source(), what); }
  // One of a few words; an error lists them.
  template <class T>
  T one_of(const char* key, const std::string& otherwise,
           std::initializer_list<std::pair<const char*, T>> words) {
    const std::string given = word(key, otherwise);
    std::string allowed;
    for (const auto& [name, value] : words) {
      if (given == name) return value;
      allowed += std::string(allowed.empty() ? "" : ", ") + name;
    }
    fail(file_, find(key)->source(), "'" + std::string(key) + "' has to be one of " + allowed);
  }
  void end() const {
    for (const auto& [key, node] : table_) {
      if (!asked_.contains(std::string(key.str())))
        fail(file_, node.source(), "'" + std::string(key.str()) + "' is not a key here");
    }
  }

 private:
  const toml::node* find(const char* key) {
    asked_.insert(key);
    return table_.get(key);
  }
  const std::string& file_;
  const toml::table& table_;
  std::set<std::string> asked_;
};

Service read_service(Reader& t) {
  Service s;
  s.form = t.one_of<Service::Form>("service", "exponential",
                                   {{"constant", Service::Form::kConstant},
                                    {"exponential", Service::Form::kExponential},
                                    {"lognormal", Service::Form::kLognormal},
                                    {"bimodal", Service::Form::kBimodal}});
  s.mean = t.ms("mean_ms", s.mean);
  if (s.mean <= 0) t.wrong("'mean_ms' has to be above 0");
  s.cv = t.number("cv", s.cv, 0, 10);
  s.slow = t.ms("slow_ms", 0);
  s.slow_share = t.number("slow_share", 0, 0, 1);
  return s;
}

LoadClass read_class(Reader t) {
  LoadClass c;
  c.name = t.word("name", "call");
  c.share = t.number("share", 1);
  c.settings.latency_objective = t.ms("aim_ms", 1);
  c.settings.client_timeout = t.ms("give_up_ms", 2 * c.settings.latency_objective);
  if (c.settings.latency_objective > c.settings.client_timeout) t.wrong("'aim_ms' is over 'give_up_ms'");
  c.settings.late_value = t.number("late_worth", 0, 0, 1);
  c.settings.dedup_window = t.ms("window_ms", 4);
  c.settings.idempotency = t.one_of<Idempotency>("effect", "safe",
                                                 {{"safe", Idempotency::kIdempotent},
                                                  {"keyed", Idempotency::kIdempotentWithKey},
                                                  {"unsafe", Idempotency::kNotIdempotent}});
  c.settings.dedup_scope = t.one_of<DedupScope>(
      "scope", "cell", {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}});
  c.service = read_service(t);
  t.end();
  return c;
}

void read_servers(Reader t, std::vector<ScenarioServer>& servers) {
  ScenarioServer s;
  const int count = t.whole("count", 1, 1, 10000);
  s.capacity.workers = t.whole("workers", s.capacity.workers, 0, 100000);
  s.capacity.queue = t.whole("queue", s.capacity.queue, 0, 10000000);
  s.capacity.speed = t.number("speed", 1, 1e-3, 1e3);
  s.capacity.crowd_at = t.whole("crowd_at", 0, 0, 1000000);
  s.capacity.crowd = t.number("crowd", 1, 1, 100);
  s.capacity.cold = t.number("cold", 1, 0.01, 1);
  s.capacity.ramp_s = t.number("ramp_s", 0);
  s.capacity.pause_every_s = t.number("pause_every_s", 0);
  s.capacity.pause_s = t.ms("pause_ms", 0);
  if (s.capacity.pause_every_s > 0 && s.capacity.pause_s >= s.capacity.pause_every_s)
    t.wrong("'pause_ms' is not shorter than 'pause_every_s'");
  s.zone = t.whole("zone", 0, 0, 1000);
  s.cell = t.whole("cell", 0, 0, 100000);
  s.weight = t.number("weight", 1, 1e-3, 1e3);
  s.up = t.flag("up", true);
  t.end();
  servers.insert(servers.end(), static_cast<std::size_t>(count), s);
}

Change read_change(Reader t, const Scenario& s) {
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
  if (c.backends && s.backends.empty()) t.wrong("there are no [[backend]] servers");
  const int last = static_cast<int>(c.backends ? s.backends.size() : s.servers.size()) - 1;
  c.first = static_cast<std::size_t>(t.whole("first", 0, 0, last));
  c.last = static_cast<std::size_t>(t.whole("last", last, static_cast<int>(c.first), last));
  c.factor = t.number("factor", 1, 1e-3, 1e3);
  c.notify_delay = t.ms("told_after_ms", 0);
  c.part = t.number("part", 1, 0, 1);
  c.replica = static_cast<int>(t.whole("copy", 0, 0, s.replicas - 1));
  c.down = t.ms("down_ms", 0);
  t.end();
  return c;
}

Flood read_flood(Reader t, const Scenario& s) {
  Flood f;
  const std::string name = t.word("tenant", "");
  const auto of = std::find_if(s.tenants.begin(), s.tenants.end(),
                               [&](const LoadTenant& tenant) { return tenant.name == name; });
  if (of == s.tenants.end()) t.wrong("'tenant' has to be the name of a [[tenant]]");
  f.tenant = static_cast<std::size_t>(of - s.tenants.begin());
  f.at = t.number("at", 0);
  f.lasts = t.number("lasts", f.lasts, 0, std::numeric_limits<double>::infinity());
  if (!t.has("rate")) t.wrong("'rate' says how much more comes, in requests a second");
  f.rate = t.number("rate", 0, 1e-3);
  f.replica = t.whole("node", -1, -1, s.replicas - 1);
  t.end();
  return f;
}

// `x` is a multiple of what the servers can do together, `rate` is in requests a second.
std::vector<LoadStep> read_load(std::vector<Reader> tables, double full, double times) {
  std::vector<LoadStep> steps;
  for (Reader& t : tables) {
    LoadStep step;
    step.at = t.number("at", 0);
    if (!steps.empty() && step.at < steps.back().at) t.wrong("'at' lies before that of the step above");
    if (t.has("x") == t.has("rate")) t.wrong("a step of the load has either 'x' or 'rate'");
    if (t.has("x") && !std::isfinite(full)) t.wrong("'x' means nothing where servers have no limit");
    step.rate = times * (t.has("x") ? t.number("x", 0) * full : t.number("rate", 0));
    step.ramp = t.flag("ramp", false);
    t.end();
    steps.push_back(step);
  }
  return steps;
}

const std::initializer_list<std::pair<const char*, Fault::What>> fault_words = {
    {"kill", Fault::What::kKill},
    {"restart", Fault::What::kRestart},
    {"pause", Fault::What::kPause},
    {"starve", Fault::What::kStarve},
    {"descriptors", Fault::What::kDescriptors},
    {"disk_full", Fault::What::kDiskFull},
    {"disk_fails", Fault::What::kDiskFails},
    {"disk_read_only", Fault::What::kDiskReadOnly},
    {"disk_slow", Fault::What::kDiskSlow},
    {"clock", Fault::What::kClock},
    {"hangup", Fault::What::kHangup},
    {"crowd", Fault::What::kCrowd},
    {"cut", Fault::What::kCut},
    {"cut_to", Fault::What::kCutTo},
    {"delay", Fault::What::kDelay},
    {"loss", Fault::What::kLoss},
    {"slow_link", Fault::What::kSlowLink},
    {"reset", Fault::What::kReset},
    {"refuse", Fault::What::kRefuse},
    {"silence", Fault::What::kSilence},
    {"lag", Fault::What::kLag}};

bool is_of_machines(Fault::What what) {
  switch (what) {
    case Fault::What::kKill:
    case Fault::What::kRestart:
    case Fault::What::kPause:
    case Fault::What::kStarve:
    case Fault::What::kDescriptors:
    case Fault::What::kDiskFull:
    case Fault::What::kDiskFails:
    case Fault::What::kDiskReadOnly:
    case Fault::What::kDiskSlow:
    case Fault::What::kClock:
    case Fault::What::kHangup:
    case Fault::What::kCrowd:
      return true;
    default:
      return false;
  }
}

bool is_of_discovery(Fault::What what) { return what == Fault::What::kSilence || what == Fault::What::kLag; }

Fault read_fault(Reader t, const Topology& topology) {
  Fault f;
  f.at = t.number("at", 0);
  f.lasts = t.number("lasts", f.lasts, 0, std::numeric_limits<double>::infinity());
  f.what = t.one_of<Fault::What>("what", "kill", fault_words);
  f.who = t.selector("who", is_of_discovery(f.what) ? "discovery" : "");
  f.to = t.selector("to", "");
  if (f.who.kind == Selector::Kind::kNobody) t.wrong("'who' says whom it meets, such as 'node:3'");
  t.check("who", f.who, topology);
  t.check("to", f.to, topology);
  const bool machine = f.who.kind != Selector::Kind::kZone &&
                       (f.who.of == ActorKind::kNode || f.who.of == ActorKind::kSidecar);
  if (is_of_machines(f.what) && !machine) t.wrong("'what' meets nodes alone: 'node:...' or 'inner:...'");
  if (is_of_discovery(f.what) && f.who.of != ActorKind::kDiscovery) t.wrong("'what' meets discovery alone");
  if ((is_of_machines(f.what) || is_of_discovery(f.what)) && f.to.kind != Selector::Kind::kNobody)
    t.wrong("'to' is for faults of links");
  f.share = t.number("share", f.share, 0, 1);
  f.delay = t.ms("delay_ms", 0);
  f.jitter = t.ms("jitter_ms", 0);
  f.rate = t.number("rate", 0);
  if (f.what == Fault::What::kSlowLink && f.rate <= 0) t.wrong("'rate' is in bytes a second, above 0");
  if (f.what == Fault::What::kStarve && (f.share <= 0 || f.share >= 1))
    t.wrong("'share' lies between 0 and 1");
  constexpr double kYear = 3.2e10;  // ms
  f.shift = t.number("shift_ms", 0, -kYear, kYear) / 1000;
  f.count = t.whole("count", f.count, 8, 1000000);
  f.flap = t.number("flap", 0);
  if (f.flap > 0 && !std::isfinite(f.lasts)) t.wrong("'flap' needs 'lasts'");
  f.stagger = t.number("stagger", 0);
  f.text = t.word("what", "kill") + " " + t.word("who", is_of_discovery(f.what) ? "discovery" : "");
  if (t.has("to")) f.text += " to " + t.word("to", "");
  t.end();
  return f;
}

// The tables of fleet_tables.h.
void read_fleet(Reader& t, Scenario& s) {
  const auto note = [&s](const Reader& table, const char* name) {
    s.fleet_only.push_back(table.place() + ": " + name);
  };
  for (Reader& node : t.tables("node")) {
    note(node, "[[node]]");
    const int count = node.whole("count", 1, 1, 10000), zone = node.whole("zone", 0, 0, 1000);
    node.end();
    s.node_zones.insert(s.node_zones.end(), static_cast<std::size_t>(count), zone);
  }
  if (!s.node_zones.empty() && t.has("copies")) t.wrong("there are both 'copies' and [[node]]");
  if (!s.node_zones.empty()) s.replicas = static_cast<int>(s.node_zones.size());
  if (std::optional<Reader> c = t.table("clients")) {
    s.clients_at = c->place() + ": [clients]";
    if (c->has("impatient") || c->has("notice_s")) note(*c, "[clients] impatient and notice_s");
    s.client_behavior.retries = c->whole("retries", 0, 0, 100);
    s.client_behavior.attempt_share = c->number("try_share", 1, 0.01, 1);
    s.client_behavior.wait = c->ms("wait_ms", 0);
    s.client_behavior.honors_retry_after = c->flag("honour", false);
    s.client_behavior.impatient_share = c->number("impatient", 0, 0, 1);
    s.client_behavior.failure_detection = c->number("notice_s", s.client_behavior.failure_detection, 0, 1000);
    c->end();
  }
  for (Reader& group : t.tables("backend")) {
    read_servers(group, s.backends);
  }
  if (std::optional<Reader> c = t.table("chain")) {
    s.chain.calls = c->whole("calls", 1, 1, 100);
    s.chain.share = c->number("share", s.chain.share, 0, 0.99);
    c->end();
    if (s.backends.empty()) c->wrong("a second tier has [[backend]] servers");
  } else if (!s.backends.empty()) {
    t.wrong("[[backend]] servers are called where there is a [chain]");
  }
  if (std::optional<Reader> d = t.table("discovery")) {
    note(*d, "[discovery]");
    s.discovery.lag = d->ms("lag_ms", 0);
    s.discovery.spread = d->ms("spread_ms", 0);
    d->end();
  }
  s.peers = t.flag("peers", false);
  if (s.peers) s.fleet_only.push_back(t.place() + ": peers");
  s.operators = t.word("operators", "");
  if (!s.operators.empty()) s.fleet_only.push_back(t.place() + ": operators");
  s.views_within = t.number("views_within", 0);
  if (s.views_within > 0 && s.operators.empty()) t.wrong("'views_within' needs 'operators'");
  const Topology topology = s.topology();
  for (Reader& link : t.tables("link")) {
    note(link, "[[link]]");
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
    link.end();
    s.links.push_back(rule);
  }
  for (Reader& fault : t.tables("fault")) {
    note(fault, "[[fault]]");
    s.faults.push_back(read_fault(fault, topology));
  }
}

Scenario read(const std::string& file, const toml::table& table, double times) {
  Reader t(file, table);
  Scenario s;
  s.name = file.substr(file.find_last_of('/') + 1);
  s.name = s.name.substr(0, s.name.rfind(".toml"));
  s.title = t.word("title", s.name);
  s.seconds = t.number("seconds", s.seconds, 0.1, 1e5);
  s.settle = t.number("settle", s.settle, 0, 1e5);
  s.replicas = t.whole("copies", 1, 1, 10000);
  s.net = t.ms("net_ms", s.net);
  s.max_attempts = t.whole("max_attempts", s.max_attempts, 1, 100);
  s.max_retry_after = t.ms("max_retry_after_ms", s.max_retry_after);
  s.slow_start_min_capacity = t.number("start_capacity", s.slow_start_min_capacity, 0, 1);
  s.slow_start_window = t.number("ramp_s", 0);
  s.over_quota_weight = t.number("over_share_worth", 1, 0, 1);
  for (Reader& c : t.tables("class")) s.classes.push_back(read_class(c));
  if (s.classes.empty()) t.wrong("there is no [[class]]");
  for (Reader& tenant : t.tables("tenant")) {
    LoadTenant load_tenant{tenant.word("name", ""), tenant.number("share", 1), std::nullopt};
    if (tenant.has("allowance")) load_tenant.quota = tenant.number("allowance", 0);
    tenant.end();
    s.tenants.push_back(load_tenant);
  }
  for (Reader& group : t.tables("servers")) read_servers(group, s.servers);
  if (s.servers.empty()) t.wrong("there are no [[servers]]");
  s.load = read_load(t.tables("load"), s.full_rate(), times);
  for (Reader& c : t.tables("callers")) {
    ClosedLoop callers;
    callers.count = static_cast<int>(std::lround(times * c.whole("count", 1, 0, 1000000)));
    callers.from = c.number("from", 0);
    callers.to = c.number("to", callers.to, callers.from, std::numeric_limits<double>::infinity());
    callers.think = c.ms("think_ms", 0);
    callers.after_refusal = c.number("after_refusal_ms", 0, -1) / 1000;
    c.end();
    s.closed_loops.push_back(callers);
  }
  if (s.load.empty() && s.closed_loops.empty()) t.wrong("there is neither [[load]] nor [[callers]]");
  read_fleet(t, s);
  for (Reader& change : t.tables("change")) s.changes.push_back(read_change(change, s));
  for (Reader& flood : t.tables("flood")) s.floods.push_back(read_flood(flood, s));
  t.end();
  for (const Fault& fault : s.faults) {
    s.settle_after.push_back(fault.at);
    if (std::isfinite(fault.lasts)) s.settle_after.push_back(fault.at + fault.lasts);
  }
  for (const Flood& flood : s.floods) {
    s.settle_after.push_back(flood.at);
    if (std::isfinite(flood.lasts)) s.settle_after.push_back(flood.at + flood.lasts);
  }
  for (const LoadStep& step : s.load) s.settle_after.push_back(step.at);
  for (const ClosedLoop& c : s.closed_loops) s.settle_after.insert(s.settle_after.end(), {c.from, c.to});
  for (const Change& c : s.changes) s.settle_after.push_back(c.at);
  return s;
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& name, double times) {
  try {
    return read(name, toml::parse(text), times);
  } catch (const toml::parse_error& problem) {
    fail(name, problem.source(), std::string(problem.description()));
  }
}

Scenario read_scenario(const std::string& path, double times) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ": cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_scenario(text.str(), path, times);
}

}  // namespace thymewood::bench
