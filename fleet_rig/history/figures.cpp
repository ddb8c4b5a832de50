#include "figures.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>

#include "histogram.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
constexpr double kWellAgain = 0.98;
constexpr std::size_t kWindow = 3;  // s; a share of one second alone moves by chance

struct Want {
  double at = 0;
  int request_class = 0, tenant = 0, node = -1;
  bool ended = false;
};

struct Part {
  double wanted = 0, served = 0;
  double share() const { return wanted > 0 ? served / wanted : 1; }
};

Part sum(const std::vector<Second>& seconds, std::size_t from, std::size_t to) {
  Part out;
  for (std::size_t i = from; i < std::min(to, seconds.size()); ++i) {
    out.wanted += seconds[i].wanted;
    out.served += seconds[i].served;
  }
  return out;
}

double recovery_of(const Figures& f) {
  if (f.faults.empty()) return 0;
  double first = std::numeric_limits<double>::infinity(), last = 0;
  for (const auto& [from, to] : f.faults) {
    first = std::min(first, from);
    last = std::max(last, std::isfinite(to) ? to : from);
  }
  const auto before = static_cast<std::size_t>(first);
  const Part idle_latency = before > 0 ? sum(f.seconds, 0, before) : sum(f.seconds, 0, f.seconds.size());
  const double wanted = kWellAgain * idle_latency.share();
  // From the end backwards: the first second from which all is well.
  std::size_t well = f.seconds.size();
  for (std::size_t i = f.seconds.size(); i-- > static_cast<std::size_t>(last);) {
    if (sum(f.seconds, i, i + kWindow).share() < wanted) break;
    well = i;
  }
  if (well >= f.seconds.size()) return -1;
  return std::max(0.0, static_cast<double>(well) - std::floor(last));
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
Figures figures_of(const History& history, const bench::Scenario& scenario) {
  Figures out;
  out.seconds.resize(static_cast<std::size_t>(std::ceil(scenario.seconds)));
  std::unordered_map<std::string, Want> wants;
  std::unordered_map<std::string, const Record*> asks;
  std::map<int, Part> by_node, by_tenant;
  std::map<int, double> by_server;
  std::set<int> disturbed;
  std::map<Actor, Record> usage_first, usage_last;
  std::map<std::string, double> open_faults;
  bench::Histogram latency;
  const auto second_of = [&out](double t) -> Second* {
    const auto at = static_cast<std::size_t>(std::max(0.0, t));
    return at < out.seconds.size() ? &out.seconds[at] : nullptr;
  };
  for (const Record& r : history.records) {
    Second* const second = second_of(r.t);
    switch (r.what) {
      case What::kOperationBegan: {
        wants[r.first] = {r.t, r.request_class, r.tenant, -1, false};
        out.wanted += 1;
        if (second != nullptr) second->wanted += 1;
        break;
      }
      case What::kRequestSent:
        if (r.by.kind != ActorKind::kClients) break;
        out.client_attempts += 1;
        if (second != nullptr) second->client_attempts += 1;
        wants[r.first].node = r.to.number;
        break;
      case What::kServerReceived:
        (r.by.kind == ActorKind::kServer ? out.first_tier : out.second_tier) += 1;
        if (r.by.kind == ActorKind::kServer) by_server[r.by.number] += 1;
        if (second != nullptr)
          (r.by.kind == ActorKind::kServer ? second->first_tier : second->second_tier) += 1;
        break;
      case What::kOperationEnded: {
        Want& want = wants[r.first];
        want.ended = true;
        Second* const then = second_of(want.at);
        Part& node = by_node[want.node];
        Part& tenant = by_tenant[want.tenant];
        node.wanted += 1;
        tenant.wanted += 1;
        const RequestClass& c = scenario.classes.at(static_cast<std::size_t>(want.request_class)).settings;
        if (r.status == 200) {
          const bool in_time = r.t - want.at <= c.latency_objective;
          out.served += 1;
          out.in_time += in_time ? 1 : 0;
          node.served += 1;
          tenant.served += 1;
          latency.add(r.t - want.at);
          if (then != nullptr) {
            then->served += 1;
            then->in_time += in_time ? 1 : 0;
          }
        } else {
          const bool rejected = r.status == 429 || r.status == 503;
          (rejected ? out.rejected : out.failed) += 1;
          if (then != nullptr) (rejected ? then->rejected : then->failed) += 1;
        }
        break;
      }
      case What::kFault:
        open_faults[r.note] = r.t;
        break;
      case What::kHealed:
        if (const auto at = open_faults.find(r.note); at != open_faults.end()) {
          out.faults.emplace_back(at->second, r.t);
          open_faults.erase(at);
        }
        break;
      case What::kDown:
      case What::kPaused:
      case What::kTerm:
        if (r.by.kind == ActorKind::kNode) disturbed.insert(r.by.number);
        break;
      case What::kUsage:
        usage_first.try_emplace(r.by, r);
        usage_last[r.by] = r;
        break;
      case What::kOpen:
        if (second != nullptr) second->connections = std::max<double>(second->connections, r.count);
        break;
      default:
        break;
    }
  }
  for (const auto& [note, from] : open_faults) out.faults.emplace_back(from, scenario.seconds);
  const double idle_latency = out.wanted / std::max(1.0, scenario.seconds);
  for (const Second& s : out.seconds) {
    if (s.wanted < idle_latency / 10) continue;
    out.worst_second = std::min(out.worst_second, s.served / s.wanted);
    out.most_first_tier = std::max(out.most_first_tier, s.first_tier / s.wanted);
  }
  constexpr double kEnough = 30;  // wants; below, a share is chance
  bool any = false;
  for (const auto& [node, part] : by_node) {
    if (node < 0 || disturbed.contains(node) || part.wanted < kEnough) continue;
    out.least_node = any ? std::min(out.least_node, part.share()) : part.share();
    out.most_node = any ? std::max(out.most_node, part.share()) : part.share();
    any = true;
  }
  for (const auto& [tenant, part] : by_tenant) {
    const bool floods = std::any_of(
        scenario.floods.begin(), scenario.floods.end(),
        [of = tenant](const bench::Flood& flood) { return static_cast<int>(flood.tenant) == of; });
    if (part.wanted >= kEnough && !floods) out.least_tenant = std::min(out.least_tenant, part.share());
  }
  for (const auto& [server, came] : by_server)
    out.most_server =
        std::max(out.most_server, came * static_cast<double>(scenario.servers.size()) / out.first_tier);
  double cpu = 0;
  for (const auto& [actor, last] : usage_last) {
    out.memory_kb = std::max(out.memory_kb, static_cast<double>(last.status));
    out.descriptors = std::max(out.descriptors, last.count);
    cpu += last.work;
    const Record& before = usage_first.at(actor);
    out.memory_grown_kb = std::max(out.memory_grown_kb, static_cast<double>(last.status - before.status));
  }
  out.cpu_us = out.client_attempts > 0 ? 1e6 * cpu / out.client_attempts : 0;
  out.client_attempts /= std::max(1.0, out.wanted);
  out.first_tier /= std::max(1.0, out.wanted);
  out.second_tier /= std::max(1.0, out.wanted);
  out.p50 = latency.quantile(0.5);
  out.p99 = latency.quantile(0.99);
  out.recovery = recovery_of(out);
  return out;
}

}  // namespace thymewood::fleet
