#include "scenario.h"

#include <algorithm>
#include <cmath>

namespace thymewood::bench {

double Service::draw(Random& random) const {
  switch (form) {
    case Form::kConstant:
      return mean;
    case Form::kExponential:
      return random.exponential(mean);
    case Form::kLognormal:
      return random.lognormal(mean, cv);
    case Form::kBimodal:
      return random.unit() < slow_share ? slow : mean;
  }
  return mean;
}

double Service::expected() const { return form == Form::kBimodal ? mean + slow_share * (slow - mean) : mean; }

const LoadClass& Scenario::class_named(const std::string& class_name) const {
  const auto found =
      std::find_if(classes.begin(), classes.end(), [&](const LoadClass& c) { return c.name == class_name; });
  return found == classes.end() ? classes.front() : *found;
}

double Scenario::mean_work() const {
  double sum = 0, shares = 0;
  for (const LoadClass& c : classes) {
    sum += c.share * c.service.expected();
    shares += c.share;
  }
  return sum / shares;
}

double Scenario::full_rate() const {
  double sum = 0;
  for (const ScenarioServer& s : servers) {
    if (s.up) sum += ServerModel(s.capacity, -std::numeric_limits<double>::infinity()).rate(0, mean_work());
  }
  return sum;
}

double Scenario::load_at(double t) const {
  double rate = 0;
  for (std::size_t i = 0; i < load.size() && load[i].at <= t; ++i) {
    rate = load[i].rate;
    if (i + 1 < load.size() && load[i + 1].ramp && t < load[i + 1].at) {
      rate += (load[i + 1].rate - rate) * (t - load[i].at) / (load[i + 1].at - load[i].at);
    }
  }
  return rate;
}

bool Scenario::counts_at(double t) const {
  return t >= settle && t <= seconds &&
         std::none_of(settle_after.begin(), settle_after.end(),
                      [&](double at) { return t >= at && t < at + settle; });
}

Settings Scenario::settings(int replica) const {
  Settings s;
  s.replica_index = replica;
  s.replica_count = replicas;
  for (const LoadClass& c : classes) s.classes.push_back(c.settings);
  for (const LoadTenant& t : tenants) s.tenants.push_back({t.quota});
  s.over_quota_weight = over_quota_weight;
  s.max_attempts = max_attempts;
  s.max_retry_after = max_retry_after;
  s.slow_start_min_capacity = slow_start_min_capacity;
  s.slow_start_window = slow_start_window;
  return s;
}

Settings Scenario::sidecar_settings(int server) const {
  Settings s = settings(server);
  s.replica_count = static_cast<int>(servers.size());
  s.tier = 1;
  return s;
}

Topology Scenario::topology() const {
  Topology out;
  out.node_zones = node_zones;
  out.node_zones.resize(static_cast<std::size_t>(replicas));
  for (const ScenarioServer& s : servers) out.server_zones.push_back(s.zone);
  for (const ScenarioServer& s : backends) out.backend_zones.push_back(s.zone);
  if (chain.calls > 0) out.sidecar = static_cast<int>(servers.size());
  return out;
}

Arrivals::Arrivals(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
  for (const LoadStep& step : scenario.load) max_rate_ = std::max(max_rate_, step.rate);
}

// Thinning: generates arrivals at the maximum rate and keeps the fraction load_at(t) / max_rate_ of them.
double Arrivals::after(double t) {
  if (max_rate_ <= 0) return std::numeric_limits<double>::infinity();
  while (t <= scenario_.seconds) {
    t += random_.exponential(1 / max_rate_);
    if (random_.unit() * max_rate_ < scenario_.load_at(t)) return t;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace thymewood::bench
